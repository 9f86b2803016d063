package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

const (
	// crashBeatMs is the interval of the heartbeats of a simulated machine.
	crashBeatMs = 100
	// crashStartMs is how long after its start a task counts as starting, and crashesAtStart how many workers must crash under
	// a starting task before it may be given up, whatever the cause was.
	crashStartMs   = 50
	crashesAtStart = 2
	// crashMaxStarts bounds the starts of a deadly task: at most two after three workers have crashed under it.
	crashMaxStarts = 5
	// crashStopMs bounds how long a simulated machine takes to stop a task.
	crashStopMs = 400
	// crashMaxAttempts is how many attempts of a task may fail before its job fails.
	crashMaxAttempts = 4
)

// crashMachine is a machine whose worker crashes when a deadly task has run for long enough, or of its own.
type crashMachine struct {
	worker      string
	incarnation int64
	sequence    uint64
	ended       uint64
	running     []crashRun
	// upMs is the uptime from which its worker runs, and failMs the uptime at which it crashes of its own; 0 for never.
	upMs, failMs int64
	// leaseEndMs is the uptime at which its lease ends, and taskFailedMs the uptime at which a task last failed on it.
	leaseEndMs, taskFailedMs int64
}

// crashRun is an attempt that a machine runs.
type crashRun struct {
	batch.Running

	// kind is how it ends by itself, at endMs; one that lasts ends only by a stop, at stopMs if that isn't 0.
	kind   batch.EndKind
	lasts  bool
	stopMs int64
	// listedMs is the uptime of the last heartbeat that listed it.
	startMs, endMs, crashMs, listedMs int64
}

// crashLoad decides how the attempts on simulated machines go.
type crashLoad interface {
	// begin returns an attempt that the machine of an index has just been told to start.
	begin(machine int, s batch.StartOrder) crashRun
}

// crashFleet simulates machines that crash under deadly tasks.
type crashFleet struct {
	*harness
	random   *rand.Rand
	load     crashLoad
	capacity batch.Resources
	machines []crashMachine
	// atStart counts the crashes of workers that a starting task of each job ran on, by task.
	atStart map[string]map[batch.TaskID]int
	// failures counts the attempts of each task that failed.
	failures map[batch.TaskID]int
	// unrestMs is the uptime at which a worker last joined, crashed or was taken away.
	unrestMs int64
	workers  int
	flapping bool
}

func newCrashFleet(random *rand.Rand, machines int, capacity batch.Resources) *crashFleet {
	f := &crashFleet{
		harness: newHarness(), random: random, capacity: capacity, machines: make([]crashMachine, machines),
		atStart: map[string]map[batch.TaskID]int{}, failures: map[batch.TaskID]int{},
	}
	f.call("configure", &batch.Call{Configure: &batch.Configuration{
		Version: 1, Text: []byte("text"),
		Queues: []batch.Queue{{
			Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: crashMaxAttempts, SlackFactor: 2, TargetLatencyMs: 3000, TimeoutMs: 3000,
		}},
		Pools: []batch.Pool{{Name: "p"}},
	}})
	return f
}

// submit hands in a job of a number with its steps.
func (f *crashFleet) submit(job int, steps ...batch.Step) {
	f.call("submit", &batch.Call{Submit: &batch.Submission{
		Host: "h", Path: "/q/" + crashJobID(job), Job: batch.Job{Text: "text", Steps: steps},
	}})
}

func crashJobID(job int) string { return fmt.Sprintf("%016x", job) }

// restart gives a machine a new worker after a while; the first machine of a flapping fleet crashes every few seconds.
func (f *crashFleet) restart(i int, afterMs int64) {
	f.workers++
	m := &f.machines[i]
	*m = crashMachine{worker: fmt.Sprintf("w%d", f.workers), incarnation: m.incarnation + 1, upMs: f.uptime.ms + afterMs}
	if f.flapping && i == 0 {
		m.failMs = m.upMs + 500 + f.random.Int64N(6000)
	}
}

// play plays a tick of the machines, on which some crash and the others send their heartbeats in turn.
func (f *crashFleet) play() {
	for i := range f.machines {
		m := &f.machines[i]
		switch {
		case f.uptime.ms < m.upMs:
		case f.crashes(m):
			f.noteCrash(m)
			f.restart(i, 500+f.random.Int64N(3000))
		case (f.uptime.ms+int64(i)*sched.TickMs)%crashBeatMs == 0:
			f.beat(i)
		}
	}
}

// crashes reports whether a machine crashes now.
func (f *crashFleet) crashes(m *crashMachine) bool {
	for _, r := range m.running {
		if r.crashMs > 0 && f.uptime.ms >= r.crashMs {
			return true
		}
	}
	return m.failMs > 0 && f.uptime.ms >= m.failMs
}

// noteCrash counts the starting tasks of a machine that crashes.
func (f *crashFleet) noteCrash(m *crashMachine) {
	f.unrestMs = f.uptime.ms
	for _, r := range m.running {
		if r.listedMs-r.startMs >= crashStartMs {
			continue
		}
		if f.atStart[r.Task.Job] == nil {
			f.atStart[r.Task.Job] = map[batch.TaskID]int{}
		}
		f.atStart[r.Task.Job][r.Task]++
	}
}

// crashedAtStart reports whether enough workers have crashed under a starting task of a job to give it up.
func (f *crashFleet) crashedAtStart(job string) bool {
	for _, count := range f.atStart[job] {
		if count >= crashesAtStart {
			return true
		}
	}
	return false
}

// beat sends a machine's heartbeat and obeys the reply.
func (f *crashFleet) beat(i int) {
	m := &f.machines[i]
	if m.sequence++; m.sequence == 1 {
		f.unrestMs = f.uptime.ms
	}
	report := &batch.Heartbeat{
		Worker: m.worker, Incarnation: m.incarnation, Sequence: m.sequence, Pool: "p", Address: fmt.Sprintf("h%d", i),
		Capacity: f.capacity, Labels: crashLabels(i),
	}
	m.running = slices.DeleteFunc(m.running, func(r crashRun) bool { return f.reportEnd(m, &r, report) })
	for j := range m.running {
		r := &m.running[j]
		r.listedMs, r.Percent = f.uptime.ms, r.progress(f.uptime.ms)
		report.Running = append(report.Running, r.Running)
	}
	f.scheduler.Call(&batch.Call{Heartbeat: report}, f.uptime.ms, func(r batch.Reply) { f.obey(i, &r.Orders) })
	f.log.commitAll()
}

func crashLabels(machine int) []string { return []string{"a", fmt.Sprintf("r%d", machine%4)} }

// reportEnd adds the end of an attempt to a heartbeat, if it has ended, and reports whether it has.
func (f *crashFleet) reportEnd(m *crashMachine, r *crashRun, report *batch.Heartbeat) bool {
	kind := r.kind
	switch {
	case r.stopMs > 0 && f.uptime.ms >= r.stopMs:
		kind = batch.EndStopped
	case r.lasts && kind == batch.EndDone || f.uptime.ms < r.endMs:
		return false
	}
	if kind == batch.EndFailed {
		f.failures[r.Task]++
		m.taskFailedMs = f.uptime.ms
	}
	m.ended++
	report.Ended = append(report.Ended, batch.EndReport{Number: m.ended, Task: r.Task, Attempt: r.Attempt, Kind: kind})
	return true
}

// obey carries out the orders for the worker of a machine.
func (f *crashFleet) obey(i int, o *batch.Orders) {
	m := &f.machines[i]
	m.leaseEndMs = max(m.leaseEndMs, f.uptime.ms+o.LeaseMs)
	for _, s := range o.Stop {
		for j := range m.running {
			if r := &m.running[j]; r.Task == s.Task && r.Attempt == s.Attempt && r.stopMs == 0 {
				r.stopMs = f.uptime.ms + f.random.Int64N(crashStopMs)
			}
		}
	}
	for _, s := range o.Start {
		m.running = append(m.running, f.load.begin(i, s))
	}
}

// progress returns the progress in percent that an attempt shows.
func (r *crashRun) progress(now int64) int {
	return int(min(100, 100*(now-r.startMs)/(r.endMs-r.startMs)))
}
