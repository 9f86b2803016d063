package admit

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/edge/queue"
	"cowslipstack/internal/edge/route"
)

// refuseVerdict returns the refusal for a wait that ended without a slot.
func (c *Controller) refuseVerdict(r route.Request, v queue.Verdict) (route.Ticket, error) {
	switch v {
	case queue.VerdictFull:
		return c.refuse(r, route.ReasonQueueFull, "too many requests wait")
	case queue.VerdictDisplaced:
		return c.refuse(r, route.ReasonQueueFull, "a team below its share took the place")
	default:
		return c.refuse(r, route.ReasonTooLate, "the deadline can't be met")
	}
}

func (c *Controller) refuse(r route.Request, reason route.Reason, message string) (route.Ticket, error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowslip_refusals_total{service=%q,reason=%q}`, r.Service, reason)).Inc()
	return route.Ticket{}, &route.Refusal{Reason: reason, Message: message}
}

func countEjection(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowslip_ejections_total{service=%q}`, service)).Inc()
}

// registerGauges registers the service's gauges, which are computed when the metrics are read.
func (s *service) registerGauges() {
	register := func(name, extra string, read func() int) {
		metrics.GetOrCreateGauge(fmt.Sprintf(`%s{service=%q%s}`, name, s.name, extra), func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(read())
		})
	}
	for c := queue.ClassUrgent; c <= queue.ClassBatch; c++ {
		register("cowslip_queue_length", fmt.Sprintf(`,class=%q`, c), func() int { return s.queue.LenClass(c) })
	}
	register("cowslip_in_progress", "", func() int { return len(s.attempts) })
	register("cowslip_slots_held", "", func() int { return s.capacity().Slots })
	register("cowslip_runners_out", "", func() int { return s.pool.Ejected() })
}
