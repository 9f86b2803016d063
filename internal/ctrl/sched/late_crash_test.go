package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

const (
	crashSeeds    = 40
	crashMachines = 8
	crashJobs     = 60
	crashDeadly   = 2
	// crashDayMs is how long a simulated day may last, and crashBeatMs the interval of its heartbeats.
	crashDayMs  = 250_000
	crashBeatMs = 100
	// crashStartMs is how long after its start a task counts as starting, and crashesAtStart how many workers must crash under
	// a starting task before it may be given up, whatever the cause was.
	crashStartMs   = 50
	crashesAtStart = 2
	// crashMaxStarts bounds the starts of a deadly task: at most two after three workers have crashed under it.
	crashMaxStarts = 5
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
}

// crashRun is an attempt that a machine runs.
type crashRun struct {
	batch.Running

	// listedMs is the uptime of the last heartbeat that listed it.
	startMs, endMs, crashMs, listedMs int64
}

// crashDay simulates machines that crash under deadly tasks.
type crashDay struct {
	*harness
	random   *rand.Rand
	machines [crashMachines]crashMachine
	// crashAfterMs holds how long after its start the first task of each deadly job crashes its worker.
	crashAfterMs map[string]int64
	starts       map[string]int
	// atStart counts the crashes of workers that a starting task of each job ran on, by task.
	atStart  map[string]map[int]int
	workers  int
	flapping bool
}

// TestLateCrashesConvictNoSoundTask checks that deadly tasks are given up in time whenever they crash, and no others.
func TestLateCrashesConvictNoSoundTask(t *testing.T) {
	for seed := range uint64(crashSeeds) {
		d := newCrashDay(seed)
		for d.uptime.ms < crashDayMs && !d.over() {
			d.step()
		}
		for i := range crashJobs {
			id := fmt.Sprintf("%016x", i)
			phase := d.log.batch.Job(id).Phase
			_, deadly := d.crashAfterMs[id]
			switch {
			case !deadly && phase == batch.PhaseFailed && d.crashedAtStart(id):
			case !deadly && phase != batch.PhaseCompleted:
				t.Errorf("seed %d: sound job %s is %s", seed, id, phase)
			case deadly && (phase != batch.PhaseFailed || d.starts[id] > crashMaxStarts):
				t.Errorf("seed %d: deadly job %s is %s after %d starts of its task, which crashes after %d ms",
					seed, id, phase, d.starts[id], d.crashAfterMs[id])
			}
		}
	}
}

func newCrashDay(seed uint64) *crashDay {
	d := &crashDay{
		harness: newHarness(), random: rand.New(rand.NewPCG(seed, 0)), crashAfterMs: map[string]int64{}, starts: map[string]int{},
		atStart:  map[string]map[int]int{},
		flapping: seed%2 == 1,
	}
	d.call("configure", &batch.Call{Configure: &batch.Configuration{
		Version: 1, Text: []byte("text"),
		Queues: []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMs: 3000, TimeoutMs: 3000}},
		Pools:  []batch.Pool{{Name: "p"}},
	}})
	for i := range d.machines {
		d.restart(i, 0)
	}
	for len(d.crashAfterMs) < crashDeadly {
		d.crashAfterMs[fmt.Sprintf("%016x", d.random.IntN(crashJobs))] = 1 + d.random.Int64N(8000)
	}
	for i := range crashJobs {
		d.call("submit", &batch.Call{Submit: &batch.Submission{Host: "h", Path: fmt.Sprintf("/q/%016x", i), Job: batch.Job{
			Text: "text", Steps: []batch.Step{{Count: 4, Need: batch.Resources{CPUMilli: 1000, MemoryMB: 1000}, EstimateMs: 1500}},
		}}})
	}
	return d
}

// over reports whether all jobs have ended.
func (d *crashDay) over() bool {
	for i := range crashJobs {
		if !d.log.batch.Job(fmt.Sprintf("%016x", i)).Phase.IsTerminal() {
			return false
		}
	}
	return true
}

// restart gives a machine a new worker after a while; the first machine of every other day crashes every few seconds.
func (d *crashDay) restart(i int, afterMs int64) {
	d.workers++
	m := &d.machines[i]
	*m = crashMachine{worker: fmt.Sprintf("w%d", d.workers), incarnation: m.incarnation + 1, upMs: d.uptime.ms + afterMs}
	if d.flapping && i == 0 {
		m.failMs = m.upMs + 500 + d.random.Int64N(6000)
	}
}

// step advances the time by a tick, on which some machines crash and the others send their heartbeats in turn.
func (d *crashDay) step() {
	d.advance(sched.TickMs)
	d.replies, d.orders = nil, nil
	for i := range d.machines {
		m := &d.machines[i]
		switch {
		case d.uptime.ms < m.upMs:
		case d.crashes(m):
			d.noteCrash(m)
			d.restart(i, 500+d.random.Int64N(3000))
		case (d.uptime.ms+int64(i)*sched.TickMs)%crashBeatMs == 0:
			d.beat(i)
		}
	}
}

// crashes reports whether a machine crashes now.
func (d *crashDay) crashes(m *crashMachine) bool {
	for _, r := range m.running {
		if r.crashMs > 0 && d.uptime.ms >= r.crashMs {
			return true
		}
	}
	return m.failMs > 0 && d.uptime.ms >= m.failMs
}

// noteCrash counts the starting tasks of a machine that crashes.
func (d *crashDay) noteCrash(m *crashMachine) {
	for _, r := range m.running {
		if r.listedMs-r.startMs >= crashStartMs {
			continue
		}
		if d.atStart[r.Task.Job] == nil {
			d.atStart[r.Task.Job] = map[int]int{}
		}
		d.atStart[r.Task.Job][r.Task.Index]++
	}
}

// crashedAtStart reports whether enough workers have crashed under a starting task of a job to give it up.
func (d *crashDay) crashedAtStart(job string) bool {
	for _, count := range d.atStart[job] {
		if count >= crashesAtStart {
			return true
		}
	}
	return false
}

// beat sends a machine's heartbeat and starts what it is told.
func (d *crashDay) beat(i int) {
	m := &d.machines[i]
	m.sequence++
	report := &batch.Heartbeat{
		Worker: m.worker, Incarnation: m.incarnation, Sequence: m.sequence, Pool: "p", Address: fmt.Sprintf("h%d", i),
		Capacity: batch.Resources{CPUMilli: 6000, MemoryMB: 64000}, Labels: []string{"a", fmt.Sprintf("r%d", i%4)},
	}
	var left []crashRun
	for _, r := range m.running {
		if d.uptime.ms >= r.endMs {
			m.ended++
			report.Ended = append(report.Ended, batch.EndReport{Number: m.ended, Task: r.Task, Attempt: r.Attempt, Kind: batch.EndDone})
			continue
		}
		r.listedMs = d.uptime.ms
		r.Percent = int(100 * (d.uptime.ms - r.startMs) / (r.endMs - r.startMs))
		report.Running, left = append(report.Running, r.Running), append(left, r)
	}
	m.running = left
	d.scheduler.Call(&batch.Call{Heartbeat: report}, d.uptime.ms, func(r batch.Reply) {
		for _, s := range r.Orders.Start {
			m.running = append(m.running, d.begin(s))
		}
	})
	d.log.commitAll()
}

// begin starts an attempt; a deadly one never ends by itself.
func (d *crashDay) begin(s batch.StartOrder) crashRun {
	now := d.uptime.ms
	r := crashRun{Running: batch.Running{Task: s.Task, Attempt: s.Attempt}, startMs: now, endMs: now + 200 + d.random.Int64N(3000)}
	if afterMs, deadly := d.crashAfterMs[s.Task.Job]; deadly && s.Task.Index == 0 {
		d.starts[s.Task.Job]++
		r.crashMs, r.endMs = now+afterMs, now+2*afterMs+sched.TickMs
	}
	return r
}
