package sched

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

// handleCrash ends all attempts on a worker that has crashed or restarted. Those that it was ordered to start and hadn't
// reported since count as the crash's possible causes.
func (s *Scheduler) handleCrash(w *worker, cause string) {
	w.crashed = w.crashed || !w.left
	lost := len(s.options.Log.Batch().TasksOn(w.id))
	if lost == 0 {
		return
	}
	unseen, excuse := s.unseenOn(w), s.excuseOf(w)
	together := excuse == excuseNone && s.crashedTogether(w)
	s.options.Logger.Info("worker_crashed", zap.String("worker", w.id), zap.String("address", w.address), zap.String("cause", cause),
		zap.Int64("incarnation", w.incarnation), zap.Int64("silent_ms", s.now()-w.heardMs),
		zap.Int64("up_unheard_ms", w.upUnheardMs()), zap.Uint64("ordered_in", w.answeredSequence),
		zap.Uint64("sequence", w.sequence), zap.Int("lost", lost), zap.Int("unseen", len(unseen)), zap.Strings("tasks", taskNames(unseen)),
		zap.Stringer("excuse", excuse), zap.Bool("together", together))
	if excuse != excuseNone {
		s.loseAttempts(w, w.incarnation, cause)
		return
	}
	crashesTotal.Inc()
	s.crashedMs[w.pool] = s.now()
	spared := s.countedAt(w)
	if together {
		maps.Copy(spared, s.spareTasksOn(w, unseen))
	}
	unseen = slices.DeleteFunc(unseen, func(u attemptID) bool { return spared[u.task] })
	s.endAttemptsOn(w, w.incarnation, cause, &evidence{blamed: s.blameStarts(w, unseen, together), spared: spared, together: together})
}

// loseAttempts ends all attempts on a worker up to and including an incarnation as lost.
func (s *Scheduler) loseAttempts(w *worker, incarnation int64, cause string) {
	s.endAttemptsOn(w, incarnation, cause, nil)
}

// endAttemptsOn ends all attempts on a worker up to and including an incarnation as lost, with the evidence of its crash; nil if
// it didn't crash, or that shows nothing.
func (s *Scheduler) endAttemptsOn(w *worker, incarnation int64, cause string, e *evidence) {
	var lost []attemptID
	for _, id := range slices.SortedFunc(maps.Keys(s.options.Log.Batch().TasksOn(w.id)), compareTasks) {
		j, t := s.findTask(id)
		for _, r := range t.Attempts {
			if r.Worker == w.id && r.Incarnation <= incarnation {
				givenUp, crashed, later := e.judge(w, j, id, r.Number)
				// A task that has to run alone is judged by the crashes of workers on which it did.
				later = later && (!runsAlone(j, t) || s.ranAlone(w, id))
				if crashed || later {
					s.noteCounted(w, id)
				}
				s.endAttempt(batch.AttemptEnd{
					Task: id, Attempt: r.Number, Kind: batch.EndWorkerLost, Crashed: crashed, CrashedLater: later,
					GivenUp: givenUp || (crashed || later) && s.givenUpAlone(w, id, e.together), RanLong: w.hasRunLong(id, r.Number),
					// One that the worker listed just before it crashed may be the cause: neither blamed nor cleared.
					OutlivedStart: w.hasOutlivedStart(j, id, r.Number) || e == nil && w.hasBegun(j, id, r.Number),
				})
				lost = append(lost, attemptID{task: id, attempt: r.Number})
			}
		}
	}
	if len(lost) > 0 {
		s.options.Logger.Info("attempts_lost", zap.String("worker", w.id), zap.Int64("incarnation", incarnation),
			zap.Int("count", len(lost)), zap.Strings("tasks", taskNames(lost)), zap.String("cause", cause),
			zap.Int64("silent_ms", s.now()-w.heardMs))
	}
}
