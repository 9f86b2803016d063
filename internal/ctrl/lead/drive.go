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

// drainGrace is the least time from a drain to a stop: a drain that is cancelled and made again within one
// look of the keeper at the state is then not taken for the first one.
const drainGrace = time.Second

// drive takes each VM one step towards the state; what fails is tried again in the next step.
func (l *Leader) drive(ctx context.Context, s Situation) error {
	l.listed = mostListed(s)
	busy := map[string]bool{}
	for _, j := range s.Jobs {
		busy[j.VM] = true
	}
	for _, v := range s.VMs {
		if err := l.driveVM(ctx, s, v, busy[v.Name]); err != nil {
			return errors.Wrapf(err, "VM %q", v.Name)
		}
	}
	return nil
}

// mostListed says whether the platform tells of most VMs; where it doesn't, one that is missing says nothing.
func mostListed(s Situation) bool {
	listed := 0
	for _, v := range s.VMs {
		if _, ok := s.Machines[v.Name]; ok {
			listed++
		}
	}
	return 2*listed > len(s.VMs)
}

func (l *Leader) driveVM(ctx context.Context, s Situation, v fleet.VM, busy bool) error {
	machine, known := s.Machines[v.Name]
	if done, err := l.driveHealth(ctx, v, machine, known); done || err != nil {
		return err
	}
	switch v.Phase {
	case fleet.PhaseDraining:
		return l.driveDrain(ctx, s.Now, v, busy)
	case fleet.PhaseStopped:
		return l.driveStopped(ctx, v)
	case fleet.PhaseActive, fleet.PhaseProbation:
		if verb, ok := behind(v, machine); ok {
			_, err := l.operate(ctx, v, verb)
			return err
		}
	default:
	}
	return nil
}

// behind returns the operation that a running VM lacks: to be given its epoch, without which its endpoints
// are fenced off, or to end a drain.
func behind(v fleet.VM, m fleet.Machine) (fleet.Verb, bool) {
	switch {
	case max(m.Epoch, 1) < v.Epoch:
		return fleet.VerbJoin, true
	case m.Draining:
		return fleet.VerbActivate, true
	default:
		return 0, false
	}
}

// driveHealth records the loss of a VM, and the return of a lost one, once seen in steps that follow one another.
func (l *Leader) driveHealth(ctx context.Context, v fleet.VM, m fleet.Machine, known bool) (bool, error) {
	up := known && m.Up
	lost := !up && (known || l.listed) && v.Phase != fleet.PhaseFailed && v.Phase != fleet.PhaseStopped
	back := up && v.Phase == fleet.PhaseFailed
	if !lost && !back {
		delete(l.seen, v.Name)
		return false, nil
	}
	if l.seen[v.Name]++; l.seen[v.Name] < seenSteps {
		return lost, nil
	}
	delete(l.seen, v.Name)
	if back {
		return true, l.change(ctx, v, record.VMReturn, "the platform runs the VM again after its loss")
	}
	return true, l.change(ctx, v, record.VMFail, "the platform doesn't run the VM any more")
}

// driveDrain lets the VM be stopped once every entry is done with it and no job stands on it.
func (l *Leader) driveDrain(ctx context.Context, now time.Time, v fleet.VM, busy bool) error {
	state, err := l.operate(ctx, v, fleet.VerbDrain)
	if err != nil || state != fleet.OperationDone {
		return err
	}
	if busy || now.Sub(v.PhaseSince) < drainGrace || !l.options.Entries.Drained(v.Name, v.Epoch) {
		return nil
	}
	return l.change(ctx, v, record.VMStop, "every entry has acknowledged the drain and has no request in progress there")
}

func (l *Leader) driveStopped(ctx context.Context, v fleet.VM) error {
	switch v.Target {
	case "":
		if v.Work == fleet.WorkOperator {
			return nil
		}
		return l.after(ctx, v, fleet.VerbReboot, record.VMReturn, "rebooted for "+v.Work)
	case v.Pool:
		return l.after(ctx, v, fleet.VerbJoin, record.VMJoin, "joined pool "+v.Pool)
	default:
		return l.after(ctx, v, fleet.VerbRelease, record.VMMove, "released by pool "+v.Pool)
	}
}

// after makes a change once an operation has ended, and records a loss where it failed.
func (l *Leader) after(ctx context.Context, v fleet.VM, verb fleet.Verb, step record.VMStep, cause string) error {
	state, err := l.operate(ctx, v, verb)
	switch {
	case err != nil || state == fleet.OperationRunning:
		return err
	case state == fleet.OperationDone:
		return l.change(ctx, v, step, cause)
	default:
		return l.change(ctx, v, record.VMFail, fmt.Sprintf("the platform's %s ended as %s", verb, state))
	}
}

// operate starts an operation on a VM or finds out how far it is; its identity comes from the state alone.
func (l *Leader) operate(ctx context.Context, v fleet.VM, verb fleet.Verb) (fleet.OperationState, error) {
	return l.options.Platform.Do(ctx, fleet.Operation{
		ID:   fmt.Sprintf("%s/%d/%d/%s", v.Name, v.Epoch, v.Version, verb),
		Verb: verb, VM: v.Name, Epoch: v.Epoch, Version: v.Version, Pool: v.Pool,
	})
}

func (l *Leader) change(ctx context.Context, v fleet.VM, step record.VMStep, cause string) error {
	return l.submit(ctx, record.Action{
		Reason: record.Reason{Rule: cause, Inputs: "work " + v.Work},
		Command: record.Command{VM: &record.VMChange{
			Step: step, VM: v.Name, Epoch: v.Epoch, Version: v.Version, Pool: v.Target, Work: v.Work, Cause: cause,
		}},
	})
}

// submit makes a change; one that another change overtook is dropped, since the next step plans anew.
func (l *Leader) submit(ctx context.Context, a record.Action) error {
	a.Command.Time = l.options.Clock.Now()
	result, err := l.options.Node.Submit(ctx, a.Command)
	if err != nil {
		return errors.Wrap(err, "submit")
	}
	l.options.Logger.Info("decided", zap.String("change", describe(a.Command)), zap.Stringer("reason", a.Reason), zap.Stringer("code", result.Code))
	return nil
}

func describe(c record.Command) string {
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

func sortedNames(machines map[string]fleet.Machine) []string {
	return slices.Sorted(maps.Keys(machines))
}
