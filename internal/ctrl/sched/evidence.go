package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/crash"
)

// unexplainedKeptMs is how long a crash for which no task was given up counts against the machine.
const unexplainedKeptMs = 10_000

// evidence is what the crash of a worker shows about its tasks.
type evidence struct {
	// blamed holds the attempts that the worker was about to start, and whether their tasks are given up.
	blamed map[attemptID]bool
	// spared are the tasks that aren't blamed, because the worker crashed together with others or under them before.
	spared map[batch.TaskID]bool
	// together is set if the worker crashed together with others.
	together bool
}

// spareTasksOn returns the tasks on a worker that its crash together with others isn't counted for, and notes that.
func (s *Scheduler) spareTasksOn(w *worker, unseen []attemptID) map[batch.TaskID]bool {
	spared := map[batch.TaskID]bool{}
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		job := s.jobs[id.Job]
		starts := slices.ContainsFunc(unseen, func(u attemptID) bool { return u.task == id })
		if job == nil || s.isHeldOn(w, id) || !crash.IsSpared(job.spared[id], starts) {
			continue
		}
		if job.spared == nil {
			job.spared = map[batch.TaskID]int{}
		}
		job.spared[id]++
		spared[id] = true
	}
	return spared
}

// countedAt returns the tasks that last on a worker against which a crash of its machine has counted. They are restarted however
// they end, perhaps nowhere else, so that a machine that crashes time and again would give them up.
func (s *Scheduler) countedAt(w *worker) map[batch.TaskID]bool {
	counted := map[batch.TaskID]bool{}
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		if job := s.jobs[id.Job]; job != nil && slices.Contains(job.crashedAt[id], w.address) {
			counted[id] = true
		}
	}
	return counted
}

// noteCounted notes that a crash of a worker counts against a task.
func (s *Scheduler) noteCounted(w *worker, id batch.TaskID) {
	job := s.jobs[id.Job]
	if job == nil || !job.state.Spec.Steps[id.Step].LongRunning {
		return
	}
	if job.crashedAt == nil {
		job.crashedAt = map[batch.TaskID][]string{}
	}
	job.crashedAt[id] = append(job.crashedAt[id], w.address)
}

// blameStarts returns the attempts that a worker was about to start when it crashed, and for each whether its task is given
// up, because too many workers have crashed under it.
func (s *Scheduler) blameStarts(w *worker, unseen []attemptID, together bool) map[attemptID]bool {
	blamed := make(map[attemptID]bool, len(unseen))
	starts := make([]crash.Start, len(unseen))
	for i, u := range unseen {
		j, t := s.findTask(u.task)
		step := &j.Spec.Steps[u.task.Step]
		starts[i] = crash.Start{Crashes: t.Crashes, LongRunning: step.LongRunning, Gang: step.Gang}
	}
	unexplained, explained := s.recentCrashes(w.address), false
	for i, givenUp := range crash.GiveUp(crash.Input{Starts: starts, UnexplainedCrashes: len(unexplained), Together: together}) {
		u := unseen[i]
		explained = explained || givenUp
		if givenUp {
			givenUpTotal.Inc()
		}
		s.options.Logger.Info("task_suspected", zap.String("job", u.task.Job), zap.Int("occurrence", u.task.Occurrence),
			zap.Int("step", u.task.Step), zap.Int("index", u.task.Index), zap.Int("attempt", u.attempt), zap.String("worker", w.id),
			zap.Int("crashes", starts[i].Crashes+1), zap.Int("beside", len(unseen)-1), zap.Int("unexplained", len(unexplained)),
			zap.Bool("given_up", givenUp))
		blamed[u] = givenUp
	}
	if !explained && !together {
		s.unexplainedMs[w.address] = append(unexplained, s.now())
	}
	return blamed
}

// recentCrashes returns the uptimes of the crashes at an address that still count, and forgets all others.
func (s *Scheduler) recentCrashes(address string) []int64 {
	now := s.now()
	for other, all := range s.unexplainedMs {
		if all = slices.DeleteFunc(all, func(ms int64) bool { return now-ms > unexplainedKeptMs }); len(all) > 0 {
			s.unexplainedMs[other] = all
		} else {
			delete(s.unexplainedMs, other)
		}
	}
	return s.unexplainedMs[address]
}

// judge returns whether a crash counts for a task as one at its start or a later one, and whether it is given up for the first.
func (e *evidence) judge(w *worker, j *jobs.Job, id batch.TaskID, attempt int) (givenUp, crashed, later bool) {
	if e == nil || e.spared[id] {
		return false, false, false
	}
	givenUp, crashed = e.blamed[attemptID{task: id, attempt: attempt}]
	return givenUp, crashed, !crashed && w.mayCrashOn(j, id, attempt)
}
