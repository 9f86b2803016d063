package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/pace"
)

// pace throttles best-effort tasks that run beside long-running tasks with a tail latency target, and returns the
// changed shares.
func (s *Scheduler) pace(w *worker) []batch.PaceOrder {
	worstTailPercent, hasBestEffort := 0, false
	for id, a := range w.running {
		j, t := s.findTask(id)
		if t == nil {
			continue
		}
		step := &j.Spec.Steps[id.Step]
		hasBestEffort = hasBestEffort || step.BestEffort
		if step.LongRunning && step.TailLatencyTargetMs > 0 {
			worstTailPercent = max(worstTailPercent, int(a.load*fullSharePercent/float64(step.TailLatencyTargetMs)))
		}
	}
	if !hasBestEffort {
		w.share = fullSharePercent
		return nil
	}
	previous := w.share
	w.share = pace.Next(w.share, worstTailPercent)
	if previous != w.share {
		s.options.Logger.Info("best_effort_throttled", zap.String("worker", w.id), zap.Int("percent", w.share), zap.Int("before", previous),
			zap.Int("worst_tail_percent", worstTailPercent))
	}
	var orders []batch.PaceOrder
	for id, a := range w.running {
		j, t := s.findTask(id)
		if t == nil || !j.Spec.Steps[id.Step].BestEffort || a.share == w.share {
			continue
		}
		a.share = w.share
		orders = append(orders, batch.PaceOrder{Task: id, Attempt: a.number, Percent: w.share})
	}
	return orders
}
