package sched_test

import (
	"fmt"
	"slices"
	"testing"

	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

const (
	roomSeeds = 20
	// roomDayMs is how long a day may last, and roomCalmMs how long it is calm at its end.
	roomDayMs  = 150_000
	roomCalmMs = 8000
	// roomArrivalsMs is how long jobs arrive.
	roomArrivalsMs = 20_000
)

// roomOtherSeeds are those of more days on which a bound was broken, each in another way: too many workers kept for trials, all
// in quarantine, all on probation, both kept and on probation, a deadly task that was spared, and a trial that something else was
// started beside.
var roomOtherSeeds = []uint64{31, 34, 43, 51, 74, 143, 364}

// TestAcceptedTaskIsOfferedRoom plays drawn days and checks that lasting tasks are offered the room that there is, that only
// few workers are kept for tasks that run alone, and that deadly tasks are given up and no others.
func TestAcceptedTaskIsOfferedRoom(t *testing.T) {
	seeds := slices.Clone(roomOtherSeeds)
	for seed := range uint64(roomSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			d := newRoomDay(seed)
			for d.elapsedMs() < roomDayMs && !d.over() {
				d.step()
			}
			d.reportWatched(t)
			d.reportEnds(t)
		})
	}
}

// reportWatched reports the first break of each bound that was watched on the way, and how many there were.
func (d *roomDay) reportWatched(t *testing.T) {
	t.Helper()
	if breaks := d.watch.unoffered; len(breaks) > 0 {
		t.Errorf("%d tasks that last weren't offered the room that there was: %s", len(breaks), breaks[0])
	}
	if breaks := d.watch.overKept; len(breaks) > 0 {
		t.Errorf("too many workers were kept for trials %d times: %s", len(breaks), breaks[0])
	}
}

// reportEnds reports the jobs that came to a wrong end.
func (d *roomDay) reportEnds(t *testing.T) {
	t.Helper()
	for i := range d.jobs {
		j := &d.jobs[i]
		state := d.log.batch.Job(j.id)
		if state == nil || !j.accepted {
			continue
		}
		switch phase := state.Phase; {
		case j.crashAfterMs > 0 && j.lasts():
		case j.crashAfterMs > 0 && j.starts > crashMaxStarts:
			t.Errorf("deadly job %s is %s after %d starts of its task, which crashes after %d ms", j.id, phase, j.starts, j.crashAfterMs)
		case j.crashAfterMs > 0 && phase != batch.PhaseFailed:
			t.Errorf("deadly job %s is %s, its task crashes after %d ms", j.id, phase, j.crashAfterMs)
		case j.crashAfterMs > 0 || j.fails:
		case phase == batch.PhaseFailed && !d.mayFail(j):
			t.Errorf("sound job %s was given up", j.id)
		case phase != batch.PhaseFailed && phase != batch.PhaseCompleted && !j.lasts():
			t.Errorf("sound job %s is %s at the end", j.id, phase)
		}
	}
}

// mayFail reports whether a sound job may have been given up: two workers crashed under one of its tasks as that started, or
// as many attempts of one of them as may have failed.
func (d *roomDay) mayFail(j *roomJob) bool {
	for id, failures := range d.failures {
		if id.Job == j.id && failures >= crashMaxAttempts {
			return true
		}
	}
	return d.crashedAtStart(j.id)
}

// over reports whether all jobs that end have ended and the day has been calm since.
func (d *roomDay) over() bool {
	if d.elapsedMs() < roomArrivalsMs || d.uptime.ms-d.unrestMs < roomCalmMs {
		return false
	}
	for i := range d.jobs {
		state := d.log.batch.Job(d.jobs[i].id)
		if state != nil && !d.jobs[i].lasts() && !state.Phase.IsTerminal() {
			return false
		}
	}
	return true
}

func (d *roomDay) elapsedMs() int64 { return d.uptime.ms - d.beganMs }

// step plays a tick.
func (d *roomDay) step() {
	d.advance(sched.TickMs)
	d.replies = nil
	d.carryOutOrders()
	d.arrive()
	d.play()
	if d.elapsedMs()%crashBeatMs == 0 {
		d.watch.observe()
	}
}

// arrive submits the jobs that are due, and the wave.
func (d *roomDay) arrive() {
	for d.arrived < len(d.jobs) && d.jobs[d.arrived].sentMs <= d.elapsedMs() {
		j := &d.jobs[d.arrived]
		d.submit(d.arrived+1, j.steps...)
		j.accepted = d.log.batch.Job(j.id) != nil
		d.arrived++
	}
	if len(d.wave.VMs) > 0 && d.elapsedMs() == d.waveMs {
		d.call("wave", &batch.Call{StartWave: &d.wave})
	}
}

// carryOutOrders answers reads of the VM list and takes machines down for maintenance.
func (d *roomDay) carryOutOrders() {
	orders := d.orders
	d.orders = nil
	for _, o := range orders {
		r := sched.OrderResult{Code: sched.OrderDone}
		if o.Kind == sched.OrderList {
			r.VMs = d.listVMs()
		}
		for i := range d.machines {
			if o.Kind == sched.OrderMaintain && roomVM(i) == o.VM {
				d.maintain(i)
			}
		}
		o.Done(r)
		d.log.commitAll()
	}
}

func roomVM(machine int) string { return fmt.Sprintf("vm-%02d", machine) }

func (d *roomDay) listVMs() []sched.VM {
	var all []sched.VM
	for i := range d.machines {
		v := sched.VM{Name: roomVM(i), Pool: "p", State: sched.VMUp, Worker: d.machines[i].worker, Capacity: d.capacity, Labels: crashLabels(i)}
		if d.uptime.ms < d.machines[i].upMs {
			v.State, v.Worker = sched.VMDown, ""
			if d.maintained[i] {
				v.State = sched.VMMaintained
			}
		} else {
			d.maintained[i] = false
		}
		all = append(all, v)
	}
	return all
}

// maintain takes a machine down; the starts that end so don't count against their tasks.
func (d *roomDay) maintain(i int) {
	for _, r := range d.machines[i].running {
		if j := d.byID[r.Task.Job]; j.isDeadly(r.Task) {
			j.starts--
		}
	}
	d.unrestMs, d.maintained[i] = d.uptime.ms, true
	d.restart(i, maintenanceMs)
}

// begin starts an attempt; a deadly one never ends by itself.
func (d *roomDay) begin(machine int, s batch.StartOrder) crashRun {
	now, j := d.uptime.ms, d.byID[s.Task.Job]
	r := crashRun{
		Running: batch.Running{Task: s.Task, Attempt: s.Attempt}, kind: batch.EndDone, lasts: j.steps[s.Task.Step].LongRunning, startMs: now,
		endMs: now + 200 + d.random.Int64N(2*roomTaskMs),
	}
	switch failing := d.failing[machine]; {
	case j.isDeadly(s.Task):
		j.starts++
		r.crashMs, r.endMs = now+j.crashAfterMs, now+2*j.crashAfterMs+sched.TickMs
	case j.fails || d.elapsedMs() >= failing.fromMs && d.elapsedMs() < failing.toMs:
		r.kind, r.endMs = batch.EndFailed, now+sched.TickMs+d.random.Int64N(300)
	}
	return r
}
