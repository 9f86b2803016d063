package relay

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errAborted means that a write came after its attempt was aborted.
var errAborted = errors.New("the attempt was aborted")

// phase is the progress of sending an attempt; it only moves forward.
type phase int32

const (
	// phaseUnsent means that no byte has been written yet.
	phaseUnsent phase = iota
	// phaseStarted means that the first byte was written or is being written.
	phaseStarted
	// phaseAborted means that no byte was written, and none will be.
	phaseAborted
	// phaseNotPermitted is phaseAborted for the reason that the permission to send had ended.
	phaseNotPermitted
)

// sendState tracks whether a byte of an attempt was written to a connection; it is safe for concurrent use.
type sendState struct {
	phase  atomic.Int32
	permit func() bool
	scan   scanner
}

// begin is called before each write and returns an error if the write is not allowed.
func (s *sendState) begin() error {
	if phase(s.phase.Load()) == phaseStarted {
		return nil
	}
	if s.permit != nil && !s.permit() {
		s.phase.CompareAndSwap(int32(phaseUnsent), int32(phaseNotPermitted))
		return ErrNotPermitted
	}
	if !s.phase.CompareAndSwap(int32(phaseUnsent), int32(phaseStarted)) {
		return errAborted
	}
	return nil
}

// markUnwritten aborts a started attempt whose first write failed without writing a byte.
func (s *sendState) markUnwritten() {
	s.phase.CompareAndSwap(int32(phaseStarted), int32(phaseAborted))
}

// abort prevents an unsent attempt from starting; it returns false if a byte may have been written.
func (s *sendState) abort() bool {
	s.phase.CompareAndSwap(int32(phaseUnsent), int32(phaseAborted))
	return phase(s.phase.Load()) != phaseStarted
}

// notPermitted reports whether the attempt was not sent because the permission to send had ended.
func (s *sendState) notPermitted() bool {
	return phase(s.phase.Load()) == phaseNotPermitted
}
