package relay

import "sync/atomic"

// phase is how far the sending of an attempt has come; it only moves forward.
type phase int32

const (
	// phaseOpen means that no byte was written yet.
	phaseOpen phase = iota
	// phaseBegun means that the first byte is being written or was.
	phaseBegun
	// phaseClosed means that no byte was written, and none will be.
	phaseClosed
)

// sending knows for one attempt whether a byte of it reached the connection.
type sending struct {
	phase  atomic.Int32
	permit func() bool
	scan   scanner
}

// begin is called before each write, and says whether it may go on.
func (s *sending) begin() bool {
	if phase(s.phase.Load()) == phaseBegun {
		return true
	}
	if s.permit != nil && !s.permit() {
		s.close()
		return false
	}
	return s.phase.CompareAndSwap(int32(phaseOpen), int32(phaseBegun))
}

// unwritten takes back begin after a first write of which no byte went out.
func (s *sending) unwritten() {
	s.phase.CompareAndSwap(int32(phaseBegun), int32(phaseClosed))
}

// close forbids a first byte; it returns false where one may have been written.
func (s *sending) close() bool {
	s.phase.CompareAndSwap(int32(phaseOpen), int32(phaseClosed))
	return phase(s.phase.Load()) == phaseClosed
}
