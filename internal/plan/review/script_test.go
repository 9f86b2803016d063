package review_test

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/review"
)

// script holds what the commands of a script have set.
type script struct {
	t      *testing.T
	active *batch.Configuration
	known  review.Known
	// keys are all keys of the script's configurations.
	keys []string
}

// TestScripts checks the configurations under testdata, an entry a line. "active" sets the active configuration, "known" what is
// known of the site, "check" prints the findings on a configuration, and "unreadable" those on a text with a fault. No
// key, and no digest of one, may appear in what is printed: an operator's terminal or a script's log would disclose it.
func TestScripts(t *testing.T) {
	scripts := map[*testing.T]*script{}
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		if scripts[t] == nil {
			scripts[t] = &script{t: t}
		}
		s := scripts[t]
		switch d.Cmd {
		case "active":
			s.active = s.configuration(d.Input)
			return "ok\n"
		case "known":
			s.setKnown(d.Input)
			return "ok\n"
		case "unreadable":
			return s.print(review.Unreadable(&batch.TextError{Line: 3, Column: 14, Problem: d.Input}))
		case "many":
			c := &batch.Configuration{Version: 1}
			for i := range 3000 {
				c.Queues = append(c.Queues, batch.Queue{Host: "h", Prefix: fmt.Sprintf("/%d/", i), TimeoutMs: 1, Pool: "none"})
			}
			r := review.Check(c, c, review.Known{})
			return fmt.Sprintf("%d of %d errors, %d notes, %d omitted\n", len(r.Findings), r.Errors, r.Notes, r.Omitted)
		default:
			return s.print(review.Check(s.configuration(d.Input), s.active, s.known))
		}
	})
}

// print returns the findings, one a line.
func (s *script) print(r review.Report) string {
	s.t.Helper()
	out := ""
	for _, f := range r.Findings {
		out += fmt.Sprintf("%s: %s", f.Severity, strings.TrimSpace(f.Subject.String()+" "+f.Name))
		if f.Line > 0 {
			out += fmt.Sprintf(" at %d:%d", f.Line, f.Column)
		}
		out += ": " + f.Text + "\n"
	}
	out += fmt.Sprintf("%d errors, %d warnings, %d notes\n", r.Errors, r.Warnings, r.Notes)
	for _, key := range s.keys {
		digest := batch.DigestOf(key)
		for _, form := range []string{key, hex.EncodeToString(digest[:]), base64.StdEncoding.EncodeToString(digest[:]), fmt.Sprint(digest)} {
			if strings.Contains(out, form) {
				s.t.Errorf("the findings contain the key %q as %s", key, form)
			}
		}
	}
	return out
}

// configuration returns the configuration that lines describe. "keys" alone is for an empty list of accounts.
func (s *script) configuration(input string) *batch.Configuration {
	s.t.Helper()
	c := &batch.Configuration{Version: 1, Text: []byte(input)}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		switch fields[0] {
		case "version":
			c.Version = uint64(s.number(fields[1]))
		case "queue":
			c.Queues = append(c.Queues, s.queue(fields[1:]))
		case "pool":
			c.Pools = append(c.Pools, batch.Pool{Name: fields[1], Standby: len(fields) > 2})
		case "keys":
			c.RequiresKeys = true
		case "account":
			c.RequiresKeys = true
			c.Accounts = append(c.Accounts, s.account(fields[1:]))
		default:
			s.t.Fatalf("unknown line %q", line)
		}
	}
	return c
}

func (s *script) queue(fields []string) batch.Queue {
	s.t.Helper()
	host, prefix, _ := strings.Cut(fields[0], "/")
	q := batch.Queue{Host: host, Prefix: "/" + prefix, Pool: "p", TimeoutMs: 3000}
	for _, f := range fields[1:] {
		key, value, _ := strings.Cut(f, "=")
		switch key {
		case "pool":
			q.Pool = value
		case "public":
			q.Public = true
		case "priority":
			q.Priority = int(s.number(value))
		case "target":
			q.TargetLatencyMs = s.number(value)
		case "timeout":
			q.TimeoutMs = s.number(value)
		default:
			s.t.Fatalf("unknown field %q", f)
		}
	}
	return q
}

func (s *script) account(fields []string) batch.Account {
	s.t.Helper()
	a := batch.Account{Name: fields[0], Weight: 1, Limit: batch.Resources{CPUMilli: 8000}}
	for _, f := range fields[1:] {
		key, value, _ := strings.Cut(f, "=")
		switch key {
		case "keys":
			for _, k := range strings.Split(value, ",") {
				a.Keys = append(a.Keys, batch.DigestOf(k))
				if k != "" {
					s.keys = append(s.keys, k)
				}
			}
		case "weight":
			a.Weight = float64(s.number(value))
		default:
			s.setAmount(&a.Limit, key, value)
		}
	}
	return a
}

// setKnown sets the VMs of pools and the needs of accounts; without a line of a kind they aren't known.
func (s *script) setKnown(input string) {
	s.t.Helper()
	s.known = review.Known{}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		switch fields[0] {
		case "vms":
			if s.known.VMs == nil {
				s.known.VMs = map[string]int{}
			}
			s.known.VMs[fields[1]] = int(s.number(fields[2]))
		case "need":
			if s.known.Needs == nil {
				s.known.Needs = map[string]batch.Resources{}
			}
			var need batch.Resources
			for _, f := range fields[2:] {
				key, value, _ := strings.Cut(f, "=")
				s.setAmount(&need, key, value)
			}
			s.known.Needs[fields[1]] = need
		default:
			s.t.Fatalf("unknown line %q", line)
		}
	}
}

func (s *script) setAmount(r *batch.Resources, key, value string) {
	s.t.Helper()
	switch key {
	case "cpu":
		r.CPUMilli = s.number(value)
	case "mem":
		r.MemoryMB = s.number(value)
	case "gpu":
		r.Accelerators = s.number(value)
	default:
		s.t.Fatalf("unknown amount %q", key)
	}
}

func (s *script) number(text string) int64 {
	s.t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}
