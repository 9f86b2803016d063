package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

const (
	// unplacedMs is how long a task that lasts has to wait before the log says why, in milliseconds.
	unplacedMs = 2000
	// overdueMs is how long a task that lasts waits at most for a worker that is better than others, and overdueAloneMs for one on
	// which no task runs alone, in milliseconds.
	overdueMs      = 2000
	overdueAloneMs = 3500
	// maxUnplacedLogged bounds the tasks of which the log says so at a time.
	maxUnplacedLogged = 8
)

// unplaced returns the tasks of a job that could start.
func (job *activeJob) unplaced() []batch.TaskID {
	return slices.Concat(job.ready, job.suspects, job.alone)
}

// noteUnplaced notes since when the job's tasks that last wait for a worker, given the former view of the job, nil for none.
func (job *activeJob) noteUnplaced(former *activeJob, now int64) {
	if !job.item.LongRunning {
		return
	}
	job.unplacedSinceMs, job.longestSinceMs = map[batch.TaskID]int64{}, now
	for _, id := range job.unplaced() {
		step := &job.state.Spec.Steps[id.Step]
		if !step.LongRunning {
			continue
		}
		sinceMs := now
		if former != nil {
			if since, waited := former.unplacedSinceMs[id]; waited {
				sinceMs = since
			}
		}
		if len(job.unplacedSinceMs) == 0 {
			job.unplacedNeed = step.ReservedResources()
		}
		job.unplacedSinceMs[id] = sinceMs
		job.longestSinceMs = min(job.longestSinceMs, sinceMs)
		job.unplacedNeed = job.unplacedNeed.Min(step.ReservedResources())
	}
}

// longestUnplaced returns the task that lasts and has waited longest among those of a pool that wait at least for a time and that
// may start in a worker's free resources, with its ticket; the job is nil if there is none.
func (q *poolQueue) longestUnplaced(minMs, now int64, free batch.Resources,
	mayStart func(job *activeJob, id batch.TaskID) (ticket string, ok bool),
) (job *activeJob, id batch.TaskID, ticket string) {
	sinceMs := now - minMs
	for _, other := range q.unplaced {
		if other.longestSinceMs > sinceMs || !free.Covers(other.unplacedNeed) {
			continue
		}
		for _, list := range [][]batch.TaskID{other.ready, other.suspects, other.alone} {
			for _, otherID := range list {
				otherMs, lasts := other.unplacedSinceMs[otherID]
				if !lasts || otherMs > sinceMs || job != nil && otherMs == sinceMs && compareTasks(otherID, id) > 0 {
					continue
				}
				if t, ok := mayStart(other, otherID); ok {
					job, id, ticket, sinceMs = other, otherID, t, otherMs
				}
			}
		}
	}
	return job, id, ticket
}

// assignOverdue starts on a worker the task that lasts and has waited longest, if it has waited for so long that it takes any
// worker that meets its own requirements: one on which others failed, that is kept free for tasks that run alone or that leaves too.
func (s *Scheduler) assignOverdue(w *worker, q *poolQueue, sequence uint64, now int64) []batch.StartOrder {
	if len(q.unplaced) == 0 || s.isOrdered(w) || w.starting > 0 || s.plansMembersOn(w) {
		return nil
	}
	minMs := int64(overdueMs)
	if w.keptFree {
		id, runs := s.runsAloneOn(w)
		if runs && !s.jobs[id.Job].state.Spec.Steps[id.Step].LongRunning {
			// It ends by itself.
			return nil
		}
		if runs {
			minMs = overdueAloneMs
		}
	}
	// Other workers take ready tasks in any case, several at a time.
	takesReady := s.closedTo(w, now) == fit && !s.fleet.maintenanceDue(w)
	job, id, ticket := q.longestUnplaced(minMs, now, w.free, func(job *activeJob, id batch.TaskID) (string, bool) {
		step := stepOf(id)
		if slices.Contains(job.ready, id) {
			if takesReady || s.stepSuspected(job, step) {
				return "", false
			}
		} else if s.startsAny(w) || s.stepHeld(job, step) {
			return "", false
		}
		return s.mayRun(w, job, id, now)
	})
	if job == nil {
		return nil
	}
	s.options.Logger.Info("task_overdue", zap.String("job", id.Job), zap.Int("occurrence", id.Occurrence), zap.Int("step", id.Step),
		zap.Int("index", id.Index), zap.String("worker", w.id), zap.Int64("waited_ms", now-job.unplacedSinceMs[id]),
		zap.Stringer("otherwise", s.closedTo(w, now)), zap.Uint64("term", s.term))
	return []batch.StartOrder{s.startOverdue(w, q, job, id, ticket, sequence)}
}

// startOverdue starts a task that lasts, whichever of a job's lists it waits in.
func (s *Scheduler) startOverdue(w *worker, q *poolQueue, job *activeJob, id batch.TaskID, ticket string, sequence uint64) batch.StartOrder {
	if i := slices.Index(job.ready, id); i >= 0 {
		job.ready = slices.Delete(job.ready, i, i+1)
		q.demand--
		return s.startAttempt(w, job.state, id, ticket, sequence)
	}
	q.suspects.remove(id)
	q.alone.remove(id)
	return s.startSuspect(w, job, id, ticket, sequence)
}

// logUnplaced logs for tasks that last and have waited for long why no worker takes them, and for each pool with tasks that
// wait what its workers do.
func (s *Scheduler) logUnplaced(now int64) {
	left := maxUnplacedLogged
	for _, p := range s.currentConfiguration().Pools {
		q := s.queueOf(p.Name)
		if q.demand+len(q.suspects.order)+len(q.alone.order) == 0 {
			continue
		}
		s.logPoolWaits(p.Name, q, now)
		for _, job := range q.jobs {
			for _, id := range job.unplaced() {
				sinceMs, lasts := job.unplacedSinceMs[id]
				if left > 0 && lasts && now-sinceMs >= unplacedMs {
					s.logUnplacedTask(job, id, now-sinceMs, now)
					left--
				}
			}
		}
	}
}

// logPoolWaits logs how many workers of a pool take tasks, and why the others don't.
func (s *Scheduler) logPoolWaits(pool string, q *poolQueue, now int64) {
	workers := map[string]int{}
	for _, w := range s.workers {
		if w.pool == pool && !w.left {
			workers[s.closedTo(w, now).String()]++
		}
	}
	s.options.Logger.Info("pool_waits", zap.String("pool", pool), zap.Int("ready", q.demand), zap.Int("suspects", len(q.suspects.order)),
		zap.Int("alone", len(q.alone.order)), zap.Any("workers", workers), zap.Uint64("term", s.term))
}

// logUnplacedTask logs how many workers of a task's pool don't take it, by reason.
func (s *Scheduler) logUnplacedTask(job *activeJob, id batch.TaskID, waitedMs, now int64) {
	workers := map[string]int{}
	for _, w := range s.workers {
		if w.pool == job.pool && !w.left {
			workers[s.unfitFor(w, job, id, now).String()]++
		}
	}
	s.options.Logger.Info("task_unplaced", zap.String("job", id.Job), zap.Int("occurrence", id.Occurrence), zap.Int("step", id.Step),
		zap.Int("index", id.Index), zap.Int64("waited_ms", waitedMs), zap.Bool("suspect", slices.Contains(job.suspects, id)),
		zap.Bool("alone", slices.Contains(job.alone, id)), zap.Bool("step_suspected", s.stepSuspected(job, stepOf(id))),
		zap.Bool("abandoned_runs", s.abandoned[id] > 0), zap.Any("workers", workers), zap.String("pool", job.pool),
		zap.Uint64("term", s.term))
}
