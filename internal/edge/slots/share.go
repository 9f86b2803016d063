package slots

import (
	"sync/atomic"
	"time"

	"cowslipstack/internal/edge/route"
)

// Share is what an entry may use of one runner. Requests take and release slots while the control loop changes the
// grant; all methods are safe for concurrent use.
type Share struct {
	// packed holds the granted slots in the upper and the slots in use in the lower half, so that both change
	// atomically.
	packed atomic.Uint64
	lease  atomic.Pointer[route.Lease]
}

const grantedShift = 32

// TryAcquire takes a slot, or returns false if none is free or the lease has lapsed.
func (s *Share) TryAcquire(now time.Time) bool {
	for {
		packed := s.packed.Load()
		if granted, inUse := unpack(packed); inUse >= granted {
			return false
		}
		if lease := s.lease.Load(); lease == nil || !lease.Valid(now) {
			return false
		}
		if s.packed.CompareAndSwap(packed, packed+1) {
			return true
		}
	}
}

// Release gives a slot back and returns the number still in use.
func (s *Share) Release() int {
	_, inUse := unpack(s.packed.Add(^uint64(0)))
	return inUse
}

// Counts returns the granted slots and the slots in use, read atomically together.
func (s *Share) Counts() (granted, inUse int) {
	return unpack(s.packed.Load())
}

// Free returns how many slots can be taken at the given time.
func (s *Share) Free(now time.Time) int {
	granted, inUse := unpack(s.packed.Load())
	if lease := s.lease.Load(); inUse >= granted || lease == nil || !lease.Valid(now) {
		return 0
	}
	return granted - inUse
}

// Grant changes the granted slots; slots in use above the new grant stay in use until they are released.
func (s *Share) Grant(slots int) {
	for {
		packed := s.packed.Load()
		_, inUse := unpack(packed)
		if s.packed.CompareAndSwap(packed, uint64(slots)<<grantedShift|uint64(inUse)) {
			return
		}
	}
}

// renew replaces the lease under which the grant is valid.
func (s *Share) renew(l *route.Lease) {
	s.lease.Store(l)
}

func unpack(packed uint64) (granted, inUse int) {
	return int(packed >> grantedShift), int(uint32(packed))
}
