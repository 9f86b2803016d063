package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// reconcileRunning compares the attempts that a worker lists with the replicated state; it updates the worker's
// free resources and returns the attempts to stop.
func (s *Scheduler) reconcileRunning(w *worker, h *batch.Heartbeat, now int64) []batch.StopOrder {
	var stops []batch.StopOrder
	seen := make(map[batch.TaskID]*attempt, len(h.Running))
	w.free = w.capacity
	for i := range h.Running {
		r := &h.Running[i]
		first := w.running[r.Task] == nil || w.running[r.Task].number != r.Attempt
		a := s.trackAttempt(w, r, now)
		seen[r.Task] = a
		j, t := s.findTask(r.Task)
		if first {
			s.noteUnexpected(w, h, r, t)
		}
		if t == nil {
			// The resources that it uses aren't known: the worker counts as full until it is gone.
			w.free = batch.Resources{}
			stops = append(stops, batch.StopOrder{Task: r.Task, Attempt: r.Attempt})
			continue
		}
		step := &j.Spec.Steps[r.Task.Step]
		w.free = w.free.Sub(step.ReservedResources())
		s.noteBegun(j, t, r)
		s.noteBegunLate(w, attemptID{task: r.Task, attempt: r.Attempt})
		if t.FindAttempt(r.Attempt) == nil {
			s.abandon(w, r.Task, r.Attempt)
		}
		switch {
		case j.Phase.IsTerminal() || t.Done || t.FindAttempt(r.Attempt) == nil || step.Gang && gangBroken(j, r.Task, r.Attempt),
			s.stopping[r.Task] == r.Attempt:
			stops = append(stops, batch.StopOrder{Task: r.Task, Attempt: r.Attempt})
		case s.stalled(step, a, now):
			s.options.Logger.Info("attempt_stands_still", zap.String("job", r.Task.Job), zap.Int("step", r.Task.Step),
				zap.Int("index", r.Task.Index), zap.Int("attempt", r.Attempt), zap.String("worker", w.id),
				zap.Int("percent", a.percent), zap.Int64("for_ms", now-a.progressMs))
			stops = append(stops, batch.StopOrder{Task: r.Task, Attempt: r.Attempt})
			if a.progressMs > w.overfullMs {
				s.countFailure(w, r.Task.Job, "attempts_stand_still")
			}
			a.progressMs = now
		}
	}
	if !w.free.Covers(batch.Resources{}) {
		w.overfullMs = now
	}
	w.running = seen
	s.releaseUnlisted(w, h)
	s.endMissing(w, h)
	return stops
}

// trackAttempt returns the progress record of a listed attempt, with the report applied.
func (s *Scheduler) trackAttempt(w *worker, r *batch.Running, now int64) *attempt {
	a := w.running[r.Task]
	if a == nil || a.number != r.Attempt {
		a = &attempt{number: r.Attempt, orderedMs: w.lastOrderMs, sinceMs: now, progressMs: now, share: fullSharePercent}
		if _, late := w.inDoubt[attemptID{task: r.Task, attempt: r.Attempt}]; late {
			a.orderedMs = now
		}
	}
	if a.percent != r.Percent {
		a.percent, a.progressMs = r.Percent, now
	}
	a.load = r.Load
	return a
}

// noteUnexpected logs an attempt that a worker lists for the first time although it was given up, or its order was meant for a
// former incarnation.
func (s *Scheduler) noteUnexpected(w *worker, h *batch.Heartbeat, r *batch.Running, t *jobs.Task) {
	if t == nil {
		return
	}
	fields := []zap.Field{
		zap.String("job", r.Task.Job), zap.Int("step", r.Task.Step), zap.Int("index", r.Task.Index), zap.Int("attempt", r.Attempt),
		zap.String("worker", w.id), zap.Int64("incarnation", h.Incarnation), zap.Uint64("sequence", h.Sequence),
	}
	switch a := t.FindAttempt(r.Attempt); {
	case a == nil:
		givenUpRunningTotal.Inc()
		s.options.Logger.Info("attempt_given_up_runs", append(fields, zap.Int("last", t.LastAttempt), zap.Int("running", len(t.Attempts)))...)
	case a.Incarnation < h.Incarnation:
		formerOrdersTotal.Inc()
		s.options.Logger.Info("attempt_of_former_incarnation", append(fields, zap.Int64("ordered_incarnation", a.Incarnation),
			zap.Uint64("ordered", a.Sequence))...)
	}
}

// discountSilence moves the times at which progress was last seen on by the time in which a heartbeat was overdue: a worker
// that was silent, cut off or suspended tells nothing of its tasks, and they haven't stalled.
func (w *worker) discountSilence(now int64) {
	overdueMs := now - w.heardMs - w.intervalMs - overdueMarginMs
	if overdueMs <= 0 || w.heardMs == 0 {
		return
	}
	for _, a := range w.running {
		a.progressMs = min(now, a.progressMs+overdueMs)
	}
}

// stalled reports whether an attempt that should make progress makes none.
func (s *Scheduler) stalled(step *batch.Step, a *attempt, now int64) bool {
	if step.LongRunning || step.Gang || step.BestEffort || a.share < fullSharePercent {
		return false
	}
	return now-a.progressMs > max(stalledMs, step.EstimateMs/stalledEstimateDivisor)
}

// endMissing ends attempts that were ordered before this heartbeat was sent and that the worker lists neither as
// running nor as ended. Those that the heartbeat may have left out go on, and hold their resources; so do those in doubt.
func (s *Scheduler) endMissing(w *worker, h *batch.Heartbeat) {
	s.dropEndedDoubts(w)
	incomplete, found := w.mayLeaveOut(h), false
	ended := listedEnds(h)
	missing := func(id attemptID, r *jobs.Attempt) bool { return isMissing(w, h, ended, id, r) }
	for _, id := range s.attemptsOn(w, missing) {
		j, t := s.findTask(id.task)
		r := t.FindAttempt(id.attempt)
		if incomplete || w.isHeld(id) && s.mayBegin(w, h, id) {
			found = found || incomplete
			w.free = w.free.Sub(j.Spec.Steps[id.task.Step].ReservedResources())
			continue
		}
		s.options.Logger.Info("attempt_not_begun", zap.String("job", id.task.Job), zap.Int("step", id.task.Step),
			zap.Int("index", id.task.Index), zap.Int("attempt", r.Number), zap.String("worker", w.id), zap.Uint64("ordered", r.Sequence),
			zap.Uint64("sequence", h.Sequence), zap.Int64("ordered_incarnation", r.Incarnation), zap.Int("ends", len(h.Ended)))
		if w.isHeld(id) {
			s.endInDoubt(w, id)
		} else {
			s.endAttempt(lostEnd(id))
		}
	}
	if !incomplete || !found {
		w.unreadRunning = h.UnreadRunning
	}
	w.unreadEnded, w.moreEnds = h.UnreadEnded, h.MoreEnds
}

// mayLeaveOut reports whether a worker's heartbeat may lack attempts that run or have ended there: it has more ends to report
// than fit, or more rows that can't be read than before, which may be those of the attempts.
func (w *worker) mayLeaveOut(h *batch.Heartbeat) bool {
	return h.MoreEnds || h.UnreadRunning > w.unreadRunning || h.UnreadEnded > w.unreadEnded
}

// isMissing reports whether an attempt on a worker isn't listed by a heartbeat, and either was ordered before that was sent or is
// in doubt. What else was ordered from a former incarnation has ended with it, or its order wasn't sent.
func isMissing(w *worker, h *batch.Heartbeat, ended map[attemptID]bool, id attemptID, r *jobs.Attempt) bool {
	switch {
	case w.lists(id) || ended[id]:
		return false
	case r.Incarnation != h.Incarnation:
		return w.isHeld(id)
	default:
		return r.Sequence < h.Sequence
	}
}

// listedEnds returns the attempts that a heartbeat lists as ended.
func listedEnds(h *batch.Heartbeat) map[attemptID]bool {
	ended := make(map[attemptID]bool, len(h.Ended))
	for i := range h.Ended {
		ended[attemptID{task: h.Ended[i].Task, attempt: h.Ended[i].Attempt}] = true
	}
	return ended
}
