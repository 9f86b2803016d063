package lead

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// minDrainTime is the shortest time from a drain to a stop. The lease keeper reads the state at intervals: if a drain
// is cancelled and repeated between two reads, the keeper's answer may still be about the first drain.
const minDrainTime = time.Second

// reconcileVMs takes each VM one step towards the state; the next step retries what fails.
func (l *Leader) reconcileVMs(ctx context.Context, in Input) error {
	l.mostListed = platformListsMost(in)
	hasJob := map[string]bool{}
	for _, j := range in.Jobs {
		hasJob[j.VM] = true
	}
	for _, v := range in.VMs {
		if err := l.reconcileVM(ctx, in, v, hasJob[v.Name]); err != nil {
			return errors.Wrapf(err, "VM %q", v.Name)
		}
	}
	return nil
}

// platformListsMost reports whether the platform lists more than half of the VMs. If not, a VM that is missing from the
// list doesn't count as lost.
func platformListsMost(in Input) bool {
	listed := 0
	for _, v := range in.VMs {
		if _, ok := in.PlatformVMs[v.Name]; ok {
			listed++
		}
	}
	return 2*listed > len(in.VMs)
}

func (l *Leader) reconcileVM(ctx context.Context, in Input, v fleet.VM, hasJob bool) error {
	vm, known := in.PlatformVMs[v.Name]
	if done, err := l.reconcileHealth(ctx, v, vm, known); done || err != nil {
		return err
	}
	switch v.Phase {
	case fleet.PhaseDraining:
		return l.reconcileDraining(ctx, in.Now, v, hasJob)
	case fleet.PhaseStopped:
		return l.reconcileStopped(ctx, v)
	case fleet.PhaseActive, fleet.PhaseProbation:
		if verb, ok := missingOperation(v, vm); ok {
			_, err := l.ensureOperation(ctx, v, verb)
			return err
		}
	default:
	}
	return nil
}

// missingOperation returns the operation that brings a running VM in line with the state, if one is needed: a join
// that tells the VM its new epoch, without which its endpoints stay fenced off, or an activation that ends a drain.
func missingOperation(v fleet.VM, m fleet.PlatformVM) (fleet.Verb, bool) {
	switch {
	case max(m.Epoch, 1) < v.Epoch:
		return fleet.VerbJoin, true
	case m.Draining:
		return fleet.VerbActivate, true
	default:
		return 0, false
	}
}

// reconcileHealth records the loss of a VM, or the return of a lost one, once healthSteps consecutive steps have
// observed it. It returns true if the VM needs no further work in this step.
func (l *Leader) reconcileHealth(ctx context.Context, v fleet.VM, m fleet.PlatformVM, known bool) (bool, error) {
	up := known && m.Up
	lost := !up && (known || l.mostListed) && v.Phase != fleet.PhaseFailed && v.Phase != fleet.PhaseStopped
	returned := up && v.Phase == fleet.PhaseFailed
	if !lost && !returned {
		delete(l.observedSteps, v.Name)
		return false, nil
	}
	if l.observedSteps[v.Name]++; l.observedSteps[v.Name] < healthSteps {
		return lost, nil
	}
	delete(l.observedSteps, v.Name)
	if returned {
		return true, l.submitVMChange(ctx, v, record.VMReturn, "the platform runs the VM again after its loss")
	}
	return true, l.submitVMChange(ctx, v, record.VMFail, "the platform doesn't run the VM any more")
}

// reconcileDraining records that the VM may stop once every entry has drained it and no job is placed on it.
func (l *Leader) reconcileDraining(ctx context.Context, now time.Time, v fleet.VM, hasJob bool) error {
	state, err := l.ensureOperation(ctx, v, fleet.VerbDrain)
	if err != nil || state != fleet.OperationDone {
		return err
	}
	if hasJob || now.Sub(v.PhaseSince) < minDrainTime || !l.options.Entries.Drained(v.Name, v.Epoch) {
		return nil
	}
	return l.submitVMChange(ctx, v, record.VMStop, "every entry has acknowledged the drain and has no request in progress there")
}

func (l *Leader) reconcileStopped(ctx context.Context, v fleet.VM) error {
	switch v.Target {
	case "":
		if v.Work == fleet.WorkOperatorDrain {
			return nil
		}
		return l.changeAfter(ctx, v, fleet.VerbReboot, record.VMReturn, "rebooted for "+v.Work)
	case v.Pool:
		return l.changeAfter(ctx, v, fleet.VerbJoin, record.VMJoin, "joined pool "+v.Pool)
	default:
		return l.changeAfter(ctx, v, fleet.VerbRelease, record.VMMove, "released by pool "+v.Pool)
	}
}

// changeAfter submits a change once the operation is done; if the operation failed, it records the loss of the VM.
func (l *Leader) changeAfter(ctx context.Context, v fleet.VM, verb fleet.Verb, step record.VMStep, cause string) error {
	state, err := l.ensureOperation(ctx, v, verb)
	switch {
	case err != nil || state == fleet.OperationRunning:
		return err
	case state == fleet.OperationDone:
		return l.submitVMChange(ctx, v, step, cause)
	default:
		return l.submitVMChange(ctx, v, record.VMFail, fmt.Sprintf("the platform's %s ended as %s", verb, state))
	}
}

// ensureOperation starts an operation on a VM, or returns the state of one that was started before. The operation's
// identity is derived from the replicated state alone.
func (l *Leader) ensureOperation(ctx context.Context, v fleet.VM, verb fleet.Verb) (fleet.OperationState, error) {
	return l.options.Platform.Do(ctx, fleet.Operation{
		ID:   fmt.Sprintf("%s/%d/%d/%s", v.Name, v.Epoch, v.Version, verb),
		Verb: verb, VM: v.Name, Epoch: v.Epoch, Version: v.Version, Pool: v.Pool,
	})
}

func (l *Leader) submitVMChange(ctx context.Context, v fleet.VM, step record.VMStep, cause string) error {
	return l.submit(ctx, record.Action{
		Reason: record.Reason{Rule: cause, Inputs: "work " + v.Work},
		Command: record.Command{VM: &record.VMChange{
			Step: step, VM: v.Name, Epoch: v.Epoch, Version: v.Version, Pool: v.Target, Work: v.Work, Cause: cause,
		}},
	})
}

// submit proposes an action's command. A command that is refused because the state has changed is dropped: the next
// step plans on the new state.
func (l *Leader) submit(ctx context.Context, a record.Action) error {
	a.Command.Time = l.options.Clock.Now()
	result, err := l.options.Node.Submit(ctx, a.Command)
	if err != nil {
		return errors.Wrap(err, "submit")
	}
	l.options.Logger.Info("decided", zap.String("change", describeCommand(a.Command)), zap.Stringer("reason", a.Reason), zap.Stringer("code", result.Code))
	return nil
}

func describeCommand(c record.Command) string {
	switch {
	case c.VM != nil:
		return fmt.Sprintf("vm %s %s", c.VM.Step, c.VM.VM)
	case c.Wave != nil:
		return fmt.Sprintf("wave %s %s", c.Wave.Step, c.Wave.Wave)
	case c.Job != nil:
		return fmt.Sprintf("job %s %v", c.Job.Step, c.Job.Names)
	case c.Budget != nil:
		return "budget " + c.Budget.Service
	case c.Demand != nil:
		return "demand " + c.Demand.Demand.Pool
	default:
		return "other"
	}
}

func sortedNames(vms map[string]fleet.PlatformVM) []string {
	return slices.Sorted(maps.Keys(vms))
}
