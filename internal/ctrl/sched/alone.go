package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/crash"
)

const (
	// ranLongMs is how long after its start a task may be the cause of a crash of its worker.
	ranLongMs = 10_000
	// settledMs is how long all else on a worker must have run before a task starts alone there.
	settledMs = 2_000
	// maxAloneWorkers is the number of workers of a pool that run a task alone, or are kept free for one, at which only those
	// that run nothing may still take one.
	maxAloneWorkers = 2
	// soundMachineWaitMs is how long a task that runs alone waits for a machine that hasn't crashed lately.
	soundMachineWaitMs = 2_000
	// silentMs is how long after its last heartbeat a worker may have crashed unseen, and silentTogetherMs how far apart the
	// last heartbeats of workers that crash together may be.
	silentMs         = 400
	silentTogetherMs = 300
)

// runsAlone reports whether a task runs only where nothing else can be the cause of a crash.
func runsAlone(j *jobs.Job, t *jobs.Task) bool {
	return !j.Phase.IsTerminal() && !t.Done && crash.RunsAlone(t.CrashesBeside)
}

// hasRunLong reports whether a worker's last heartbeat lists an attempt that has run for long.
func (w *worker) hasRunLong(id batch.TaskID, number int) bool {
	return w.hasRun(id, number, ranLongMs)
}

// hasRun reports whether a worker's last heartbeat lists an attempt that has run for some time.
func (w *worker) hasRun(id batch.TaskID, number int, ms int64) bool {
	a := w.running[id]
	return a != nil && a.number == number && w.heardMs-a.sinceMs >= ms
}

// hasRecent reports whether a worker has an attempt of a task that hasn't run for some time there.
func (w *worker) hasRecent(t *jobs.Task, id batch.TaskID, ms int64) bool {
	return slices.ContainsFunc(t.Attempts, func(r jobs.Attempt) bool { return r.Worker == w.id && !w.hasRun(id, r.Number, ms) })
}

// mayCrashOn reports whether a worker's crash may be due to an attempt that its last heartbeat lists.
func (w *worker) mayCrashOn(j *jobs.Job, id batch.TaskID, number int) bool {
	a := w.running[id]
	return a != nil && a.number == number && !w.hasRunLong(id, number) && !j.Spec.Steps[id.Step].Gang
}

// recentOn returns the tasks on a worker that haven't run for some time there.
func (s *Scheduler) recentOn(w *worker, ms int64) []batch.TaskID {
	var recent []batch.TaskID
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		if _, t := s.findTask(id); w.hasRecent(t, id, ms) {
			recent = append(recent, id)
		}
	}
	for id, a := range w.running {
		// One that was given up still runs.
		if _, t := s.findTask(id); (t == nil || t.FindAttempt(a.number) == nil) && !w.hasRun(id, a.number, ms) {
			recent = append(recent, id)
		}
	}
	return recent
}

// givenUpAlone reports whether a task is given up because its worker has crashed while nothing else can be the cause.
func (s *Scheduler) givenUpAlone(w *worker, id batch.TaskID) bool {
	j, t := s.findTask(id)
	if !runsAlone(j, t) {
		return false
	}
	other := func(other batch.TaskID) bool { return other != id }
	if slices.ContainsFunc(s.recentOn(w, settledMs), other) {
		return false
	}
	givenUp := crash.GiveUpAlone(crash.Alone{
		Crashes: t.CrashesBeside, LongRunning: j.Spec.Steps[id.Step].LongRunning,
		// The last of them is this crash.
		UnexplainedCrashes: len(s.recentCrashes(w.address)) - 1, RackSilent: s.rackSilent(w),
		OthersRecent: slices.ContainsFunc(s.recentOn(w, ranLongMs), other),
	})
	if givenUp {
		givenUpTotal.Inc()
	}
	s.options.Logger.Info("task_crashed_alone", zap.String("job", id.Job), zap.Int("occurrence", id.Occurrence), zap.Int("step", id.Step),
		zap.Int("index", id.Index), zap.String("worker", w.id), zap.Int("crashes", t.CrashesBeside+1), zap.Bool("given_up", givenUp))
	return givenUp
}

// rackSilent reports whether another worker of a worker's rack fell silent at about the same time.
func (s *Scheduler) rackSilent(w *worker) bool {
	now := s.now()
	for _, other := range s.workers {
		apartMs := max(other.heardMs-w.heardMs, w.heardMs-other.heardMs)
		if other != w && w.rack != "" && other.rack == w.rack && apartMs <= silentTogetherMs && (other.crashed || !other.left && now-other.heardMs > silentMs) {
			return true
		}
	}
	return false
}

// assignAlone starts a task alone on a worker on which all else has run for a while, or keeps the worker free for it. It
// reports whether the worker gets no other orders.
func (s *Scheduler) assignAlone(w *worker, q *poolQueue, sequence uint64, now int64) (orders []batch.StartOrder, kept bool) {
	w.keptFree = s.runsOneAlone(w)
	idle := len(w.running) == 0 && w.starting == 0
	if w.keptFree || len(q.alone.order) == 0 || s.plansMembersOn(w) || !idle && s.countKeptFree(w, now) >= maxAloneWorkers {
		return nil, w.keptFree
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
	q.alone.removeLast()
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
	if s.starting[w.alone] && s.startingWorker[w.alone] == w.id {
		return true
	}
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		if j, t := s.findTask(id); runsAlone(j, t) && w.hasRecent(t, id, ranLongMs) && !s.endsNow(id) {
			return true
		}
	}
	return false
}

// endsNow reports whether a worker has just reported the end of a task, and that isn't proposed yet.
func (s *Scheduler) endsNow(id batch.TaskID) bool {
	return slices.ContainsFunc(s.proposals.pending.Ends, func(end batch.AttemptEnd) bool { return end.Task == id && end.Reported })
}

// countKeptFree returns how many other workers of a worker's pool run a task alone or are kept free for one.
func (s *Scheduler) countKeptFree(w *worker, now int64) int {
	count := 0
	for _, other := range s.workers {
		if other != w && other.keptFree && other.pool == w.pool && other.usable(now) && now-other.heardMs < maxSilenceMs &&
			!s.fleet.leaving(other) {
			count++
		}
	}
	return count
}

// findAlone moves a task that a worker may run alone, once all else there has ended or run for a while, to the end of its queue
// and returns it, with its ticket.
func (s *Scheduler) findAlone(w *worker, q *poolQueue, now int64) (id batch.TaskID, ticket string, ok bool) {
	free, betterElsewhere := s.freeAlone(w), len(s.recentCrashes(w.address)) > 0 && s.soundElsewhere(w, now)
	for range min(len(q.alone.order), maxSuspectsTried) {
		id = q.alone.next()
		job := s.jobs[id.Job]
		if job == nil || job.pool != w.pool || !slices.Contains(job.alone, id) {
			q.alone.removeLast()
			continue
		}
		if betterElsewhere && now-q.alone.sinceMs[id] < soundMachineWaitMs {
			continue
		}
		if ticket, ok = s.mayRunIn(free, w, job, id, now); ok {
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
