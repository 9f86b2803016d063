package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

// noteOutcome counts consecutive failures on a worker, and quarantines the worker when there are too many.
func (s *Scheduler) noteOutcome(w *worker, report *batch.EndReport) {
	switch report.Kind {
	case batch.EndDone:
		w.failures = 0
	case batch.EndFailed:
		s.countFailure(w, "attempts_failed")
	default:
	}
}

func (s *Scheduler) countFailure(w *worker, cause string) {
	if w.failures++; w.failures < quarantineFailures {
		return
	}
	if now := s.now(); now >= w.quarantineUntilMs {
		w.quarantineUntilMs = now + quarantineMs
		s.options.Logger.Info("worker_shunned", zap.String("worker", w.id), zap.String("cause", cause),
			zap.Int("failures", w.failures), zap.Int("for_ms", quarantineMs))
	}
	// One more failure after the quarantine starts another.
	w.failures = quarantineFailures - 1
}
