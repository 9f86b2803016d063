package admit

import (
	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/base/hist"
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
	metrics.GetOrCreateCounter(hist.Series("cowslip_refusals_total", hist.Label{Name: "service", Value: r.Service},
		hist.Label{Name: "reason", Value: reason.String()})).Inc()
	return route.Ticket{}, &route.Refusal{Reason: reason, Message: message}
}

func countEjection(service string) {
	metrics.GetOrCreateCounter(hist.Series("cowslip_ejections_total", hist.Label{Name: "service", Value: service})).Inc()
}

// registerGauges registers the service's gauges, which are computed when the metrics are read.
func (s *service) registerGauges() {
	register := func(name string, read func() int, extra ...hist.Label) {
		labels := append([]hist.Label{{Name: "service", Value: s.name}}, extra...)
		metrics.GetOrCreateGauge(hist.Series(name, labels...), func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(read())
		})
	}
	for c := queue.ClassUrgent; c <= queue.ClassBatch; c++ {
		register("cowslip_queue_length", func() int { return s.queue.LenClass(c) }, hist.Label{Name: "class", Value: c.String()})
	}
	register("cowslip_in_progress", func() int { return len(s.attempts) })
	register("cowslip_slots_held", func() int { return s.capacity().Slots })
	register("cowslip_runners_out", func() int { return s.pool.Ejected() })
}
