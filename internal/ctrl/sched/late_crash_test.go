package sched_test

import (
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
	// crashDayMs is how long a simulated day may last.
	crashDayMs = 250_000
)

// crashDay is a day on which some jobs are deadly and end soon otherwise.
type crashDay struct {
	*crashFleet
	// crashAfterMs holds how long after its start the first task of each deadly job crashes its worker.
	crashAfterMs map[string]int64
	starts       map[string]int
}

// TestLateCrashesConvictNoSoundTask checks that deadly tasks are given up in time whenever they crash, and no others.
func TestLateCrashesConvictNoSoundTask(t *testing.T) {
	for seed := range uint64(crashSeeds) {
		d := newCrashDay(seed)
		for d.uptime.ms < crashDayMs && !d.over() {
			d.step()
		}
		for i := range crashJobs {
			id := crashJobID(i)
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
		crashFleet:   newCrashFleet(rand.New(rand.NewPCG(seed, 0)), crashMachines, batch.Resources{CPUMilli: 6000, MemoryMB: 64000}),
		crashAfterMs: map[string]int64{}, starts: map[string]int{},
	}
	d.load, d.flapping = d, seed%2 == 1
	for i := range d.machines {
		d.restart(i, 0)
	}
	for len(d.crashAfterMs) < crashDeadly {
		d.crashAfterMs[crashJobID(d.random.IntN(crashJobs))] = 1 + d.random.Int64N(8000)
	}
	for i := range crashJobs {
		d.submit(i, batch.Step{Count: 4, Need: batch.Resources{CPUMilli: 1000, MemoryMB: 1000}, EstimateMs: 1500})
	}
	return d
}

// over reports whether all jobs have ended.
func (d *crashDay) over() bool {
	for i := range crashJobs {
		if !d.log.batch.Job(crashJobID(i)).Phase.IsTerminal() {
			return false
		}
	}
	return true
}

// step plays a tick.
func (d *crashDay) step() {
	d.advance(sched.TickMs)
	d.replies, d.orders = nil, nil
	d.play()
}

// begin starts an attempt; a deadly one never ends by itself.
func (d *crashDay) begin(_ int, s batch.StartOrder) crashRun {
	now := d.uptime.ms
	r := crashRun{
		Running: batch.Running{Task: s.Task, Attempt: s.Attempt}, kind: batch.EndDone, startMs: now, endMs: now + 200 + d.random.Int64N(3000),
	}
	if afterMs, deadly := d.crashAfterMs[s.Task.Job]; deadly && s.Task.Index == 0 {
		d.starts[s.Task.Job]++
		r.crashMs, r.endMs = now+afterMs, now+2*afterMs+sched.TickMs
	}
	return r
}
