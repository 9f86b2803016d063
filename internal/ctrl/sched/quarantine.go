package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

// blame counts failures in a row on a worker, and keeps tasks from it for a while.
func (e *Scheduler) blame(w *worker, n *batch.Ended) {
	switch n.Kind {
	case batch.EndDone:
		w.failures = 0
	case batch.EndFailed:
		e.blameWorker(w, "attempts_failed")
	default:
	}
}

func (e *Scheduler) blameWorker(w *worker, cause string) {
	if w.failures++; w.failures < blameFailures {
		return
	}
	if now := e.now(); now >= w.shunnedMs {
		w.shunnedMs = now + blameWindowMs
		e.options.Logger.Info("worker_shunned", zap.String("worker", w.id), zap.String("cause", cause),
			zap.Int("failures", w.failures), zap.Int("for_ms", blameWindowMs))
	}
	// One more failure after the pause shuns it again.
	w.failures = blameFailures - 1
}
