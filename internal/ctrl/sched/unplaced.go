package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

const (
	// unplacedMs is how long a task that lasts has to wait before the log says why, in milliseconds.
	unplacedMs = 2000
	// maxUnplacedLogged bounds the tasks of which the log says so at a time.
	maxUnplacedLogged = 8
)

// unplaced returns the tasks of a job that could start.
func (job *activeJob) unplaced() []batch.TaskID {
	return slices.Concat(job.ready, job.suspects, job.trials)
}

// noteUnplaced notes since when the job's tasks that last wait for a worker, given the former view of the job, nil for none.
func (job *activeJob) noteUnplaced(former *activeJob, now int64) {
	if !job.item.LongRunning {
		return
	}
	job.unplacedSinceMs = map[batch.TaskID]int64{}
	for _, id := range job.unplaced() {
		if !job.state.Spec.Steps[id.Step].LongRunning {
			continue
		}
		job.unplacedSinceMs[id] = now
		if former == nil {
			continue
		}
		if since, waited := former.unplacedSinceMs[id]; waited {
			job.unplacedSinceMs[id] = since
		}
	}
}

// logUnplaced logs for tasks that last and have waited for long why no worker takes them, and for each pool with tasks that
// wait what its workers do.
func (s *Scheduler) logUnplaced(now int64) {
	left := maxUnplacedLogged
	for _, p := range s.currentConfiguration().Pools {
		q := s.queueOf(p.Name)
		if q.demand+len(q.suspects.order)+len(q.trials.order) == 0 {
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
		zap.Int("trials", len(q.trials.order)), zap.Any("workers", workers), zap.Uint64("term", s.term))
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
		zap.Bool("trial", slices.Contains(job.trials, id)), zap.Bool("step_suspected", s.stepSuspected(job, stepOf(id))),
		zap.Bool("abandoned_runs", s.abandonedUntilMs[id] > now), zap.Any("workers", workers), zap.String("pool", job.pool),
		zap.Uint64("term", s.term))
}
