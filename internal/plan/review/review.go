package review

import (
	"cmp"
	"slices"

	"cowslipstack/internal/model/batch"
)

// Severity is the weight of a finding; the zero value is not valid.
type Severity int

const (
	// SeverityError means that the configuration would be refused.
	SeverityError Severity = iota + 1 // error
	// SeverityWarning means that a part of the configuration has no effect, or hardly the intended one.
	SeverityWarning // warning
	// SeverityNote is a difference from the active configuration, or tells what could not be checked.
	SeverityNote // note
)

// Finding is one result of a check. It contains no key.
type Finding struct {
	// Severity is the weight of the finding.
	Severity Severity
	// Subject is the kind of the entry concerned, and Name identifies it; empty for the configuration.
	Subject batch.Subject
	Name    string
	// Line and Column are the place in the text, from 1; 0 if it isn't known.
	Line, Column int
	// Text describes the finding.
	Text string
}

// Known is the state of the site as far as it is known; a nil map means that it isn't.
type Known struct {
	// VMs counts the listed VMs by pool; a pool without VMs has no entry.
	VMs map[string]int
	// Needs is the most that one start of an account's jobs needs, by account.
	Needs map[string]batch.Resources
}

// Report is the result of a check.
type Report struct {
	// Findings are sorted by severity, errors first; within a severity in the order of the configuration's entries.
	Findings []Finding
	// Errors, Warnings and Notes count all findings, also the omitted ones.
	Errors, Warnings, Notes int
	// Omitted counts the findings beyond maxFindings.
	Omitted int
}

// maxFindings bounds the findings of a report: a file of 4 MiB can hold tens of thousands of faults.
const maxFindings = 2000

// Check checks a configuration against its own rules, what is known of the site, and the active configuration; active is nil if
// there is none.
func Check(next, active *batch.Configuration, known Known) Report {
	c := &checker{next: next, active: active, known: known}
	for _, f := range next.Faults() {
		c.add(SeverityError, f.Subject, f.Name, "%s", f.Text)
	}
	c.checkVersion()
	c.checkQueues()
	c.checkPublic()
	c.checkAccounts()
	c.noteUnknown()
	c.compare()
	return newReport(c.findings)
}

// Unreadable returns the report on a text that can't be decoded.
func Unreadable(e *batch.TextError) Report {
	return newReport([]Finding{{
		Severity: SeverityError, Subject: batch.SubjectConfiguration, Line: e.Line, Column: e.Column, Text: e.Problem,
	}})
}

// newReport sorts, counts and bounds the findings.
func newReport(findings []Finding) Report {
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	r := Report{Findings: findings}
	for i := range findings {
		switch findings[i].Severity {
		case SeverityError:
			r.Errors++
		case SeverityWarning:
			r.Warnings++
		default:
			r.Notes++
		}
	}
	if r.Omitted = max(0, len(findings)-maxFindings); r.Omitted > 0 {
		r.Findings = findings[:maxFindings]
	}
	return r
}
