package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/pace"
)

// pace sets the share at which tasks that fill work beside tasks that serve.
func (e *Scheduler) pace(w *worker) []batch.PaceOrder {
	worst, fills := 0, false
	for id, a := range w.running {
		j, t := e.find(id)
		if t == nil {
			continue
		}
		step := &j.Job.Steps[id.Step]
		fills = fills || step.Fills
		if step.LongRunning && step.TailTargetMs > 0 {
			worst = max(worst, int(a.load*fullShare/float64(step.TailTargetMs)))
		}
	}
	if !fills {
		w.share = fullShare
		return nil
	}
	before := w.share
	w.share = pace.Next(w.share, worst)
	if before != w.share {
		e.options.Logger.Info("fills_paced", zap.String("worker", w.id), zap.Int("percent", w.share), zap.Int("before", before),
			zap.Int("worst_tail_percent", worst))
	}
	var orders []batch.PaceOrder
	for id, a := range w.running {
		j, t := e.find(id)
		if t == nil || !j.Job.Steps[id.Step].Fills || a.share == w.share {
			continue
		}
		a.share = w.share
		orders = append(orders, batch.PaceOrder{Task: id, Attempt: a.number, Percent: w.share})
	}
	return orders
}
