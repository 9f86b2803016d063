package route

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// Load tells how many requests an endpoint has in progress, by its key.
type Load interface {
	InProgress(key string) int
}

// Choose returns the less loaded of two endpoints picked by the random numbers, and false where there is none.
// Endpoints that leave, that have lapsed or whose key is in skip are passed over.
func Choose(s Service, load Load, skip map[string]bool, now time.Time, random func(n int) int) (fleet.Endpoint, bool) {
	var free []fleet.Endpoint
	for _, e := range s.Endpoints {
		if e.Leaving || !now.Before(e.Expires) || skip[e.Key()] {
			continue
		}
		if load.InProgress(e.Key()) < e.Slots {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return fleet.Endpoint{}, false
	}
	first, second := free[random(len(free))], free[random(len(free))]
	if load.InProgress(second.Key()) < load.InProgress(first.Key()) {
		return second, true
	}
	return first, true
}
