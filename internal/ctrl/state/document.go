package state

import (
	"fmt"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/record"
)

// Document is an accepted environment document.
type Document struct {
	// Environment is the environment's name.
	Environment string
	// Revision counts accepted documents; it only rises.
	Revision uint64
	// Digest names the text.
	Digest string
	// Text is the document as TOML.
	Text []byte
}

// applyDocument accepts a document that builds on the revision in force; of racing ones the first wins.
func (m *Machine) applyDocument(c record.DocumentChange) record.Result {
	d := &m.state.Document
	if c.BaseRevision != d.Revision {
		return record.Result{
			Code:     record.CodeConflict,
			Message:  fmt.Sprintf("the change builds on revision %d, but revision %d is in force", c.BaseRevision, d.Revision),
			Revision: d.Revision,
			Digest:   d.Digest,
		}
	}
	digest := docs.Digest(c.Text)
	if c.Digest != "" && c.Digest != digest {
		return record.Result{
			Code:     record.CodeInvalid,
			Message:  fmt.Sprintf("the document's digest is %s, not %s as tried", digest, c.Digest),
			Revision: d.Revision,
			Digest:   d.Digest,
		}
	}
	*d = Document{Environment: c.Environment, Revision: d.Revision + 1, Digest: digest, Text: c.Text}
	return record.Result{Code: record.CodeOK, Revision: d.Revision, Digest: digest}
}
