package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/crash"
)

// assignAlone starts a task alone on a worker on which all else has run for a while, or keeps the worker free for it. It
// reports whether the worker gets no other orders.
func (s *Scheduler) assignAlone(w *worker, q *poolQueue, sequence uint64, now int64) (orders []batch.StartOrder, kept bool) {
	if len(q.alone.order) == 0 || s.plansMembersOn(w) || !s.mayHold(w, q, now) {
		return nil, false
	}
	id, ticket, ok := s.findAlone(w, q, now)
	if !ok {
		return nil, false
	}
	w.keptFree = true
	if w.starting > 0 || len(slices.DeleteFunc(s.recentOn(w, settledMs), s.endsNow)) > 0 {
		return nil, true
	}
	waitedMs := now - q.alone.sinceMs[id]
	q.alone.remove(id)
	job := s.jobs[id.Job]
	job.alone = slices.DeleteFunc(job.alone, func(other batch.TaskID) bool { return other == id })
	job.onTrial = append(job.onTrial, id)
	w.alone = id
	s.options.Logger.Info("task_runs_alone", zap.String("job", id.Job), zap.Int("occurrence", id.Occurrence), zap.Int("step", id.Step),
		zap.Int("index", id.Index), zap.String("worker", w.id), zap.Int("crashes", job.state.Task(id).CrashesBeside),
		zap.Int64("waited_ms", waitedMs))
	return []batch.StartOrder{s.startAttempt(w, job.state, id, ticket, sequence)}, true
}

// plansMembersOn reports whether members of a gang are planned on a worker.
func (s *Scheduler) plansMembersOn(w *worker) bool {
	for _, g := range s.gangs {
		if g.plannedOn(w.id) > 0 {
			return true
		}
	}
	return false
}

// runsOneAlone reports whether a worker runs a task alone that hasn't run for long there.
func (s *Scheduler) runsOneAlone(w *worker) bool {
	_, runs := s.runsAloneOn(w)
	return runs
}

// runsAloneOn returns the task that a worker runs alone and that hasn't run for long there, if there is one.
func (s *Scheduler) runsAloneOn(w *worker) (id batch.TaskID, ok bool) {
	if s.starting[w.alone] && s.startingWorker[w.alone] == w.id {
		return w.alone, true
	}
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		if j, t := s.findTask(id); runsAlone(j, t) && w.hasRecent(t, id, ranLongMs) && !s.endsNow(id) {
			return id, true
		}
	}
	return batch.TaskID{}, false
}

// endsNow reports whether a worker has just reported the end of a task, and that isn't proposed yet.
func (s *Scheduler) endsNow(id batch.TaskID) bool {
	return slices.ContainsFunc(s.proposals.pending.Ends, func(end batch.AttemptEnd) bool { return end.Task == id && end.Reported })
}

// mayHold reports whether a worker may be kept from all tasks but those that run alone, by how many of its pool are.
func (s *Scheduler) mayHold(w *worker, q *poolQueue, now int64) bool {
	workers, held := 1, 0
	for _, other := range s.workers {
		if other != w && other.pool == w.pool && other.usable(now) && now-other.heardMs < maxSilenceMs && !s.fleet.leaving(other) {
			workers++
			if other.keptFree {
				held++
			}
		}
	}
	return held < crash.MaxHeld(workers, q.demand+len(q.suspects.order) > 0)
}

// findAlone returns a task that a worker may run alone, once all else there has ended or run for a while, with its ticket: one
// that lasts before all others.
func (s *Scheduler) findAlone(w *worker, q *poolQueue, now int64) (id batch.TaskID, ticket string, ok bool) {
	free, betterElsewhere := s.freeAlone(w), len(s.recentCrashes(w.address)) > 0 && s.soundElsewhere(w, now)
	mayRun := func(job *activeJob, id batch.TaskID) (string, bool) {
		if !slices.Contains(job.alone, id) || betterElsewhere && now-q.alone.sinceMs[id] < soundMachineWaitMs {
			return "", false
		}
		return s.mayRunIn(free, w, job, id, now)
	}
	if job, id, ticket := q.longestUnplaced(0, now, free, mayRun); job != nil {
		return id, ticket, true
	}
	for range min(len(q.alone.order), maxSuspectsTried) {
		id = q.alone.next()
		job := s.jobs[id.Job]
		if job == nil || job.pool != w.pool || !slices.Contains(job.alone, id) {
			q.alone.removeLast()
			continue
		}
		if ticket, ok = mayRun(job, id); ok {
			return id, ticket, true
		}
	}
	return batch.TaskID{}, "", false
}

// soundElsewhere reports whether another worker of a worker's pool runs on a machine that hasn't crashed lately.
func (s *Scheduler) soundElsewhere(w *worker, now int64) bool {
	for _, other := range s.workers {
		if other != w && other.pool == w.pool && other.usable(now) && now-other.heardMs < maxSilenceMs && len(s.unexplainedMs[other.address]) == 0 {
			return true
		}
	}
	return false
}

// freeAlone returns what a worker has free beside the attempts that have run for a while.
func (s *Scheduler) freeAlone(w *worker) batch.Resources {
	free := w.capacity
	for id, a := range w.running {
		if j, t := s.findTask(id); t != nil && w.hasRun(id, a.number, settledMs) {
			free = free.Sub(j.Spec.Steps[id.Step].ReservedResources())
		}
	}
	return free
}
