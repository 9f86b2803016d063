package waves

import (
	"fmt"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

const (
	// startQuarters is the age of a VM's last maintenance that starts the regular wave, in quarters of the cycle.
	startQuarters = 3
	// cutoffQuarters is the age of the last maintenance from which the wave includes a VM, in quarters of the cycle.
	cutoffQuarters = 2
	quarters       = 4
	// jointLossWindow is the largest time between the detected failures of VMs that were lost with their rack.
	jointLossWindow = 5 * time.Minute
)

// Plan returns the next maintenance actions: it ends probations, and starts or advances a wave.
func Plan(in Input) []record.Action {
	v := newView(in)
	actions := v.endProbations()
	w, ok := v.current()
	if !ok {
		return append(actions, v.startWave()...)
	}
	return append(actions, v.stepWave(w)...)
}

// Current returns the open wave to advance: the urgent one if there is one. It returns false if no wave is open.
func Current(waves []fleet.Wave) (fleet.Wave, bool) {
	var found fleet.Wave
	ok := false
	for _, w := range waves {
		if w.IsOpen() && (!ok || w.Urgent) {
			found, ok = w, true
		}
	}
	return found, ok
}

func (v *view) current() (fleet.Wave, bool) {
	return Current(v.Waves)
}

// endProbations ends the probation of VMs that have run long enough. The reason keeps what the VM came back from, so that an
// operator still sees it after the probation.
func (v *view) endProbations() []record.Action {
	var actions []record.Action
	for _, m := range v.VMs {
		ran := v.Now.Sub(m.PhaseSince)
		if m.Phase != fleet.PhaseProbation || ran < v.Policy.Probation {
			continue
		}
		actions = append(actions, vmAction(m, record.VMActivate, m.Work, record.Reason{
			Inputs: fmt.Sprintf("%s, then ran for %s", m.Cause, ran), Rule: fmt.Sprintf("a VM counts as capacity after %s of probation", v.Policy.Probation),
		}))
	}
	return actions
}

// startWave starts the regular wave once the oldest maintenance is three quarters of the cycle ago.
func (v *view) startWave() []record.Action {
	oldest := v.Now
	for _, m := range v.VMs {
		if m.Maintained.Before(oldest) && m.Phase == fleet.PhaseActive {
			oldest = m.Maintained
		}
	}
	if v.Now.Sub(oldest) < v.Policy.Cycle*startQuarters/quarters {
		return nil
	}
	reason := record.Reason{
		Inputs: fmt.Sprintf("oldest maintenance %s ago, cycle %s", v.Now.Sub(oldest), v.Policy.Cycle),
		Rule:   "the regular wave starts at three quarters of the cycle",
		Change: "a shorter or longer maintenance.cycle_days",
	}
	return []record.Action{{Reason: reason, Command: record.Command{Wave: &record.WaveChange{
		Step: record.WaveStart, Wave: "cycle-" + v.Now.UTC().Format("20060102-150405"),
		Cutoff: v.Now.Add(-v.Policy.Cycle * cutoffQuarters / quarters), Cause: reason.String(),
	}}}}
}

// stepWave returns the next actions of a wave.
func (v *view) stepWave(w fleet.Wave) []record.Action {
	out, due := v.countProgress(w)
	switch {
	case w.Phase == fleet.WaveHeld || w.Phase == fleet.WaveStopped:
		return v.cancelDrains(w.Name, record.Reason{Inputs: w.Cause, Rule: "a wave that is " + w.Phase.String() + " drains no VM"})
	case out+due == 0:
		return []record.Action{waveAction(w, record.WaveFinish, record.Reason{
			Inputs: fmt.Sprintf("%d VMs returned", w.Returned), Rule: "every VM in the wave's scope was maintained",
		})}
	}
	if reason, blamed := v.checkFailures(w, out); blamed {
		return append(v.cancelDrains(w.Name, reason), waveAction(w, record.WaveStop, reason))
	}
	actions, blocked := v.drainAllowed(w, out)
	switch {
	case len(actions) > 0 && w.Phase == fleet.WaveHalted:
		actions = append(actions, waveAction(w, record.WaveContinue, record.Reason{Inputs: blocked.Inputs, Rule: "budgets and capacity allow the next VM"}))
	case len(actions) == 0 && out == 0 && w.Phase == fleet.WaveRunning:
		actions = append(actions, waveAction(w, record.WaveHalt, blocked))
	}
	return actions
}

// countProgress counts a wave's VMs that are out and those that are still due, and sets the due counts of the pools.
func (v *view) countProgress(w fleet.Wave) (out, due int) {
	for _, m := range v.VMs {
		switch {
		case m.Phase == fleet.PhaseFailed:
			// A repair may take days; the wave doesn't wait for it.
		case isOut(m, w.Name):
			out++
		case w.IsDue(m):
			due++
			v.pools[m.Pool].due++
		}
	}
	return out, due
}

// checkFailures reports whether a wave's VMs fail more often than others do; one failure is never enough.
func (v *view) checkFailures(w fleet.Wave, out int) (record.Reason, bool) {
	failed, taken, others, othersFailed := 0, 0, 0, 0
	racks := v.vmsByRack()
	for _, m := range v.VMs {
		lost := m.Failed.After(w.FailuresSince)
		switch {
		case !takenBy(w, m) && lost:
			othersFailed++
			others++
		case !takenBy(w, m):
			others++
		case lost && !lostWithRack(w, m, racks[m.Domain]):
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

// takenBy reports whether a wave has a VM out or has maintained it.
func takenBy(w fleet.Wave, m fleet.VM) bool {
	return m.Work == w.Name || !m.Maintained.Before(w.Started)
}

func (v *view) vmsByRack() map[fleet.Domain][]fleet.VM {
	racks := map[fleet.Domain][]fleet.VM{}
	for _, m := range v.VMs {
		racks[m.Domain] = append(racks[m.Domain], m)
	}
	return racks
}

// lostWithRack reports whether a VM was lost with its rack: at about the same time, a VM there that the wave had not taken
// failed too, or all VMs of the rack did.
func lostWithRack(w fleet.Wave, lost fleet.VM, rack []fleet.VM) bool {
	together, others := 0, false
	for _, m := range rack {
		if near := m.Failed.Sub(lost.Failed).Abs() <= jointLossWindow; near && !m.Failed.IsZero() {
			together++
			others = others || !takenBy(w, m)
		}
	}
	return others || (together == len(rack) && together > 1)
}

// cancelDrains cancels the drains of the given work. VMs that are already stopped return to service on their own.
func (v *view) cancelDrains(work string, reason record.Reason) []record.Action {
	var actions []record.Action
	for _, m := range v.VMs {
		if m.Work == work && m.Phase == fleet.PhaseDraining {
			actions = append(actions, vmAction(m, record.VMActivate, work, reason))
		}
	}
	return actions
}

// CancelOrphanedDrains cancels the drains of waves that have ended, so that no VM waits for a wave that will not
// continue.
func CancelOrphanedDrains(in Input) []record.Action {
	v := newView(in)
	var actions []record.Action
	for _, w := range in.Waves {
		if !w.IsOpen() {
			actions = append(actions, v.cancelDrains(w.Name, record.Reason{Inputs: w.Cause, Rule: "the wave is " + w.Phase.String()})...)
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

// MinDuration returns a lower bound on the duration of a wave's roll-out, given the wave limit and the pools' capacity.
func MinDuration(in Input, w fleet.Wave) time.Duration {
	v := newView(in)
	total := 0
	var longest time.Duration
	for _, p := range v.pools {
		due := 0
		for _, m := range p.vms {
			if w.IsDue(m) {
				due++
			}
		}
		total += due
		atOnce := max(1, min(p.active+v.activeSpares-p.Need, v.Policy.Limit))
		longest = max(longest, rounds(due, atOnce)*v.Policy.Outage)
	}
	return max(longest, rounds(total, v.Policy.Limit)*v.Policy.Outage)
}

func rounds(count, atOnce int) time.Duration {
	return time.Duration((count + atOnce - 1) / atOnce)
}
