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

// ranAlone reports whether a worker was kept free for a task, and nothing else that ran there may be the cause of its crash: what
// hadn't run for a while when the task started, or has started since.
func (s *Scheduler) ranAlone(w *worker, id batch.TaskID) bool {
	if !w.keptFree {
		return false
	}
	ranMs := int64(0)
	if a := w.running[id]; a != nil {
		ranMs = w.heardMs - a.sinceMs
	}
	return !slices.ContainsFunc(s.recentOn(w, settledMs+ranMs), func(other batch.TaskID) bool { return other != id })
}

// givenUpAlone reports whether a task is given up because its worker has crashed while nothing else can be the cause.
func (s *Scheduler) givenUpAlone(w *worker, id batch.TaskID, together bool) bool {
	j, t := s.findTask(id)
	if !runsAlone(j, t) || !s.ranAlone(w, id) {
		return false
	}
	givenUp := crash.GiveUpAlone(crash.Alone{
		Crashes: t.CrashesBeside, LongRunning: j.Spec.Steps[id.Step].LongRunning,
		// The last of them is this crash.
		UnexplainedCrashes: len(s.recentCrashes(w.address)) - 1, RackSilent: s.rackSilent(w),
		Together:     together,
		OthersRecent: slices.ContainsFunc(s.recentOn(w, ranLongMs), func(other batch.TaskID) bool { return other != id }),
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
