package sched

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// handleCrash ends all attempts on a worker that has crashed or restarted. Those that it was ordered to start and hadn't
// reported since count as the crash's possible causes.
func (s *Scheduler) handleCrash(w *worker, cause string, gone goneAt) {
	w.crashed = w.crashed || !w.left
	if s.allHeld(w) {
		s.loseAttempts(w, w.incarnation, cause, gone)
		return
	}
	lost := len(s.options.Log.Batch().TasksOn(w.id))
	unseen, excuse := s.unseenOn(w), s.excuseOf(w)
	together := excuse == excuseNone && s.crashedTogether(w)
	s.options.Logger.Info("worker_crashed", zap.String("worker", w.id), zap.String("address", w.address), zap.String("cause", cause),
		zap.Int64("incarnation", w.incarnation), zap.Int64("silent_ms", s.now()-w.heardMs),
		zap.Int64("up_unheard_ms", w.upUnheardMs()), zap.Uint64("ordered_in", w.answeredSequence),
		zap.Uint64("sequence", w.sequence), zap.Int("lost", lost), zap.Int("unseen", len(unseen)), zap.Strings("tasks", taskNames(unseen)),
		zap.Stringer("excuse", excuse), zap.Bool("together", together))
	if excuse != excuseNone {
		s.loseAttempts(w, w.incarnation, cause, gone)
		return
	}
	crashesTotal.Inc()
	s.crashedMs[w.pool] = s.now()
	spared := s.countedAt(w)
	if together {
		maps.Copy(spared, s.spareTasksOn(w, unseen))
	}
	unseen = slices.DeleteFunc(unseen, func(u attemptID) bool { return spared[u.task] })
	s.endAttemptsOn(w, w.incarnation, cause, gone,
		&evidence{blamed: s.blameStarts(w, unseen, together), spared: spared, together: together})
}

// loseAttempts ends all attempts on a worker up to and including an incarnation as lost.
func (s *Scheduler) loseAttempts(w *worker, incarnation int64, cause string, gone goneAt) {
	s.endAttemptsOn(w, incarnation, cause, gone, nil)
}

// endAttemptsOn ends all attempts on a worker up to and including an incarnation as lost, except those that a later incarnation
// may still begin: they are in doubt. The evidence is that of the worker's crash; nil if it didn't crash, or that shows nothing.
func (s *Scheduler) endAttemptsOn(w *worker, incarnation int64, cause string, gone goneAt, e *evidence) {
	var lost, doubted []attemptID
	upTo := func(_ attemptID, r *jobs.Attempt) bool { return r.Incarnation <= incarnation }
	for _, id := range s.attemptsOn(w, upTo) {
		j, t := s.findTask(id.task)
		switch mayBegin, held := w.mayStillBegin(id, t.FindAttempt(id.attempt), gone), w.isHeld(id); {
		case mayBegin && held:
			continue
		case mayBegin:
			s.holdInDoubt(w, id, s.judgeLost(w, j, id, e))
			doubted = append(doubted, id)
			continue
		case held:
			s.endInDoubt(w, id)
		default:
			s.endAttempt(s.judgeLost(w, j, id, e))
		}
		lost = append(lost, id)
	}
	if len(doubted) > 0 {
		s.options.Logger.Info("attempts_in_doubt", s.lostFields(w, incarnation, doubted, cause)...)
	}
	if len(lost) > 0 {
		s.options.Logger.Info("attempts_lost", s.lostFields(w, incarnation, lost, cause)...)
	}
}

// judgeLost returns the end of an attempt whose worker's incarnation is over, as the evidence of its crash shows it.
func (s *Scheduler) judgeLost(w *worker, j *jobs.Job, attempt attemptID, e *evidence) batch.AttemptEnd {
	id := attempt.task
	givenUp, crashed, later := e.judge(w, j, id, attempt.attempt)
	// A task that has to run alone is judged by the crashes of workers on which it did.
	later = later && (!runsAlone(j, j.Task(id)) || s.ranAlone(w, id))
	if crashed || later {
		s.noteCounted(w, id)
	}
	return batch.AttemptEnd{
		Task: id, Attempt: attempt.attempt, Kind: batch.EndWorkerLost, Crashed: crashed, CrashedLater: later,
		GivenUp: givenUp || (crashed || later) && s.givenUpAlone(w, id, e.together), RanLong: w.hasRunLong(id, attempt.attempt),
		// One that the worker listed just before it crashed may be the cause: neither blamed nor cleared.
		OutlivedStart: w.hasOutlivedStart(j, id, attempt.attempt) || e == nil && w.hasBegun(j, id, attempt.attempt),
	}
}

// lostFields returns the fields of the log for attempts on a worker that are lost, or in doubt.
func (s *Scheduler) lostFields(w *worker, incarnation int64, attempts []attemptID, cause string) []zap.Field {
	return []zap.Field{
		zap.String("worker", w.id), zap.Int64("incarnation", incarnation), zap.Int("count", len(attempts)),
		zap.Strings("tasks", taskNames(attempts)), zap.String("cause", cause), zap.Int64("silent_ms", s.now()-w.heardMs),
	}
}
