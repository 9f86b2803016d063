package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

const (
	// offerMs is how long a task that lasts may wait in calm with room for it twice over: the rule allows 6 s since its last
	// run and looks at room for the last 3 s of them.
	offerMs = 4000
	// keptMs is how long a worker that runs nothing, or nothing but a suspect, may leave other tasks waiting before it counts as
	// kept for tasks that run alone.
	keptMs = 2500
	// shunnedMs is how long after a failure a worker may take no tasks, or one at a time, for that reason.
	shunnedMs = 9000
	// leastKept and keptShare bound the workers of a pool that are kept at the same time.
	leastKept = 2
	keptShare = 4
)

// roomStep identifies a step of a job.
type roomStep struct {
	job  string
	step int
}

// roomWatch observes from outside which tasks wait and which workers have room for them.
type roomWatch struct {
	day *roomDay
	// waitingMs holds the uptime since which each task that lasts waits, and roomMs, by step and machine, that since which the
	// machine has room for one more of the step; 0 for none.
	waitingMs map[batch.TaskID]int64
	roomMs    map[roomStep][]int64
	// keptMs holds, by machine, the uptime since which it is kept for tasks that run alone; 0 for not.
	keptMs []int64
	// overKeptNow is set while too many are.
	overKeptNow         bool
	unoffered, overKept []string
	broken              map[batch.TaskID]bool
}

func newRoomWatch(d *roomDay) *roomWatch {
	return &roomWatch{
		day: d, waitingMs: map[batch.TaskID]int64{}, roomMs: map[roomStep][]int64{}, keptMs: make([]int64, len(d.machines)),
		broken: map[batch.TaskID]bool{},
	}
}

// observe looks at what waits now.
func (w *roomWatch) observe() {
	running := w.running()
	waitingMs, roomMs, ordinary := map[batch.TaskID]int64{}, map[roomStep][]int64{}, []roomStep(nil)
	for i := range w.day.jobs[:w.day.arrived] {
		j := &w.day.jobs[i]
		state := w.day.log.batch.Job(j.id)
		if state == nil || state.Phase.IsTerminal() {
			continue
		}
		for step := range j.steps {
			key := roomStep{job: j.id, step: step}
			waiting := w.waiting(state, key, running)
			if len(waiting) == 0 {
				continue
			}
			if !w.suspected(state, step) {
				ordinary = append(ordinary, key)
			}
			if !j.steps[step].LongRunning {
				continue
			}
			roomMs[key] = w.roomFor(key)
			for _, id := range waiting {
				waitingMs[id] = w.since(w.waitingMs[id])
			}
		}
	}
	w.waitingMs, w.roomMs = waitingMs, roomMs
	w.checkOffers()
	w.checkKept(ordinary)
}

// since returns the uptime since which a state lasts that lasts now, given that of the last look; 0 for not.
func (w *roomWatch) since(formerMs int64) int64 {
	if formerMs > 0 {
		return formerMs
	}
	return w.day.uptime.ms
}

// running returns the tasks that a machine runs, also where the scheduler has given the attempt up.
func (w *roomWatch) running() map[batch.TaskID]bool {
	all := map[batch.TaskID]bool{}
	for i := range w.day.machines {
		for _, r := range w.day.machines[i].running {
			all[r.Task] = true
		}
	}
	return all
}

// waiting returns the tasks of a step that could start.
func (w *roomWatch) waiting(state *jobs.Job, key roomStep, running map[batch.TaskID]bool) []batch.TaskID {
	if state.StepTasksLeft(0, key.step) == 0 {
		return nil
	}
	for _, former := range state.Spec.Steps[key.step].After {
		if state.StepTasksLeft(0, former) > 0 {
			return nil
		}
	}
	var all []batch.TaskID
	for i := range state.Spec.Steps[key.step].Count {
		id := batch.TaskID{Job: key.job, Step: key.step, Index: i}
		if t := state.Task(id); !t.Done && len(t.Attempts) == 0 && !running[id] {
			all = append(all, id)
		}
	}
	return all
}

// suspected reports whether workers have crashed under a task of a step: its others may wait for that one.
func (w *roomWatch) suspected(state *jobs.Job, step int) bool {
	first := state.FirstTask(0, step)
	return slices.ContainsFunc(state.Tasks[first:first+state.Spec.Steps[step].Count], isSuspect)
}

func isSuspect(t jobs.Task) bool { return t.Crashes > 0 || t.CrashesBeside > 0 }

// roomFor returns, by machine, the uptime since which it has room for one more task of a step.
func (w *roomWatch) roomFor(key roomStep) []int64 {
	former, all := w.roomMs[key], make([]int64, len(w.day.machines))
	for i := range all {
		switch {
		case !w.hasRoom(i, key):
		case former == nil:
			all[i] = w.day.uptime.ms
		default:
			all[i] = w.since(former[i])
		}
	}
	return all
}

// heard reports whether a machine's worker is up, has sent heartbeats and holds its lease.
func (w *roomWatch) heard(i int) bool {
	m := &w.day.machines[i]
	return w.day.uptime.ms >= m.upMs && m.sequence > 0 && w.day.uptime.ms < m.leaseEndMs
}

// hasRoom reports whether a machine has room for one more task of a step.
func (w *roomWatch) hasRoom(i int, key roomStep) bool {
	if !w.heard(i) {
		return false
	}
	step, free, count := &w.day.byID[key.job].steps[key.step], w.day.capacity, 0
	for _, r := range w.day.machines[i].running {
		free = free.Sub(w.day.byID[r.Task.Job].steps[r.Task.Step].ReservedResources())
		if r.Task.Job == key.job && r.Task.Step == key.step {
			count++
		}
	}
	return free.Covers(step.ReservedResources()) && (step.MaxPerWorker == 0 || count < step.MaxPerWorker)
}

// checkOffers notes the tasks that wait for too long in calm while two workers had room for them all the while.
func (w *roomWatch) checkOffers() {
	now := w.day.uptime.ms
	for _, id := range slices.SortedFunc(maps.Keys(w.waitingMs), compareTaskNames) {
		sinceMs := w.waitingMs[id]
		var roomMs []int64
		for _, ms := range w.roomMs[roomStep{job: id.Job, step: id.Step}] {
			if ms > 0 {
				roomMs = append(roomMs, ms)
			}
		}
		if len(roomMs) < 2 || w.broken[id] {
			continue
		}
		slices.Sort(roomMs)
		if fromMs := max(sinceMs, w.day.unrestMs, roomMs[1]); now-fromMs >= offerMs {
			w.broken[id] = true
			t := w.day.log.batch.Job(id.Job).Task(id)
			w.unoffered = append(w.unoffered, fmt.Sprintf("at %d ms %s waits for %d ms, %d of them in calm with room on %d of %d workers "+
				"(%d crashes at its start, %d beside it, %d failures)", w.day.elapsedMs(), taskName(id), now-sinceMs, now-fromMs, len(roomMs),
				w.heardCount(), t.Crashes, t.CrashesBeside, t.Failures))
		}
	}
}

func compareTaskNames(a, b batch.TaskID) int { return strings.Compare(taskName(a), taskName(b)) }

func (w *roomWatch) heardCount() int {
	count := 0
	for i := range w.day.machines {
		if w.heard(i) {
			count++
		}
	}
	return count
}

// checkKept notes when too many workers are kept for tasks that run alone while ordinary tasks wait.
func (w *roomWatch) checkKept(ordinary []roomStep) {
	var kept []string
	for i := range w.keptMs {
		if !w.keepsOut(i, ordinary) {
			w.keptMs[i] = 0
			continue
		}
		if w.keptMs[i] = w.since(w.keptMs[i]); w.day.uptime.ms-w.keptMs[i] > keptMs {
			kept = append(kept, w.day.machines[i].worker)
		}
	}
	heard := w.heardCount()
	most := max(leastKept, heard/keptShare)
	if heard > 1 {
		most = min(most, heard-1)
	}
	over := len(kept) > most
	if over && !w.overKeptNow {
		w.overKept = append(w.overKept, fmt.Sprintf("at %d ms %d of %d workers run nothing but a suspect for %d ms, %v, while %d steps wait",
			w.day.elapsedMs(), len(kept), heard, keptMs, kept, len(ordinary)))
	}
	w.overKeptNow = over
}

// keepsOut reports whether a worker runs nothing or nothing but a suspect while ordinary tasks wait that fit it, and neither
// failures nor a wave explain it.
func (w *roomWatch) keepsOut(i int, ordinary []roomStep) bool {
	m := &w.day.machines[i]
	switch {
	case !w.heard(i) || len(m.running) > 1:
		return false
	case m.taskFailedMs > 0 && w.day.uptime.ms-m.taskFailedMs < shunnedMs:
		return false
	case w.waveTakes(i):
		return false
	case len(m.running) == 1 && !w.runsSuspect(m):
		return false
	}
	return slices.ContainsFunc(ordinary, func(key roomStep) bool { return w.hasRoom(i, key) })
}

// runsSuspect reports whether the only attempt on a machine is of a suspect.
func (w *roomWatch) runsSuspect(m *crashMachine) bool {
	state := w.day.log.batch.Job(m.running[0].Task.Job)
	if state == nil {
		return false
	}
	t := state.Task(m.running[0].Task)
	return t != nil && isSuspect(*t)
}

// waveTakes reports whether a wave has still to take a machine.
func (w *roomWatch) waveTakes(i int) bool {
	state := w.day.log.batch.Wave(w.day.wave.ID)
	return state != nil && slices.Contains(state.VMs, roomVM(i)) && !slices.Contains(state.Begun, roomVM(i))
}
