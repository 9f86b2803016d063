package waves

import (
	"fmt"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

const (
	// startShare is the share of the cycle, in quarters, after which a VM's age starts the regular wave.
	startShare = 3
	// coverShare is the share of the cycle, in quarters, after which a VM is taken along by a wave.
	coverShare = 2
	quarters   = 4
	// togetherTime is how far apart the losses of one rack's VMs are seen.
	togetherTime = 5 * time.Minute
)

// Plan returns the next steps of maintenance.
func Plan(in Input) []record.Action {
	v := newView(in)
	actions := v.probations()
	w, ok := v.current()
	if !ok {
		return append(actions, v.start()...)
	}
	return append(actions, v.wave(w)...)
}

// Current returns the wave that goes first: the urgent one, where there is one.
func Current(waves []fleet.Wave) (fleet.Wave, bool) {
	var found fleet.Wave
	ok := false
	for _, w := range waves {
		if w.Open() && (!ok || w.Urgent) {
			found, ok = w, true
		}
	}
	return found, ok
}

func (v *view) current() (fleet.Wave, bool) {
	return Current(v.Waves)
}

// probations ends the probation of VMs that have run long enough.
func (v *view) probations() []record.Action {
	var actions []record.Action
	for _, m := range v.VMs {
		ran := v.Now.Sub(m.PhaseSince)
		if m.Phase != fleet.PhaseProbation || ran < v.Policy.Probation {
			continue
		}
		actions = append(actions, vmAction(m, record.VMActivate, m.Work, record.Reason{
			Inputs: fmt.Sprintf("ran for %s", ran), Rule: fmt.Sprintf("a VM counts as capacity after %s of probation", v.Policy.Probation),
		}))
	}
	return actions
}

// start begins the regular wave once the oldest maintenance is three quarters of the cycle old.
func (v *view) start() []record.Action {
	oldest := v.Now
	for _, m := range v.VMs {
		if m.Maintained.Before(oldest) && m.Phase == fleet.PhaseActive {
			oldest = m.Maintained
		}
	}
	if v.Now.Sub(oldest) < v.Policy.Cycle*startShare/quarters {
		return nil
	}
	reason := record.Reason{
		Inputs: fmt.Sprintf("oldest maintenance %s ago, cycle %s", v.Now.Sub(oldest), v.Policy.Cycle),
		Rule:   "the regular wave starts at three quarters of the cycle",
		Change: "a shorter or longer maintenance.cycle_days",
	}
	return []record.Action{{Reason: reason, Command: record.Command{Wave: &record.WaveChange{
		Step: record.WaveStart, Wave: "cycle-" + v.Now.UTC().Format("20060102-150405"),
		Cutoff: v.Now.Add(-v.Policy.Cycle * coverShare / quarters), Cause: reason.String(),
	}}}}
}

// wave takes the wave's next step.
func (v *view) wave(w fleet.Wave) []record.Action {
	out, due := v.progress(w)
	switch {
	case w.Phase == fleet.WaveHeld || w.Phase == fleet.WaveStopped:
		return v.putBack(w.Name, record.Reason{Inputs: w.Cause, Rule: "a wave that is " + w.Phase.String() + " drains no VM"})
	case out+due == 0:
		return []record.Action{waveAction(w, record.WaveFinish, record.Reason{
			Inputs: fmt.Sprintf("%d VMs returned", w.Returned), Rule: "every VM in the wave's scope was maintained",
		})}
	}
	if reason, blamed := v.blame(w, out); blamed {
		return append(v.putBack(w.Name, reason), waveAction(w, record.WaveStop, reason))
	}
	actions, blocked := v.take(w, out)
	switch {
	case len(actions) > 0 && w.Phase == fleet.WaveHalted:
		actions = append(actions, waveAction(w, record.WaveContinue, record.Reason{Inputs: blocked.Inputs, Rule: "budgets and capacity allow the next VM"}))
	case len(actions) == 0 && out == 0 && w.Phase == fleet.WaveRunning:
		actions = append(actions, waveAction(w, record.WaveHalt, blocked))
	}
	return actions
}

// progress counts a wave's VMs that are out and that are still due.
func (v *view) progress(w fleet.Wave) (out, due int) {
	for _, m := range v.VMs {
		switch {
		case m.Phase == fleet.PhaseFailed:
			// A repair may take days; the wave doesn't wait for it.
		case outOf(m, w.Name):
			out++
		case w.Due(m):
			due++
			v.pools[m.Pool].due++
		}
	}
	return out, due
}

// blame says whether a wave's VMs fail more than others do; one failure is never enough.
func (v *view) blame(w fleet.Wave, out int) (record.Reason, bool) {
	failed, taken, others, othersFailed := 0, 0, 0, 0
	racks := v.racks()
	for _, m := range v.VMs {
		lost := m.Failed.After(w.Judged)
		switch {
		case !takenBy(w, m) && lost:
			othersFailed++
			others++
		case !takenBy(w, m):
			others++
		case lost && !explained(w, m, racks[m.Domain]):
			failed++
			taken++
		default:
			taken++
		}
	}
	if failed < 2 || failed*others <= 2*othersFailed*taken {
		return record.Reason{}, false
	}
	return record.Reason{
		Inputs: fmt.Sprintf("%d of the %d VMs taken failed, %d of %d others, %d are out", failed, taken, othersFailed, others, out),
		Rule:   "a wave whose VMs fail more than twice as often as others stops itself",
		Change: "an operator resumes the wave",
	}, true
}

// takenBy says whether a wave has a VM out or has maintained it.
func takenBy(w fleet.Wave, m fleet.VM) bool {
	return m.Work == w.Name || !m.Maintained.Before(w.Started)
}

// racks sorts the VMs by their rack.
func (v *view) racks() map[fleet.Domain][]fleet.VM {
	racks := map[fleet.Domain][]fleet.VM{}
	for _, m := range v.VMs {
		racks[m.Domain] = append(racks[m.Domain], m)
	}
	return racks
}

// explained says whether a VM was lost with its rack: VMs there that the wave didn't take were lost with it, or all were.
func explained(w fleet.Wave, lost fleet.VM, rack []fleet.VM) bool {
	together, others := 0, false
	for _, m := range rack {
		if near := m.Failed.Sub(lost.Failed).Abs() <= togetherTime; near && !m.Failed.IsZero() {
			together++
			others = others || !takenBy(w, m)
		}
	}
	return others || (together == len(rack) && together > 1)
}

// putBack cancels the drains of a piece of work; what was stopped already returns by itself.
func (v *view) putBack(work string, reason record.Reason) []record.Action {
	var actions []record.Action
	for _, m := range v.VMs {
		if m.Work == work && m.Phase == fleet.PhaseDraining {
			actions = append(actions, vmAction(m, record.VMActivate, work, reason))
		}
	}
	return actions
}

// Orphans cancels the drains of waves that are over; a VM never waits for a wave that will not go on.
func Orphans(in Input) []record.Action {
	v := newView(in)
	var actions []record.Action
	for _, w := range in.Waves {
		if !w.Open() {
			actions = append(actions, v.putBack(w.Name, record.Reason{Inputs: w.Cause, Rule: "the wave is " + w.Phase.String()})...)
		}
	}
	return actions
}

func vmAction(m fleet.VM, step record.VMStep, work string, reason record.Reason) record.Action {
	return record.Action{Reason: reason, Command: record.Command{VM: &record.VMChange{
		Step: step, VM: m.Name, Epoch: m.Epoch, Version: m.Version, Work: work, Cause: reason.String(),
	}}}
}

func waveAction(w fleet.Wave, step record.WaveStep, reason record.Reason) record.Action {
	return record.Action{Reason: reason, Command: record.Command{Wave: &record.WaveChange{
		Step: step, Wave: w.Name, Cause: reason.String(),
	}}}
}

// Bound returns a time that no roll-out within the limit and the capacity can beat.
func Bound(in Input, w fleet.Wave) time.Duration {
	v := newView(in)
	total := 0
	var longest time.Duration
	for _, p := range v.pools {
		due := 0
		for _, m := range p.vms {
			if w.Due(m) {
				due++
			}
		}
		total += due
		atOnce := max(1, min(p.have+v.spare-p.Need, v.Policy.Limit))
		longest = max(longest, rounds(due, atOnce)*v.Policy.Outage)
	}
	return max(longest, rounds(total, v.Policy.Limit)*v.Policy.Outage)
}

func rounds(count, atOnce int) time.Duration {
	return time.Duration((count + atOnce - 1) / atOnce)
}
