package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/crash"
)

const (
	// maxLoggedTasks bounds the tasks that are named in one log line.
	maxLoggedTasks = 32
	// startMs is how long after the order a task may still crash its worker by being started; a heartbeat may list it before.
	startMs = 50
	// crashedKeptMs is how long after a crash workers that join the pool wait for the VM list, and maxVMWaitMs is how long each
	// of them waits at most.
	crashedKeptMs = 30_000
	maxVMWaitMs   = 300
	// lateHeartbeatMs is how long after a leader took over a heartbeat may still arrive that its worker sent before it left.
	lateHeartbeatMs = 3000
	// unexplainedKeptMs is how long a crash for which no task was given up counts against the machine.
	unexplainedKeptMs = 10_000
	// crashTogetherMs is how far apart the last heartbeats of workers may be that crash at the same moment.
	crashTogetherMs = 200
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
	s.endAttemptsOn(w, w.incarnation, cause, &evidence{blamed: s.blameStarts(w, unseen, together), spared: spared})
}

// upUnheardMs returns for how long a worker is known to have been up since its last heartbeat and the orders that answered it.
func (w *worker) upUnheardMs() int64 {
	return max(0, w.listedUpMs-max(w.heardMs, w.lastOrderMs))
}

// evidence is what the crash of a worker shows about its tasks.
type evidence struct {
	// blamed holds the attempts that the worker was about to start, and whether their tasks are given up.
	blamed map[attemptID]bool
	// spared are the tasks that aren't blamed, because the worker crashed together with others or under them before.
	spared map[batch.TaskID]bool
}

// spareTasksOn returns the tasks on a worker that its crash together with others isn't counted for, and notes that.
func (s *Scheduler) spareTasksOn(w *worker, unseen []attemptID) map[batch.TaskID]bool {
	spared := map[batch.TaskID]bool{}
	for id := range s.options.Log.Batch().TasksOn(w.id) {
		job := s.jobs[id.Job]
		starts := slices.ContainsFunc(unseen, func(u attemptID) bool { return u.task == id })
		if job == nil || !crash.IsSpared(job.spared[id], starts) {
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
	for i, givenUp := range crash.GiveUp(crash.Input{Starts: starts, UnexplainedCrashes: len(unexplained)}) {
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

// awaitsVM reports whether a worker that has just joined gets no orders yet because the VM list doesn't show on which VM it
// runs. It matters while workers of its pool crash, since nothing would tell of a crash until the worker is back, and under a
// new leader: a heartbeat that was delayed may be from a worker that left before.
func (s *Scheduler) awaitsVM(w *worker, now int64) bool {
	if !s.fleet.listComplete || s.fleet.byWorker[w.id] != "" || now-w.joinedMs > maxVMWaitMs {
		return false
	}
	crashedMs, crashed := s.crashedMs[w.pool]
	takenOver := s.tookOver && now-s.activeSinceMs <= lateHeartbeatMs
	return takenOver || crashed && now-crashedMs <= crashedKeptMs
}

// crashExcuse is why the end of a worker shows nothing about the tasks that it ran; the zero value means that it may.
type crashExcuse int

const (
	excuseNone            crashExcuse = iota // none
	excuseLeft                               // left before
	excuseDraining                           // draining
	excuseNotHeard                           // not heard by this leader
	excuseOrdered                            // ordered away
	excuseOrderedFormerly                    // ordered away by a former leader
	excuseCutOff                             // cut off before
)

func (s *Scheduler) excuseOf(w *worker) crashExcuse {
	name := s.fleet.byWorker[w.id]
	v := s.fleet.vms[name]
	switch {
	case w.left:
		return excuseLeft
	case w.draining:
		return excuseDraining
	case w.inherited:
		return excuseNotHeard
	case v != nil && (v.orderPending || v.unverifiedMs > 0 || v.awayUntilMs > w.heardMs):
		return excuseOrdered
	case s.fleet.maybeDownUntilMs[name] > s.now():
		return excuseOrderedFormerly
	case w.upUnheardMs() >= w.intervalMs+overdueMarginMs:
		return excuseCutOff
	}
	return excuseNone
}

// crashedTogether reports whether so many workers of a worker's pool were lost at the same moment that it may not be for their
// tasks.
func (s *Scheduler) crashedTogether(w *worker) bool {
	now, windowMs := s.now(), max(crashTogetherMs, w.intervalMs)
	// lost holds, by address, whether the worker that ran there then was lost with this one.
	lost := map[string]bool{w.address: true}
	for _, other := range s.workers {
		if other.pool != w.pool || other.address == w.address || other.joinedMs > w.heardMs || other.heardMs < w.heardMs-windowMs {
			continue
		}
		gone := other.crashed || other.listedDown || !other.left && now-other.heardMs > silentMs
		lost[other.address] = lost[other.address] || gone && other.heardMs <= w.heardMs+windowMs
	}
	crashed := 0
	for _, gone := range lost {
		if gone {
			crashed++
		}
	}
	return crash.HaveCommonCause(crashed, len(lost))
}

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
	if w.incarnation != h.Incarnation {
		return
	}
	w.answeredSequence = max(w.answeredSequence, h.Sequence)
	if len(o.Start) > 0 {
		w.lastOrderMs = now
	}
}

func compareTasks(a, b batch.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// taskNames returns the tasks of the first starts as job.occurrence.step.index, for the log.
func taskNames(starts []attemptID) []string {
	var names []string
	for _, u := range starts[:min(len(starts), maxLoggedTasks)] {
		id := u.task
		names = append(names, fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index))
	}
	return names
}

// judge returns whether a crash counts for a task as one at its start or a later one, and whether it is given up for the first.
func (e *evidence) judge(w *worker, j *jobs.Job, id batch.TaskID, attempt int) (givenUp, crashed, later bool) {
	if e == nil || e.spared[id] {
		return false, false, false
	}
	givenUp, crashed = e.blamed[attemptID{task: id, attempt: attempt}]
	return givenUp, crashed, !crashed && w.mayCrashOn(j, id, attempt)
}

// loseAttempts ends all attempts on a worker up to and including an incarnation as lost.
func (s *Scheduler) loseAttempts(w *worker, incarnation int64, cause string) {
	s.endAttemptsOn(w, incarnation, cause, nil)
}

// endAttemptsOn ends all attempts on a worker up to and including an incarnation as lost, with the evidence of its crash; nil if
// it didn't crash, or that shows nothing.
func (s *Scheduler) endAttemptsOn(w *worker, incarnation int64, cause string, e *evidence) {
	lost := 0
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
					GivenUp: givenUp || (crashed || later) && s.givenUpAlone(w, id), RanLong: w.hasRunLong(id, r.Number),
					// One that the worker listed just before it crashed may be the cause: neither blamed nor cleared.
					OutlivedStart: w.hasOutlivedStart(j, id, r.Number) || e == nil && w.hasBegun(j, id, r.Number),
				})
				lost++
			}
		}
	}
	if lost > 0 {
		s.options.Logger.Info("attempts_lost", zap.String("worker", w.id), zap.Int64("incarnation", incarnation),
			zap.Int("count", lost), zap.String("cause", cause), zap.Int64("silent_ms", s.now()-w.heardMs))
	}
}
