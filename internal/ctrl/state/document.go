package state

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/record"
)

const (
	// maxRevisions bounds the revisions that are kept; at 4,200 changes a day they cover about one day.
	maxRevisions = 4096
	// maxRevisionTexts bounds the revisions whose text is kept, including the one in force.
	maxRevisionTexts = 8
	// maxTrials bounds the trials that are kept and can be promoted.
	maxTrials = 16
)

// Production is the name of the environment that is in force on the entries.
const Production = "production"

// Document is an accepted environment document.
type Document struct {
	// Environment is the environment's name as the document gives it.
	Environment string
	// Revision counts the accepted documents, 0 before the first; it never decreases.
	Revision uint64
	// Digest identifies the text.
	Digest string
	// Text is the document as TOML.
	Text []byte
}

// Trial is a document that was tried and can be promoted.
type Trial struct {
	// Environment is the name of the trial environment.
	Environment string
	// BaseRevision is the production revision that the document was tried on.
	BaseRevision uint64
	// Digest identifies the text.
	Digest string
	// Text is the document as TOML.
	Text []byte
	// Time is when the document was last tried.
	Time time.Time
}

// Revision is one accepted revision of production.
type Revision struct {
	// Revision is the number of the revision, from 1.
	Revision uint64
	// Digest identifies the text.
	Digest string
	// Time is the time of the command that was accepted.
	Time time.Time
	// RequestID is the identity of the change that made the revision.
	RequestID string
	// Text is the document as TOML; nil except for the latest revisions.
	Text []byte
}

// Trial returns the latest trial of the document with a digest.
func (s *State) Trial(digest string) (Trial, bool) {
	for _, t := range slices.Backward(s.Trials) {
		if t.Digest == digest {
			return t, true
		}
	}
	return Trial{}, false
}

// Text returns the text of a document that is named by its revision number, its digest, the name of a trial environment
// or Production. It returns false if the document is unknown or its text is no longer kept.
func (s *State) Text(name string) ([]byte, bool) {
	if name == Production || name == s.Document.Digest {
		return s.Document.Text, s.Document.Revision > 0
	}
	for _, t := range slices.Backward(s.Trials) {
		if t.Digest == name || t.Environment == name {
			return t.Text, true
		}
	}
	for _, r := range slices.Backward(s.History) {
		if r.Digest == name || strconv.FormatUint(r.Revision, 10) == name {
			return r.Text, r.Text != nil
		}
	}
	return nil, false
}

// applyDocument accepts a document that builds on the revision in force; of concurrent changes the first one wins.
func (m *Machine) applyDocument(c record.Command, change record.DocumentChange) record.Result {
	if r, ok := m.checkBase(change.BaseRevision); ok {
		return r
	}
	digest := docs.Digest(change.Text)
	if change.Digest != "" && change.Digest != digest {
		return m.refusal(record.CodeInvalid, fmt.Sprintf("the document's digest is %s, not %s as tried", digest, change.Digest))
	}
	return m.acceptDocument(c, Document{Environment: change.Environment, Digest: digest, Text: change.Text})
}

// applyTrial keeps a document that was tried on the revision in force; it replaces an earlier trial of the same
// document in the same environment.
func (m *Machine) applyTrial(c record.Command, change record.TrialChange) record.Result {
	if r, ok := m.checkBase(change.BaseRevision); ok {
		return r
	}
	s := &m.state
	digest := docs.Digest(change.Text)
	s.Trials = slices.DeleteFunc(s.Trials, func(t Trial) bool {
		return t.Digest == digest && t.Environment == change.Environment
	})
	s.Trials = append(s.Trials, Trial{
		Environment: change.Environment, BaseRevision: change.BaseRevision,
		Digest: digest, Text: change.Text, Time: c.Time,
	})
	if len(s.Trials) > maxTrials {
		s.Trials = slices.Delete(s.Trials, 0, len(s.Trials)-maxTrials)
	}
	return record.Result{Code: record.CodeOK, Revision: s.Document.Revision, Digest: digest}
}

// applyPromote puts a tried document into force in production. The change's base revision, or with UseTrialBase that of
// the trial, must be the one in force.
func (m *Machine) applyPromote(c record.Command, change record.PromoteChange) record.Result {
	t, ok := m.state.Trial(change.Digest)
	if !ok {
		return m.refusal(record.CodeNotFound, fmt.Sprintf("no trial has the digest %q; the latest %d are kept", change.Digest, maxTrials))
	}
	base := change.BaseRevision
	if change.UseTrialBase {
		base = t.BaseRevision
	}
	if r, ok := m.checkBase(base); ok {
		return r
	}
	return m.acceptDocument(c, Document{Environment: t.Environment, Digest: t.Digest, Text: t.Text})
}

// acceptDocument puts a document into force under the next revision.
func (m *Machine) acceptDocument(c record.Command, d Document) record.Result {
	s := &m.state
	before := s.Document.Revision
	d.Revision = before + 1
	s.Document = d
	s.History = append(s.History, Revision{
		Revision: d.Revision, Digest: d.Digest, Time: c.Time, RequestID: c.RequestID, Text: d.Text,
	})
	if old := len(s.History) - maxRevisionTexts - 1; old >= 0 {
		s.History[old].Text = nil
	}
	if len(s.History) > maxRevisions {
		s.History = slices.Delete(s.History, 0, len(s.History)-maxRevisions)
	}
	check.That(s.Document.Revision == before+1, "document_revision_only_rises",
		zap.Uint64("before", before), zap.Uint64("after", s.Document.Revision))
	return record.Result{Code: record.CodeOK, Revision: d.Revision, Digest: d.Digest}
}

// checkBase returns a conflict and true if base is not the revision in force.
func (m *Machine) checkBase(base uint64) (record.Result, bool) {
	d := m.state.Document
	if base == d.Revision {
		return record.Result{}, false
	}
	message := fmt.Sprintf("the change builds on revision %d, but revision %d is in force", base, d.Revision)
	return m.refusal(record.CodeConflict, message), true
}

// refusal returns the result of a document change that was not made, with the revision in force.
func (m *Machine) refusal(code record.Code, message string) record.Result {
	return record.Result{Code: code, Message: message, Revision: m.state.Document.Revision, Digest: m.state.Document.Digest}
}
