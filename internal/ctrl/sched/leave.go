package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

// handleDeregistration records that a worker's incarnation has ended; late messages of a former incarnation are ignored. One that
// names no incarnation may be a former one's: what runs goes on until the VM list shows that the worker is gone, or its lease has
// expired.
func (s *Scheduler) handleDeregistration(l *batch.Deregistration, reply func(batch.Reply)) {
	w := s.workers[l.Worker]
	if supersedes(l.Incarnation, w) && s.farAhead(l.Incarnation) {
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: "the incarnation is far ahead of the clock, and another is known"})
		return
	}
	if w != nil && (l.Incarnation == 0 || l.Incarnation >= w.incarnation) {
		w.left = true
		s.options.Logger.Info("worker_left", zap.String("worker", w.id), zap.String("pool", w.pool),
			zap.Int64("incarnation", l.Incarnation), zap.Int("running", len(s.options.Log.Batch().TasksOn(w.id))))
		if l.Incarnation == 0 {
			w.unnamedLeaveMs = s.now()
		} else {
			w.leftIncarnation = l.Incarnation
			s.loseAttempts(w, w.incarnation, "worker_left", neverGone)
			s.releaseAbandoned(w)
		}
	}
	s.replyWhenCommitted(reply, batch.Reply{Code: batch.CodeOK})
}

// hasReturned reports whether a worker that is heard wasn't the one that left: its deregistration named no incarnation, and the VM
// list shows it up since.
func (s *Scheduler) hasReturned(w *worker, now int64) bool {
	return w.unnamedLeaveMs > 0 && now-w.unnamedLeaveMs >= returnMs && w.listedUpMs > w.unnamedLeaveMs
}

// settleGone ends what is left on workers that have left, once the VM list shows that they are gone.
func (s *Scheduler) settleGone() {
	reads := s.fleet.reads
	for _, w := range s.workers {
		if !w.left {
			continue
		}
		if w.unnamedLeaveMs > 0 && reads.WorkerGoneSince(w.id, w.vm, w.unnamedLeaveMs) {
			w.unnamedLeaveMs = 0
			s.loseAttempts(w, w.incarnation, "worker_gone", goneAt(reads.BeganMs()))
		}
		if reads.WorkerGoneSince(w.id, w.vm, w.repliesEndMs) || s.fleet.hasReplaced(w) && reads.WorkerGoneSince(w.id, w.vm, 0) {
			s.endDoubts(w)
		}
	}
}

// awaitSettling requests a VM list where one could show that workers that have left are gone: after a deregistration that named no
// incarnation, and once the last reply to a worker with attempts in doubt has expired.
func (s *Scheduler) awaitSettling(now int64) {
	asked := s.fleet.listRequestedMs
	for _, w := range s.workers {
		leaves := w.unnamedLeaveMs > 0 && asked < w.unnamedLeaveMs
		expired := len(w.inDoubt) > 0 && asked < w.repliesEndMs && w.repliesEndMs <= now
		if w.left && (leaves || expired) {
			s.fleet.listWanted = true
		}
	}
}

// hasReplaced reports whether by the last VM list another worker runs on a worker's VM, so that no later incarnation of it does.
func (f *fleetView) hasReplaced(w *worker) bool {
	v := f.vms[w.vm]
	return v != nil && v.State == VMUp && v.Worker != "" && v.Worker != w.id
}
