package admit

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// takeSlot takes a slot for a request and returns its runner, or nil where none is free. For a first attempt it picks
// two runners at random and takes the less loaded one; if neither has a slot, it takes the first free runner from a
// random position on. A retry prefers another failure domain, and gets a runner that was tried only if no other is
// free. The caller holds mu.
func (s *service) takeSlot(tried []fleet.Endpoint, now time.Time) *runner {
	count := len(s.runners)
	if count == 0 {
		return nil
	}
	if len(tried) == 0 {
		first, second := s.runners[s.random(count)], s.runners[s.random(count)]
		if second.free(now) > first.free(now) {
			first, second = second, first
		}
		if s.tryAcquire(first, now) {
			return first
		}
		if s.tryAcquire(second, now) {
			return second
		}
	}
	for distance := maxDistance(tried); distance >= 0; distance-- {
		start := s.random(count)
		for i := range count {
			r := s.runners[(start+i)%count]
			if distanceFrom(r.endpoint, tried) >= distance && s.tryAcquire(r, now) {
				return r
			}
		}
	}
	return nil
}

func (r *runner) free(now time.Time) int {
	return r.share.Free(now)
}

func (s *service) tryAcquire(r *runner, now time.Time) bool {
	return s.pool.Usable(r.key, now) && r.share.TryAcquire(now)
}

// Distances between failure domains, nearest first.
const (
	sameRunner = iota
	sameRack
	sameDataCentre
	otherDataCentre
)

func maxDistance(tried []fleet.Endpoint) int {
	if len(tried) == 0 {
		return sameRunner
	}
	return otherDataCentre
}

// distanceFrom returns the distance between an endpoint and the nearest of those that were tried.
func distanceFrom(e fleet.Endpoint, tried []fleet.Endpoint) int {
	nearest := otherDataCentre
	for _, t := range tried {
		switch {
		case t.Key() == e.Key():
			return sameRunner
		case t.VM == e.VM || t.Domain.DataCentre == e.Domain.DataCentre && t.Domain.Rack == e.Domain.Rack:
			nearest = min(nearest, sameRack)
		case t.Domain.DataCentre == e.Domain.DataCentre:
			nearest = min(nearest, sameDataCentre)
		}
	}
	return nearest
}
