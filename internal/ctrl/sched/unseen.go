package sched

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

const (
	// maxLoggedTasks bounds the tasks that are named in one log line.
	maxLoggedTasks = 32
	// startMs is how long after the order a task may still crash its worker by being started; a heartbeat may list it before.
	startMs = 50
)

// attemptID identifies an attempt.
type attemptID struct {
	task    batch.TaskID
	attempt int
}

// unseenOn returns the attempts that a worker was ordered to start in the reply to its last heartbeat, and the members of
// gangs that wait at no progress until all are present. What it was ordered before and its last heartbeat doesn't list had
// ended by then.
func (s *Scheduler) unseenOn(w *worker) []attemptID {
	var unseen []attemptID
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		j, t := s.findTask(id)
		if j.Phase.IsTerminal() {
			continue
		}
		for i := range t.Attempts {
			if r := &t.Attempts[i]; r.Worker == w.id && r.Incarnation == w.incarnation && r.Sequence <= w.answeredSequence && w.isUnseen(j, id, r) {
				unseen = append(unseen, attemptID{task: id, attempt: r.Number})
				break
			}
		}
	}
	slices.SortFunc(unseen, func(a, b attemptID) int { return compareTasks(a.task, b.task) })
	return unseen
}

// isUnseen reports whether an attempt may have begun only after a worker's last heartbeat.
func (w *worker) isUnseen(j *jobs.Job, id batch.TaskID, r *jobs.Attempt) bool {
	if a := w.running[id]; a != nil && a.number == r.Number {
		return !w.hasBegun(j, id, r.Number)
	}
	return r.Sequence >= w.sequence
}

// hasBegun reports whether a worker's last heartbeat shows that an attempt has begun.
func (w *worker) hasBegun(j *jobs.Job, id batch.TaskID, number int) bool {
	a := w.running[id]
	return a != nil && a.number == number && (a.percent > 0 || !j.Spec.Steps[id.Step].Gang)
}

// hasOutlivedStart reports whether a worker's last heartbeat shows that an attempt has begun long enough after its order.
func (w *worker) hasOutlivedStart(j *jobs.Job, id batch.TaskID, number int) bool {
	return w.hasBegun(j, id, number) && w.heardMs-w.running[id].orderedMs >= startMs
}

// noteOrdered notes that the reply to a heartbeat is sent with its orders now.
func (w *worker) noteOrdered(h *batch.Heartbeat, o *batch.Orders, now int64) {
	w.answeredSequence = max(w.answeredSequence, h.Sequence)
	if len(o.Start) > 0 {
		w.lastOrderMs = now
	}
}

func compareTasks(a, b batch.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// taskNames returns the tasks of the first attempts as job.occurrence.step.index, for the log.
func taskNames(attempts []attemptID) []string {
	var names []string
	for _, u := range attempts[:min(len(attempts), maxLoggedTasks)] {
		id := u.task
		names = append(names, fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index))
	}
	return names
}
