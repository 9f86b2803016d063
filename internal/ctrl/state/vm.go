package state

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// vmStep is one transition of a VM: the phases that it may start from and its effect.
type vmStep struct {
	from  []fleet.Phase
	apply func(*fleet.VM, record.VMChange, time.Time)
}

var vmSteps = map[record.VMStep]vmStep{
	record.VMDrain:    {from: []fleet.Phase{fleet.PhaseActive, fleet.PhaseProbation}, apply: drainVM},
	record.VMStop:     {from: []fleet.Phase{fleet.PhaseDraining}, apply: stopVM},
	record.VMMove:     {from: []fleet.Phase{fleet.PhaseStopped}, apply: moveVM},
	record.VMJoin:     {from: []fleet.Phase{fleet.PhaseStopped}, apply: joinVM},
	record.VMReturn:   {from: []fleet.Phase{fleet.PhaseStopped, fleet.PhaseFailed}, apply: returnVM},
	record.VMActivate: {from: []fleet.Phase{fleet.PhaseProbation, fleet.PhaseDraining}, apply: activateVM},
	record.VMFail: {
		from:  []fleet.Phase{fleet.PhaseActive, fleet.PhaseDraining, fleet.PhaseStopped, fleet.PhaseProbation},
		apply: failVM,
	},
}

// applyVM applies a change that builds on the VM's current epoch, version and phase; any other change is a conflict.
func (m *Machine) applyVM(c record.VMChange, now time.Time) record.Result {
	v, known := m.state.VMs[c.VM]
	switch {
	case c.VM == "":
		return record.Result{Code: record.CodeInvalid, Message: "the change names no VM"}
	case !known && c.Step == record.VMJoin && c.Epoch == 0:
		return m.addVM(c, now)
	case !known:
		return record.Result{Code: record.CodeNotFound, Message: fmt.Sprintf("no VM is named %q", c.VM)}
	}
	if refusal := checkVMChange(v, c); refusal != nil {
		return *refusal
	}
	before := v
	vmSteps[c.Step].apply(&v, c, now)
	v.Version++
	v.Cause = c.Cause
	if v.Phase != before.Phase {
		v.PhaseSince = now
	}
	checkVMInvariants(before, v)
	m.updateWaveCounts(before, v)
	m.state.VMs[c.VM] = v
	return record.Result{Code: record.CodeOK, Epoch: v.Epoch}
}

func (m *Machine) addVM(c record.VMChange, now time.Time) record.Result {
	if c.Pool == "" {
		return record.Result{Code: record.CodeInvalid, Message: fmt.Sprintf("VM %q needs a pool to join", c.VM)}
	}
	v := fleet.VM{
		Name: c.VM, Pool: c.Pool, Epoch: 1, Version: 1, Phase: fleet.PhaseActive, PhaseSince: now,
		Maintained: now, Domain: c.Domain, Size: c.Size, Work: c.Work, Cause: c.Cause,
	}
	checkVMInvariants(fleet.VM{}, v)
	m.state.VMs[c.VM] = v
	return record.Result{Code: record.CodeOK, Epoch: v.Epoch}
}

// checkVMChange returns the refusal of a change that a known VM doesn't allow, nil if the change is allowed.
func checkVMChange(v fleet.VM, c record.VMChange) *record.Result {
	conflict := func(format string, args ...any) *record.Result {
		return &record.Result{Code: record.CodeConflict, Message: fmt.Sprintf(format, args...), Epoch: v.Epoch}
	}
	step, ok := vmSteps[c.Step]
	switch {
	case !ok:
		return &record.Result{Code: record.CodeInvalid, Message: fmt.Sprintf("unknown step %d", int(c.Step)), Epoch: v.Epoch}
	case c.Epoch != v.Epoch:
		return conflict("the change builds on epoch %d of VM %q, but epoch %d is in force", c.Epoch, v.Name, v.Epoch)
	case c.Version != 0 && c.Version != v.Version:
		return conflict("the change builds on version %d of VM %q, but version %d is in force", c.Version, v.Name, v.Version)
	case !slices.Contains(step.from, v.Phase):
		return conflict("VM %q is %s; %s needs one of %v", v.Name, v.Phase, c.Step, step.from)
	case c.Step == record.VMMove && (c.Pool == "" || c.Pool != v.Target || c.Pool == v.Pool):
		return conflict("VM %q was drained for pool %q, not to move to %q", v.Name, v.Target, c.Pool)
	case c.Step == record.VMJoin && (c.Pool != v.Pool || v.Target != v.Pool):
		return conflict("VM %q has not moved to pool %q", v.Name, c.Pool)
	case c.Step == record.VMReturn && v.Phase == fleet.PhaseStopped && v.Target != "":
		return conflict("VM %q is on its way to pool %q", v.Name, v.Target)
	}
	return nil
}

func drainVM(v *fleet.VM, c record.VMChange, _ time.Time) {
	v.Phase, v.Work, v.Target = fleet.PhaseDraining, c.Work, ""
	if c.Pool != v.Pool {
		v.Target = c.Pool
	}
}

// stopVM raises the epoch to fence off what ran on the VM: its endpoints may still be announced for a while after they
// are gone.
func stopVM(v *fleet.VM, _ record.VMChange, _ time.Time) {
	v.Phase = fleet.PhaseStopped
	v.Epoch++
}

// moveVM raises the epoch to fence off the old pool: what carries the old epoch is refused from now on.
func moveVM(v *fleet.VM, c record.VMChange, _ time.Time) {
	v.Pool = c.Pool
	v.Epoch++
}

// joinVM ends a move. The VM was not repaired, so it counts as capacity at once, without a probation.
func joinVM(v *fleet.VM, _ record.VMChange, _ time.Time) {
	v.Phase, v.Target, v.Work = fleet.PhaseActive, "", ""
}

// returnVM puts a VM on probation. A lost VM gets a new epoch, since its old work may still run somewhere.
func returnVM(v *fleet.VM, _ record.VMChange, now time.Time) {
	if v.Phase == fleet.PhaseFailed {
		v.Epoch++
		v.Target = ""
	} else {
		v.Maintained = now
	}
	v.Phase = fleet.PhaseProbation
}

func activateVM(v *fleet.VM, _ record.VMChange, _ time.Time) {
	v.Phase, v.Target, v.Work = fleet.PhaseActive, "", ""
}

// failVM marks a VM as failed. It keeps Work, so that the failure counts against the wave that the VM was in.
func failVM(v *fleet.VM, _ record.VMChange, now time.Time) {
	v.Phase, v.Failed = fleet.PhaseFailed, now
}

// checkVMInvariants checks that a VM belongs to exactly one pool, changes the pool only while it is stopped and with a
// new epoch, and stops only after a drain.
func checkVMInvariants(before, after fleet.VM) {
	fields := []zap.Field{zap.Any("before", before), zap.Any("after", after)}
	check.That(after.Pool != "" && after.Name != "", "vm_has_one_pool", fields...)
	check.That(after.Version == before.Version+1 && after.Epoch >= before.Epoch, "vm_versions_rise", fields...)
	if before.Name == "" {
		return
	}
	moved := after.Pool != before.Pool
	check.That(!moved || (after.Epoch == before.Epoch+1 && before.Phase == fleet.PhaseStopped), "vm_moves_stopped_and_fenced", fields...)
	stopped := after.Phase == fleet.PhaseStopped && before.Phase != fleet.PhaseStopped
	check.That(!stopped || before.Phase == fleet.PhaseDraining, "vm_stops_only_after_drain", fields...)
}
