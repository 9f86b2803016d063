package sched

import (
	"math"
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// goneAt is an uptime in milliseconds at which nothing ran under a worker's identity.
type goneAt int64

const (
	// neverGone means that no such time is known.
	neverGone goneAt = math.MinInt64
	// goneForGood means that whatever has run or may begin there has ended.
	goneForGood goneAt = math.MaxInt64
)

// doubt is what is known of an attempt that was ordered from an incarnation that is over, and that a later one may still begin.
type doubt struct {
	// end is the end that the attempt gets once it can't.
	end batch.AttemptEnd
	// untilMs is the uptime from which a heartbeat that doesn't list it shows that it can't, whatever the worker's clock tells.
	untilMs int64
}

// lists reports whether a worker's last heartbeat lists an attempt as running.
func (w *worker) lists(id attemptID) bool {
	a := w.running[id.task]
	return a != nil && a.number == id.attempt
}

// mayStillBegin reports whether an attempt that was ordered from an incarnation that is over may still begin: a later
// incarnation obeys a reply that was on its way to this one. What the incarnation has listed has ended with it, and a reply to an
// earlier heartbeat than its last was no longer on its way.
func (w *worker) mayStillBegin(id attemptID, r *jobs.Attempt, gone goneAt) bool {
	if w.lists(id) || r.Incarnation == w.incarnation && r.Sequence < w.sequence {
		return false
	}
	return int64(gone) < w.repliesEndMs
}

// holdInDoubt keeps the end of an attempt that may still begin.
func (s *Scheduler) holdInDoubt(w *worker, id attemptID, end batch.AttemptEnd) {
	if w.inDoubt == nil {
		w.inDoubt = map[attemptID]doubt{}
	}
	mayHaveCrashed := w.inDoubt[id].end.Crashed
	w.inDoubt[id] = doubt{end: end, untilMs: max(w.leaseEndMs, w.repliesEndMs)}
	if end.Crashed {
		s.proposals.pending.Crashes = append(s.proposals.pending.Crashes, id.task)
	}
	if mayHaveCrashed != end.Crashed {
		s.refreshJob(id.task.Job)
	}
}

// isHeld reports whether an attempt is in doubt and its worker doesn't list it.
func (w *worker) isHeld(id attemptID) bool {
	_, held := w.inDoubt[id]
	return held && !w.lists(id)
}

// endInDoubt ends an attempt in doubt that can't begin or run any more, as it was judged when it came to be in doubt.
func (s *Scheduler) endInDoubt(w *worker, id attemptID) {
	end := w.inDoubt[id].end
	// The crash was counted when the doubt began.
	end.Crashed = false
	s.endAttempt(end)
	delete(w.inDoubt, id)
}

// endDoubts ends all attempts in doubt on a worker that is gone, which can't begin any more.
func (s *Scheduler) endDoubts(w *worker) {
	held := func(id attemptID, _ *jobs.Attempt) bool { return w.isHeld(id) }
	ended := s.attemptsOn(w, held)
	for _, id := range ended {
		s.endInDoubt(w, id)
	}
	if len(ended) > 0 {
		s.options.Logger.Info("attempts_lost", s.lostFields(w, w.incarnation, ended, "worker_gone")...)
	}
}

// noteBegunLate notes that a worker lists an attempt in doubt: no crash was due to it.
func (s *Scheduler) noteBegunLate(w *worker, id attemptID) {
	if d, held := w.inDoubt[id]; held && d.end != lostEnd(id) {
		if d.end.Crashed {
			s.proposals.pending.BegunLate = append(s.proposals.pending.BegunLate, id.task)
		}
		s.holdInDoubt(w, id, lostEnd(id))
		s.options.Logger.Info("attempt_begun_late", zap.String("job", id.task.Job), zap.Int("step", id.task.Step),
			zap.Int("index", id.task.Index), zap.Int("attempt", id.attempt), zap.String("worker", w.id))
	}
}

// lostEnd returns the end of an attempt of which nothing is known but that it is lost.
func lostEnd(id attemptID) batch.AttemptEnd {
	return batch.AttemptEnd{Task: id.task, Attempt: id.attempt, Kind: batch.EndWorkerLost}
}

// adoptDoubts holds the attempts in doubt that a former leader ordered from a former incarnation of a worker.
func (s *Scheduler) adoptDoubts(w *worker) {
	ofFormer := func(_ attemptID, r *jobs.Attempt) bool { return r.Incarnation < w.incarnation }
	for _, id := range s.attemptsOn(w, ofFormer) {
		s.holdInDoubt(w, id, lostEnd(id))
	}
}

// dropEndedDoubts forgets the attempts in doubt of which the state has the end.
func (s *Scheduler) dropEndedDoubts(w *worker) {
	for id := range w.inDoubt {
		if _, t := s.findTask(id.task); t == nil || t.FindAttempt(id.attempt) == nil {
			delete(w.inDoubt, id)
		}
	}
}

// attemptsOn returns the attempts that may run on a worker and that a function picks, in order.
func (s *Scheduler) attemptsOn(w *worker, picks func(id attemptID, r *jobs.Attempt) bool) []attemptID {
	var picked []attemptID
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		_, t := s.findTask(id)
		for i := range t.Attempts {
			r := &t.Attempts[i]
			if attempt := (attemptID{task: id, attempt: r.Number}); r.Worker == w.id && picks(attempt, r) {
				picked = append(picked, attempt)
			}
		}
	}
	slices.SortFunc(picked, func(a, b attemptID) int { return compareTasks(a.task, b.task) })
	return picked
}

// isHeldOn reports whether an attempt of a task on a worker is in doubt.
func (s *Scheduler) isHeldOn(w *worker, id batch.TaskID) bool {
	_, t := s.findTask(id)
	return slices.ContainsFunc(t.Attempts, func(r jobs.Attempt) bool { return w.isHeld(attemptID{task: id, attempt: r.Number}) })
}

// allHeld reports whether all attempts on a worker are in doubt, or there are none.
func (s *Scheduler) allHeld(w *worker) bool {
	return len(s.attemptsOn(w, func(id attemptID, _ *jobs.Attempt) bool { return !w.isHeld(id) })) == 0
}

// mayHaveCrashed reports whether an attempt of a task is in doubt under which a worker may have crashed.
func (s *Scheduler) mayHaveCrashed(t *jobs.Task, id batch.TaskID) bool {
	return slices.ContainsFunc(t.Attempts, func(r jobs.Attempt) bool {
		w := s.workers[r.Worker]
		return w != nil && w.inDoubt[attemptID{task: id, attempt: r.Number}].end.Crashed
	})
}

// mayBegin reports whether an attempt in doubt that a heartbeat doesn't list may still begin: its incarnation hasn't run for
// longer than a reply to a former one could be on its way.
func (s *Scheduler) mayBegin(w *worker, h *batch.Heartbeat, id attemptID) bool {
	outlived := h.ClockMs > 0 && w.firstClockMs > 0 && h.ClockMs-w.firstClockMs >= replyWindowMs
	return !outlived && s.now() < w.inDoubt[id].untilMs
}
