package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

const (
	// copyAfterMs is how long an attempt is watched before a copy of it may start, in milliseconds.
	copyAfterMs = 400
	// copyGain is how many times as long as a new attempt the present one must still take for a copy to be worth its room.
	copyGain = 3
	// copyLeastMs is the least time that a new attempt is taken to need, in milliseconds.
	copyLeastMs = 400
	// percentDone is the progress of an attempt that has done its work.
	percentDone = 100
)

// giveCopies starts copies of tasks that are far behind, where a worker has room that nothing else waits for.
func (e *Scheduler) giveCopies(w *worker, q *poolQueue, sequence uint64, now int64) []batch.StartOrder {
	if q.demand > 0 || q.copyable == 0 {
		return nil
	}
	var orders []batch.StartOrder
	for _, one := range q.works {
		for _, id := range one.copyable {
			if len(orders) >= startsAtOnce {
				return orders
			}
			_, t := e.find(id)
			if t == nil || e.starting[id] || len(t.Runs) != 1 || t.Runs[0].Worker == w.id || !e.behind(one, id, now) {
				continue
			}
			step := &one.job.Job.Steps[id.Step]
			ticket, ok := e.mayRun(w, one, id, step, now)
			if !ok {
				continue
			}
			copiesTotal.Inc()
			e.options.Logger.Info("attempt_copied", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("index", id.Index),
				zap.Int("attempt", t.Attempt), zap.String("worker", t.Runs[0].Worker), zap.String("copy_on", w.id))
			orders = append(orders, e.start(w, one.job, id, ticket, sequence))
		}
	}
	return orders
}

// behind says whether a task's one attempt, at its pace so far, takes much longer than a new one would.
func (e *Scheduler) behind(one *work, id batch.TaskID, now int64) bool {
	_, t := e.find(id)
	w := e.workers[t.Runs[0].Worker]
	if w == nil || w.running[id] == nil {
		return false
	}
	a := w.running[id]
	elapsed := now - a.sinceMs
	if elapsed < copyAfterMs {
		return false
	}
	step := &one.job.Job.Steps[id.Step]
	expected := max(copyLeastMs, int64(float64(step.EstimateMs)*e.learned.scaleOf(one.job.Job.Queue)))
	left := elapsed * int64(percentDone-a.percent) / int64(max(1, a.percent))
	return left > copyGain*expected
}
