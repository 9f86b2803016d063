package sched

import (
	"slices"

	"cowslipstack/internal/model/batch"
)

const (
	// suspectWaitMs is how long a suspect waits for a worker that runs nothing before any worker may start it.
	suspectWaitMs = 200
	// maxSuspectsTried bounds the suspects that one heartbeat looks at.
	maxSuspectsTried = 16
)

// suspectQueue holds a pool's suspects that wait to start again: tasks under which a worker has crashed.
type suspectQueue struct {
	order []batch.TaskID
	// sinceMs holds the uptime since which each of them waits.
	sinceMs map[batch.TaskID]int64
}

func (q *suspectQueue) add(id batch.TaskID, now int64) {
	if _, waits := q.sinceMs[id]; waits {
		return
	}
	if q.sinceMs == nil {
		q.sinceMs = map[batch.TaskID]int64{}
	}
	q.sinceMs[id] = now
	q.order = append(q.order, id)
}

// next moves the first suspect to the end and returns it.
func (q *suspectQueue) next() batch.TaskID {
	id := q.order[0]
	q.order = append(q.order[1:], id)
	return id
}

// removeLast removes the suspect that next has returned last.
func (q *suspectQueue) removeLast() {
	last := len(q.order) - 1
	delete(q.sinceMs, q.order[last])
	q.order = q.order[:last]
}

// remove removes a suspect, if it waits.
func (q *suspectQueue) remove(id batch.TaskID) {
	if _, waits := q.sinceMs[id]; waits {
		delete(q.sinceMs, id)
		q.order = slices.DeleteFunc(q.order, func(other batch.TaskID) bool { return other == id })
	}
}

// suspectStart is the start of a suspect on a worker that starts nothing else until it has reported it.
type suspectStart struct {
	task    batch.TaskID
	attempt int
}

// startsSuspect reports whether a worker has yet to report the suspect that it was last ordered to start.
func (s *Scheduler) startsSuspect(w *worker) bool {
	if w.suspect == (suspectStart{}) {
		return false
	}
	id := w.suspect.task
	if s.starting[id] && s.startingWorker[id] == w.id {
		return true
	}
	j, t := s.findTask(id)
	return t != nil && w.hasBegun(j, id, w.suspect.attempt) && !w.hasOutlivedStart(j, id, w.suspect.attempt)
}

// awaitsSuspect is startsSuspect for a worker whose heartbeat was just taken; it forgets a suspect that runs, has ended or was
// never begun by that heartbeat.
func (s *Scheduler) awaitsSuspect(w *worker) bool {
	if s.startsSuspect(w) {
		return true
	}
	w.suspect = suspectStart{}
	return false
}

// assignSuspect starts one suspect on a worker on which all else has outlived its start, so that a crash can only be the
// suspect's.
func (s *Scheduler) assignSuspect(w *worker, q *poolQueue, sequence uint64, now int64) []batch.StartOrder {
	if len(q.suspects.order) == 0 || s.startsAny(w) {
		return nil
	}
	id, ticket, ok := s.findSuspect(w, q, now)
	if !ok {
		return nil
	}
	q.suspects.removeLast()
	return []batch.StartOrder{s.startSuspect(w, s.jobs[id.Job], id, ticket, sequence)}
}

// startSuspect starts a suspect, so that the worker starts nothing else until it has reported it.
func (s *Scheduler) startSuspect(w *worker, job *activeJob, id batch.TaskID, ticket string, sequence uint64) batch.StartOrder {
	job.suspects = slices.DeleteFunc(job.suspects, func(other batch.TaskID) bool { return other == id })
	job.alone = slices.DeleteFunc(job.alone, func(other batch.TaskID) bool { return other == id })
	job.onTrial = append(job.onTrial, id)
	start := s.startAttempt(w, job.state, id, ticket, sequence)
	w.suspect = suspectStart{task: id, attempt: start.Attempt}
	return start
}

// findSuspect moves a suspect that may start on a worker now to the end of its queue and returns it, with its ticket.
func (s *Scheduler) findSuspect(w *worker, q *poolQueue, now int64) (id batch.TaskID, ticket string, ok bool) {
	for range min(len(q.suspects.order), maxSuspectsTried) {
		id = q.suspects.next()
		job := s.jobs[id.Job]
		if job == nil || job.pool != w.pool || !slices.Contains(job.suspects, id) {
			q.suspects.removeLast()
			continue
		}
		if len(w.running) > 0 && now-q.suspects.sinceMs[id] < suspectWaitMs || s.stepHeld(job, stepOf(id)) {
			continue
		}
		if s.fleet.leaving(w) && (!job.item.LongRunning || s.fitsElsewhere(w, job, id, now)) {
			continue
		}
		if ticket, ok = s.mayRun(w, job, id, now); ok {
			return id, ticket, true
		}
	}
	return batch.TaskID{}, "", false
}

// startsAny reports whether a worker was ordered to start anything that hasn't outlived its start, as of its last heartbeat.
func (s *Scheduler) startsAny(w *worker) bool {
	if w.starting > 0 {
		return true
	}
	for id, a := range w.running {
		if j, t := s.findTask(id); t != nil && !w.hasOutlivedStart(j, id, a.number) {
			return true
		}
	}
	return false
}

// stepHeld reports whether nothing of a step may start because one of its tasks is on trial and none has shown that such
// tasks run.
func (s *Scheduler) stepHeld(job *activeJob, step stepKey) bool {
	tried := slices.ContainsFunc(job.onTrial, func(id batch.TaskID) bool { return stepOf(id) == step && !s.hasOutlivingAttempt(job, id) })
	return tried && !s.stepProven(job, step)
}

// stepSuspected reports whether no new task of a step may start because one of its tasks is a suspect and none has shown that
// such tasks run.
func (s *Scheduler) stepSuspected(job *activeJob, step stepKey) bool {
	isOf := func(id batch.TaskID) bool { return stepOf(id) == step }
	return (slices.ContainsFunc(job.suspects, isOf) || slices.ContainsFunc(job.onTrial, isOf)) && !s.stepProven(job, step)
}

// stepProven reports whether a task of a step is done or has begun.
func (s *Scheduler) stepProven(job *activeJob, step stepKey) bool {
	first := job.state.FirstTask(step.occurrence, step.step)
	for i := range job.state.Spec.Steps[step.step].Count {
		id := batch.TaskID{Job: step.job, Occurrence: step.occurrence, Step: step.step, Index: i}
		if job.state.Tasks[first+i].Done || s.hasOutlivingAttempt(job, id) {
			return true
		}
	}
	return false
}

// hasOutlivingAttempt reports whether a worker lists an attempt of a task that has outlived its start.
func (s *Scheduler) hasOutlivingAttempt(job *activeJob, id batch.TaskID) bool {
	for _, r := range job.state.Task(id).Attempts {
		if w := s.workers[r.Worker]; w != nil && w.hasOutlivedStart(job.state, id, r.Number) {
			return true
		}
	}
	return false
}

// suspected reports whether an order starts a task under which a worker has crashed.
func (s *Scheduler) suspected(start batch.StartOrder) bool {
	_, t := s.findTask(start.Task)
	return t != nil && t.Crashes > 0
}
