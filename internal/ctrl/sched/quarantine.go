package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/eject"
)

// noteOutcome counts consecutive failures on a worker, and shuns the worker when there are too many.
func (s *Scheduler) noteOutcome(w *worker, report *batch.EndReport) {
	switch report.Kind {
	case batch.EndDone:
		w.failures = 0
	case batch.EndFailed:
		s.countFailure(w, report.Task.Job, "attempts_failed")
	default:
	}
}

// countFailure counts a failure of a job's task on a worker.
func (s *Scheduler) countFailure(w *worker, job, cause string) {
	w.failedJobs = append(w.failedJobs, job)
	w.failedJobs = w.failedJobs[max(0, len(w.failedJobs)-quarantineFailures):]
	if w.failures++; w.failures < quarantineFailures {
		return
	}
	// Failures that come at once are judged once.
	if now := s.now(); now > w.quarantineUntilMs {
		s.shun(w, cause, now)
	}
	// One more failure on probation counts as enough.
	w.failures = quarantineFailures - 1
}

// shun puts a worker in quarantine, or straight on probation if enough workers of its pool are in quarantine.
func (s *Scheduler) shun(w *worker, cause string, now int64) {
	pool := s.poolAround(w, now)
	pool.OneJob = !slices.ContainsFunc(w.failedJobs, func(job string) bool { return job != w.failedJobs[0] })
	outcome, forMs := eject.Judge(pool), int64(0)
	if outcome == eject.Quarantine {
		forMs = quarantineMs
	}
	w.quarantineUntilMs = now + forMs
	w.probationUntilMs = w.quarantineUntilMs + probationMs
	s.options.Logger.Info("worker_shunned", zap.String("worker", w.id), zap.String("cause", cause),
		zap.Int("failures", w.failures), zap.Int64("for_ms", forMs), zap.Stringer("outcome", outcome),
		zap.String("pool", w.pool), zap.Int("heard", pool.Heard), zap.Int("quarantined", pool.Quarantined), zap.Bool("one_job", pool.OneJob))
}

// poolAround counts the workers of a worker's pool that are heard and stay, and those of them in quarantine.
func (s *Scheduler) poolAround(w *worker, now int64) eject.Pool {
	var pool eject.Pool
	for _, other := range s.workers {
		if other.pool != w.pool || other != w && !s.heardAndStays(other, now) {
			continue
		}
		pool.Heard++
		if now < other.quarantineUntilMs {
			pool.Quarantined++
		}
	}
	return pool
}

// heardAndStays reports whether a worker was heard lately and isn't about to leave its pool.
func (s *Scheduler) heardAndStays(w *worker, now int64) bool {
	return !w.inherited && !w.draining && !w.left && now-w.heardMs < maxSilenceMs && !s.fleet.leaving(w)
}
