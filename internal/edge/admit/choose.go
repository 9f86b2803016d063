package admit

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// choose takes a slot of the less loaded of two runners picked at random, else of the first free one
// behind a random place. A retry goes to another failure domain where one is free, and never to a
// runner that was tried while another is free; mu is held.
func (s *service) choose(tried []fleet.Endpoint, now time.Time) *runner {
	count := len(s.runners)
	if count == 0 {
		return nil
	}
	if len(tried) == 0 {
		first, second := s.runners[s.random(count)], s.runners[s.random(count)]
		if second.free(now) > first.free(now) {
			first, second = second, first
		}
		if s.grab(first, now) {
			return first
		}
		if s.grab(second, now) {
			return second
		}
	}
	for distance := farthest(tried); distance >= 0; distance-- {
		start := s.random(count)
		for i := range count {
			r := s.runners[(start+i)%count]
			if apart(r.endpoint, tried) >= distance && s.grab(r, now) {
				return r
			}
		}
	}
	return nil
}

func (r *runner) free(now time.Time) int {
	return r.share.Free(now)
}

func (s *service) grab(r *runner, now time.Time) bool {
	return s.pool.Usable(r.key, now) && r.share.TryAcquire(now)
}

// How far a runner is from those that were tried.
const (
	sameRunner = iota
	sameRack
	sameDataCentre
	elsewhere
)

func farthest(tried []fleet.Endpoint) int {
	if len(tried) == 0 {
		return sameRunner
	}
	return elsewhere
}

// apart returns how far an endpoint is from the nearest of those that were tried.
func apart(e fleet.Endpoint, tried []fleet.Endpoint) int {
	nearest := elsewhere
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
