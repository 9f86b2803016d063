package slots

import (
	"math"
	"time"
)

// offeredWindow is the time over which arrivals are averaged.
const offeredWindow = 250 * time.Millisecond

// Offered measures how many requests of a service are in progress where none has to wait: the rate of
// arrivals times the time that each takes. Unlike the length of a queue it tells a surge at its start.
type Offered struct {
	rate float64
	at   time.Time
}

// Arrive notes an arrival.
func (o *Offered) Arrive(now time.Time) {
	o.decay(now)
	o.rate += 1 / offeredWindow.Seconds()
}

// Demand returns the requests in progress that the arrivals amount to. Those that wait add to it, up
// to as much again: so it follows a queue that stands, but settles while one grows.
func (o *Offered) Demand(now time.Time, service time.Duration, inProgress, waiting int) int {
	o.decay(now)
	demand := int(math.Round(o.rate * service.Seconds()))
	if inProgress+waiting > 0 {
		demand = max(demand, 1)
	}
	return demand + min(waiting, demand+1)
}

func (o *Offered) decay(now time.Time) {
	if d := now.Sub(o.at); d > 0 {
		o.rate *= math.Exp(-d.Seconds() / offeredWindow.Seconds())
		o.at = now
	}
}
