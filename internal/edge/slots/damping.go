package slots

import "time"

const (
	// dampingDivisor sets the relative change of demand, 1/dampingDivisor, above which the division follows it.
	dampingDivisor = 3
	// minFallInterval is the minimum time since the last change before the division follows a lower demand.
	minFallInterval = 500 * time.Millisecond
)

// dampedDemand is the demand by which slots are divided. It follows reported demand up at once and down slowly, and
// ignores small changes, because slots that move between entries are idle meanwhile.
type dampedDemand struct {
	count   int
	changed time.Time
}

func (d *dampedDemand) update(count int, now time.Time) {
	up := count > d.count+d.count/dampingDivisor+d.minChange()
	down := (count == 0 || count < d.count-d.count/dampingDivisor-d.minChange()) && elapsed(d.changed, now) >= minFallInterval
	if up || down {
		d.count, d.changed = count, now
	}
}

// minChange is the smallest absolute change that is followed; at a demand of zero any change is.
func (d *dampedDemand) minChange() int {
	return min(d.count, 1)
}

// updateDemands applies the demands of a report; services that it doesn't name have none.
func (h *holderState) updateDemands(demands []Demand, now time.Time) {
	counts := map[string]int{}
	for _, reported := range demands {
		counts[reported.Service] = reported.Count
		if h.demands[reported.Service] == nil {
			h.demands[reported.Service] = &dampedDemand{}
		}
	}
	for service, damped := range h.demands {
		damped.update(counts[service], now)
		if damped.count == 0 {
			delete(h.demands, service)
		}
	}
}

func (h *holderState) demandFor(service string) int {
	if damped := h.demands[service]; damped != nil {
		return damped.count
	}
	return 0
}
