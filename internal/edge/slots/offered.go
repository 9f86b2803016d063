package slots

import (
	"math"
	"time"
)

// arrivalWindow is the time constant over which arrivals are averaged.
const arrivalWindow = 250 * time.Millisecond

// OfferedLoad estimates how many requests of a service would be in progress if none had to wait: the arrival rate
// times the service time. Unlike the length of a queue, it shows a surge at its start.
type OfferedLoad struct {
	rate    float64
	updated time.Time
}

// Arrive records an arrival.
func (o *OfferedLoad) Arrive(now time.Time) {
	o.decay(now)
	o.rate += 1 / arrivalWindow.Seconds()
}

// Demand returns the demand for slots: the offered load plus the waiting requests. The latter are capped at about
// the offered load again, so that demand covers a standing queue but stays stable while a queue grows.
func (o *OfferedLoad) Demand(now time.Time, serviceTime time.Duration, inProgress, waiting int) int {
	o.decay(now)
	demand := int(math.Round(o.rate * serviceTime.Seconds()))
	if inProgress+waiting > 0 {
		demand = max(demand, 1)
	}
	return demand + min(waiting, demand+1)
}

func (o *OfferedLoad) decay(now time.Time) {
	if d := now.Sub(o.updated); d > 0 {
		o.rate *= math.Exp(-d.Seconds() / arrivalWindow.Seconds())
		o.updated = now
	}
}
