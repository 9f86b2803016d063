package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

const (
	// stragglerAfterMs is how long a worker must have listed an attempt before a copy of it may start, in milliseconds.
	stragglerAfterMs = 400
	// stragglerFactor is how many times the duration of a new attempt the present one must still need before a copy
	// is worth its resources.
	stragglerFactor = 3
	// minExpectedMs is the lower bound of the expected duration of a new attempt, in milliseconds.
	minExpectedMs = 400
	// percentDone is the progress of an attempt that has finished its work.
	percentDone = 100
)

// assignCopies starts speculative copies of stragglers on a worker, if no ready task of the pool waits for
// resources.
func (s *Scheduler) assignCopies(w *worker, q *poolQueue, sequence uint64, now int64) []batch.StartOrder {
	if q.copyable == 0 || s.waitsForResources(q) {
		return nil
	}
	var orders []batch.StartOrder
	for _, job := range q.jobs {
		for _, id := range job.copyable {
			if len(orders) >= maxStartsPerReply {
				return orders
			}
			_, t := s.findTask(id)
			if t == nil || s.starting[id] || len(t.Attempts) != 1 || t.Attempts[0].Worker == w.id || !s.isStraggler(job, id, now) {
				continue
			}
			ticket, ok := s.mayRun(w, job, id, now)
			if !ok {
				continue
			}
			copiesTotal.Inc()
			s.options.Logger.Info("attempt_copied", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("index", id.Index),
				zap.Int("attempt", t.LastAttempt), zap.String("worker", t.Attempts[0].Worker), zap.String("copy_on", w.id))
			orders = append(orders, s.startAttempt(w, job.state, id, ticket, sequence))
		}
	}
	return orders
}

// waitsForResources reports whether a ready task of a pool waits for more than its account's limit.
func (s *Scheduler) waitsForResources(q *poolQueue) bool {
	if q.demand == 0 {
		return false
	}
	for _, job := range q.order {
		if len(job.ready) > 0 && s.mayHoldAny(job) {
			return true
		}
	}
	return false
}

// isStraggler reports whether a task's only attempt, at its rate so far, needs much longer than a new attempt
// would.
func (s *Scheduler) isStraggler(job *activeJob, id batch.TaskID, now int64) bool {
	_, t := s.findTask(id)
	w := s.workers[t.Attempts[0].Worker]
	if w == nil || w.running[id] == nil {
		return false
	}
	a := w.running[id]
	elapsedMs := now - a.sinceMs
	if elapsedMs < stragglerAfterMs {
		return false
	}
	step := &job.state.Spec.Steps[id.Step]
	expectedMs := max(minExpectedMs, int64(float64(step.EstimateMs)*s.estimates.scaleOf(job.state.Spec.Queue)))
	remainingMs := elapsedMs * int64(percentDone-a.percent) / int64(max(1, a.percent))
	return remainingMs > stragglerFactor*expectedMs
}
