package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/crash"
)

// assignTrial starts a task alone, or a group of tasks, on a worker on which all else has run for a while, or keeps the worker
// free for that. It reports whether the worker gets no other orders.
func (s *Scheduler) assignTrial(w *worker, q *poolQueue, sequence uint64, now int64) (orders []batch.StartOrder, kept bool) {
	w.keptFree = s.runsTrial(w) && (w.keptFree || s.mayHold(w, q, now))
	if w.keptFree || len(q.trials.order) == 0 || s.plansMembersOn(w) || !s.mayHold(w, q, now) {
		return nil, w.keptFree
	}
	id, ticket, ok := s.findTrial(w, q, crash.TrialNone, now)
	if !ok {
		return nil, false
	}
	w.keptFree = true
	if w.starting > 0 || len(slices.DeleteFunc(s.recentOn(w, settledMs), s.endsNow)) > 0 {
		return nil, true
	}
	w.trials = nil
	kind := trialOf(s.findTask(id))
	for ok {
		orders = append(orders, s.startTrial(w, q, id, ticket, sequence, now))
		if kind == crash.TrialAlone || len(orders) == crash.MaxGroup {
			break
		}
		id, ticket, ok = s.findTrial(w, q, crash.TrialGroup, now)
	}
	return orders, true
}

// startTrial starts a task alone, or as one more of a group.
func (s *Scheduler) startTrial(w *worker, q *poolQueue, id batch.TaskID, ticket string, sequence uint64, now int64) batch.StartOrder {
	waitedMs := now - q.trials.sinceMs[id]
	q.trials.remove(id)
	job := s.jobs[id.Job]
	job.tryAlone(id)
	w.trials = append(w.trials, id)
	t := job.state.Task(id)
	s.options.Logger.Info("task_runs_alone", zap.String("job", id.Job), zap.Int("occurrence", id.Occurrence), zap.Int("step", id.Step),
		zap.Int("index", id.Index), zap.String("worker", w.id), zap.Int("crashes", t.CrashesBeside), zap.Int64("waited_ms", waitedMs),
		zap.Stringer("trial", trialOf(job.state, t)), zap.Int("group", len(w.trials)))
	return s.startAttempt(w, job.state, id, ticket, sequence)
}

// tryAlone notes that a task that waited to run alone starts.
func (job *activeJob) tryAlone(id batch.TaskID) {
	job.trials = slices.DeleteFunc(job.trials, func(other batch.TaskID) bool { return other == id })
	job.onTrial = append(job.onTrial, id)
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

// runsTrial reports whether a worker runs a task on trial that hasn't run for long there.
func (s *Scheduler) runsTrial(w *worker) bool {
	if slices.ContainsFunc(w.trials, func(id batch.TaskID) bool { return s.starting[id] && s.startingWorker[id] == w.id }) {
		return true
	}
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		if j, t := s.findTask(id); trialOf(j, t) != crash.TrialNone && w.hasRecent(t, id, ranLongMs) && !s.endsNow(id) {
			return true
		}
	}
	return false
}

// endsNow reports whether a worker has just reported the end of a task, and that isn't proposed yet.
func (s *Scheduler) endsNow(id batch.TaskID) bool {
	return slices.ContainsFunc(s.proposals.pending.Ends, func(end batch.AttemptEnd) bool { return end.Task == id && end.Reported })
}

// mayHold reports whether a worker may be kept from all tasks but those on trial, by how many of its pool are.
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

// findTrial returns a task that a worker may try, once all else there has ended or run for a while, with its ticket: one that
// lasts before all others. It looks for those of one kind of trial, or of any for TrialNone.
func (s *Scheduler) findTrial(w *worker, q *poolQueue, kind crash.Trial, now int64) (id batch.TaskID, ticket string, ok bool) {
	free, betterElsewhere := s.freeAlone(w), len(s.recentCrashes(w.address)) > 0 && s.soundElsewhere(w, now)
	mayTry := func(job *activeJob, id batch.TaskID) (string, bool) {
		if !slices.Contains(job.trials, id) || kind != crash.TrialNone && kind != trialOf(job.state, job.state.Task(id)) ||
			betterElsewhere && now-q.trials.sinceMs[id] < soundMachineWaitMs {
			return "", false
		}
		return s.mayRunIn(free, w, job, id, now)
	}
	if job, id, ticket := q.longestUnplaced(0, now, mayTry); job != nil {
		return id, ticket, true
	}
	for range min(len(q.trials.order), maxSuspectsTried) {
		id = q.trials.next()
		job := s.jobs[id.Job]
		if job == nil || job.pool != w.pool || !slices.Contains(job.trials, id) {
			q.trials.removeLast()
			continue
		}
		if ticket, ok = mayTry(job, id); ok {
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

// freeAlone returns what a worker has free beside the attempts that have run for a while and the starts assigned for a trial.
func (s *Scheduler) freeAlone(w *worker) batch.Resources {
	free := w.capacity
	for id, a := range w.running {
		if j, t := s.findTask(id); t != nil && w.hasRun(id, a.number, settledMs) {
			free = free.Sub(j.Spec.Steps[id.Step].ReservedResources())
		}
	}
	for _, id := range w.trials {
		if j, t := s.findTask(id); t != nil && s.starting[id] && s.startingWorker[id] == w.id {
			free = free.Sub(j.Spec.Steps[id.Step].ReservedResources())
		}
	}
	return free
}
