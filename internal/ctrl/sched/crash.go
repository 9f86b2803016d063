package sched

import (
	"cmp"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// maxLoggedTasks bounds the tasks that are named in one log line.
const maxLoggedTasks = 32

// handleCrash ends all attempts on a worker that has crashed or restarted.
func (s *Scheduler) handleCrash(w *worker, cause string) {
	unseen := s.unseenOn(w)
	lost := len(s.options.Log.Batch().TasksOn(w.id))
	if lost == 0 {
		return
	}
	excuse := s.crashExcuse(w)
	crashesTotal.Inc()
	s.options.Logger.Info("worker_crashed", zap.String("worker", w.id), zap.String("address", w.address), zap.String("cause", cause),
		zap.Int64("incarnation", w.incarnation), zap.Int64("silent_ms", s.now()-w.heardMs), zap.Uint64("ordered_in", w.orderedIn),
		zap.Uint64("sequence", w.sequence), zap.Int("lost", lost), zap.Int("unseen", len(unseen)), zap.Strings("tasks", taskNames(unseen)),
		zap.String("excuse", excuse))
	s.loseAttempts(w, w.incarnation, cause)
}

// crashExcuse returns why the end of a worker shows nothing about the tasks that it ran, empty if it may.
func (s *Scheduler) crashExcuse(w *worker) string {
	name := s.fleet.byWorker[w.id]
	v := s.fleet.vms[name]
	switch {
	case w.draining:
		return "draining"
	case w.inherited:
		return "not heard by this leader"
	case v != nil && (v.orderPending || v.unverifiedMs > 0 || v.awayUntilMs > w.heardMs):
		return "ordered away"
	case s.fleet.maybeDownUntilMs[name] > s.now():
		return "ordered away by a former leader"
	}
	return ""
}

// unseenOn returns the tasks that a worker was ordered to start and that it hasn't listed with progress since; members of a
// gang wait at no progress until all are present.
func (s *Scheduler) unseenOn(w *worker) []batch.TaskID {
	var unseen []batch.TaskID
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		j, t := s.findTask(id)
		for i := range t.Attempts {
			if r := &t.Attempts[i]; r.Worker == w.id && r.Incarnation == w.incarnation && r.Sequence <= w.orderedIn && !w.hasBegun(j, id, r.Number) {
				unseen = append(unseen, id)
				break
			}
		}
	}
	slices.SortFunc(unseen, compareTasks)
	return unseen
}

// hasBegun reports whether a worker's last heartbeat shows that an attempt has begun.
func (w *worker) hasBegun(j *jobs.Job, id batch.TaskID, number int) bool {
	a := w.running[id]
	return a != nil && a.number == number && (a.percent > 0 || !j.Spec.Steps[id.Step].Gang)
}

// noteOrdered notes that the reply to a heartbeat is sent with its orders.
func (w *worker) noteOrdered(h *batch.Heartbeat) {
	if w.incarnation == h.Incarnation {
		w.orderedIn = max(w.orderedIn, h.Sequence)
	}
}

func compareTasks(a, b batch.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// taskNames returns the first tasks as job.occurrence.step.index, for the log.
func taskNames(ids []batch.TaskID) []string {
	var names []string
	for _, id := range ids[:min(len(ids), maxLoggedTasks)] {
		names = append(names, fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index))
	}
	return names
}

// loseAttempts ends all attempts on a worker up to and including an incarnation as lost.
func (s *Scheduler) loseAttempts(w *worker, incarnation int64, cause string) {
	lost := 0
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		_, t := s.findTask(id)
		for _, r := range t.Attempts {
			if r.Worker == w.id && r.Incarnation <= incarnation {
				s.endAttempt(batch.AttemptEnd{Task: id, Attempt: r.Number, Kind: batch.EndWorkerLost})
				lost++
			}
		}
	}
	if lost > 0 {
		s.options.Logger.Info("attempts_lost", zap.String("worker", w.id), zap.Int64("incarnation", incarnation),
			zap.Int("count", lost), zap.String("cause", cause), zap.Int64("silent_ms", s.now()-w.heardMs))
	}
}
