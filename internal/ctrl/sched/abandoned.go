package sched

import "cowslipstack/internal/model/batch"

// abandon notes that a worker lists an attempt that was given up: it may run on until it is listed no more, or the worker's lease
// has expired.
func (s *Scheduler) abandon(w *worker, id batch.TaskID, attempt int) {
	if w.abandoned == nil {
		w.abandoned = map[batch.TaskID]int{}
	}
	if _, noted := w.abandoned[id]; !noted {
		s.abandoned[id]++
	}
	w.abandoned[id] = attempt
	if j, t := s.findTask(id); t != nil {
		s.accounts.Abandon(id, w.id, j.Spec.Account, j.Spec.Steps[id.Step].Need)
	}
	// It runs on a lease that may be of a former leader.
	w.leaseEndMs = max(w.leaseEndMs, s.now()+withClockDrift(s.workerLeaseMs()))
}

// releaseUnlisted lets the tasks start again of which a worker's heartbeat doesn't list the attempt that was given up.
func (s *Scheduler) releaseUnlisted(w *worker, h *batch.Heartbeat) {
	if w.mayLeaveOut(h) {
		return
	}
	for id, attempt := range w.abandoned {
		if a := w.running[id]; a == nil || a.number != attempt {
			s.release(w, id)
		}
	}
}

// releaseAbandoned lets all tasks start again of which a worker listed an attempt that was given up: none of them runs there any
// more.
func (s *Scheduler) releaseAbandoned(w *worker) {
	for id := range w.abandoned {
		s.release(w, id)
	}
}

func (s *Scheduler) release(w *worker, id batch.TaskID) {
	delete(w.abandoned, id)
	s.accounts.Release(id, w.id)
	if s.abandoned[id]--; s.abandoned[id] <= 0 {
		delete(s.abandoned, id)
	}
}
