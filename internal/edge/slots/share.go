package slots

import (
	"sync/atomic"
	"time"

	"cowslipstack/internal/edge/route"
)

// Share is what an entry may use of one runner. Traffic takes and gives back
// slots while the control loop changes the grant; all methods are safe for
// concurrent use.
type Share struct {
	// word holds the granted slots in its upper and those in use in its lower half, so that they change as one.
	word  atomic.Uint64
	lease atomic.Pointer[route.Lease]
}

const half = 32

// TryAcquire takes a slot, or returns false where none is free at the time.
func (s *Share) TryAcquire(now time.Time) bool {
	for {
		word := s.word.Load()
		if granted, inUse := split(word); inUse >= granted {
			return false
		}
		if lease := s.lease.Load(); lease == nil || !lease.Valid(now) {
			return false
		}
		if s.word.CompareAndSwap(word, word+1) {
			return true
		}
	}
}

// Release gives a slot back; it returns how many are still in use.
func (s *Share) Release() int {
	_, inUse := split(s.word.Add(^uint64(0)))
	return inUse
}

// Counts returns the granted slots and those in use, read as one.
func (s *Share) Counts() (granted, inUse int) {
	return split(s.word.Load())
}

// Free returns how many slots could be taken at the time.
func (s *Share) Free(now time.Time) int {
	granted, inUse := split(s.word.Load())
	if lease := s.lease.Load(); inUse >= granted || lease == nil || !lease.Valid(now) {
		return 0
	}
	return granted - inUse
}

// Grant changes the granted slots; those in use above it stay until they are given back.
func (s *Share) Grant(slots int) {
	for {
		word := s.word.Load()
		_, inUse := split(word)
		if s.word.CompareAndSwap(word, uint64(slots)<<half|uint64(inUse)) {
			return
		}
	}
}

// renew makes the grant last as long as the lease.
func (s *Share) renew(l *route.Lease) {
	s.lease.Store(l)
}

func split(word uint64) (granted, inUse int) {
	return int(word >> half), int(uint32(word))
}
