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
	// historyKept bounds the revisions that are remembered; at 4,200 changes a day it covers about one.
	historyKept = 4096
	// textsKept bounds the revisions whose text is remembered.
	textsKept = 8
	// trialsKept bounds the trials that can still be promoted.
	trialsKept = 16
)

// Production names the environment that is in force on the entries.
const Production = "production"

// Document is an accepted environment document.
type Document struct {
	// Environment is the environment's name as the document gives it.
	Environment string
	// Revision counts accepted documents; it only rises.
	Revision uint64
	// Digest names the text.
	Digest string
	// Text is the document as TOML.
	Text []byte
}

// Trial is a document that was tried.
type Trial struct {
	// Environment is the name of the trial environment.
	Environment string
	// BaseRevision is the revision of production that it was tried on.
	BaseRevision uint64
	// Digest names the text.
	Digest string
	// Text is the document as TOML.
	Text []byte
	// Time is when it was tried.
	Time time.Time
}

// Revision is one accepted revision of production.
type Revision struct {
	// Revision is its number.
	Revision uint64
	// Digest names its text.
	Digest string
	// Time is when it was accepted.
	Time time.Time
	// RequestID is the identity of the change that brought it.
	RequestID string
	// Text is the document as TOML; only the latest revisions keep theirs.
	Text []byte
}

// Trial returns the latest trial of a document by its digest.
func (s *State) Trial(digest string) (Trial, bool) {
	for _, t := range slices.Backward(s.Trials) {
		if t.Digest == digest {
			return t, true
		}
	}
	return Trial{}, false
}

// Text returns a document's text by a revision, a digest, the name of a trial environment, or production.
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

// applyDocument accepts a document that builds on the revision in force; of racing ones the first wins.
func (m *Machine) applyDocument(c record.Command, change record.DocumentChange) record.Result {
	if r, ok := m.conflict(change.BaseRevision); ok {
		return r
	}
	digest := docs.Digest(change.Text)
	if change.Digest != "" && change.Digest != digest {
		return m.refused(record.CodeInvalid, fmt.Sprintf("the document's digest is %s, not %s as tried", digest, change.Digest))
	}
	return m.accept(c, Document{Environment: change.Environment, Digest: digest, Text: change.Text})
}

// applyTrial remembers a document that was tried on the revision in force; an equal one counts as tried again.
func (m *Machine) applyTrial(c record.Command, change record.TrialChange) record.Result {
	if r, ok := m.conflict(change.BaseRevision); ok {
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
	if len(s.Trials) > trialsKept {
		s.Trials = slices.Delete(s.Trials, 0, len(s.Trials)-trialsKept)
	}
	return record.Result{Code: record.CodeOK, Revision: s.Document.Revision, Digest: digest}
}

// applyPromote puts a document into production that was tried, on the revision in force.
func (m *Machine) applyPromote(c record.Command, change record.PromoteChange) record.Result {
	t, ok := m.state.Trial(change.Digest)
	if !ok {
		return m.refused(record.CodeNotFound, fmt.Sprintf("no trial has the digest %q; the latest %d are kept", change.Digest, trialsKept))
	}
	base := change.BaseRevision
	if change.AsTried {
		base = t.BaseRevision
	}
	if r, ok := m.conflict(base); ok {
		return r
	}
	return m.accept(c, Document{Environment: t.Environment, Digest: t.Digest, Text: t.Text})
}

// accept puts a document into force under the next revision.
func (m *Machine) accept(c record.Command, d Document) record.Result {
	s := &m.state
	before := s.Document.Revision
	d.Revision = before + 1
	s.Document = d
	s.History = append(s.History, Revision{
		Revision: d.Revision, Digest: d.Digest, Time: c.Time, RequestID: c.RequestID, Text: d.Text,
	})
	if old := len(s.History) - textsKept - 1; old >= 0 {
		s.History[old].Text = nil
	}
	if len(s.History) > historyKept {
		s.History = slices.Delete(s.History, 0, len(s.History)-historyKept)
	}
	check.That(s.Document.Revision == before+1, "document_revision_only_rises",
		zap.Uint64("before", before), zap.Uint64("after", s.Document.Revision))
	return record.Result{Code: record.CodeOK, Revision: d.Revision, Digest: d.Digest}
}

func (m *Machine) conflict(base uint64) (record.Result, bool) {
	d := m.state.Document
	if base == d.Revision {
		return record.Result{}, false
	}
	message := fmt.Sprintf("the change builds on revision %d, but revision %d is in force", base, d.Revision)
	return m.refused(record.CodeConflict, message), true
}

// refused returns the result of a change that was not made.
func (m *Machine) refused(code record.Code, message string) record.Result {
	return record.Result{Code: code, Message: message, Revision: m.state.Document.Revision, Digest: m.state.Document.Digest}
}
