package codec

import (
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/peer"
)

// OperationToWire encodes an operation on the platform as a message.
func OperationToWire(o fleet.Operation) *peer.PlatformOperation {
	return &peer.PlatformOperation{
		Id: o.ID, Verb: o.Verb.String(), Vm: o.VM, Epoch: o.Epoch, Version: o.Version, Pool: o.Pool,
		Job: o.Job, Attempt: o.Attempt, Size: SizeToWire(o.Size), LeaseUntilNs: timeToWire(o.LeaseUntil),
	}
}

// OperationFromWire decodes an operation from a message; an unknown verb gives the zero value.
func OperationFromWire(w *peer.PlatformOperation) fleet.Operation {
	return fleet.Operation{
		ID: w.GetId(), Verb: enumByName(w.GetVerb(), fleet.VerbDrain, fleet.VerbStop), VM: w.GetVm(),
		Epoch: w.GetEpoch(), Version: w.GetVersion(), Pool: w.GetPool(),
		Job: w.GetJob(), Attempt: w.GetAttempt(), Size: SizeFromWire(w.GetSize()), LeaseUntil: timeFromWire(w.GetLeaseUntilNs()),
	}
}

// OperationStateFromWire decodes an operation's state from a message; an unknown state gives the zero value.
func OperationStateFromWire(w *peer.PlatformState) fleet.OperationState {
	return enumByName(w.GetState(), fleet.OperationRunning, fleet.OperationStale)
}

// PlatformVMToWire encodes the platform's report of a VM as a message.
func PlatformVMToWire(m fleet.PlatformVM) *peer.PlatformVm {
	w := &peer.PlatformVm{
		Name: m.Name, Pool: m.Pool, DataCentre: m.Domain.DataCentre, Switch: m.Domain.Switch, Rack: m.Domain.Rack,
		Size: SizeToWire(m.Size), Up: m.Up, Draining: m.Draining, Epoch: m.Epoch,
	}
	for _, t := range m.Tasks {
		w.Tasks = append(w.Tasks, &peer.PlatformTask{Job: t.Job, Attempt: t.Attempt, State: t.State.String(), Used: SizeToWire(t.Used)})
	}
	return w
}

// PlatformVMFromWire decodes the platform's report of a VM; an unknown task state gives the zero value.
func PlatformVMFromWire(w *peer.PlatformVm) fleet.PlatformVM {
	m := fleet.PlatformVM{
		Name: w.GetName(), Pool: w.GetPool(), Size: SizeFromWire(w.GetSize()), Up: w.GetUp(), Draining: w.GetDraining(), Epoch: w.GetEpoch(),
		Domain: fleet.Domain{DataCentre: w.GetDataCentre(), Switch: w.GetSwitch(), Rack: w.GetRack()},
	}
	for _, t := range w.GetTasks() {
		m.Tasks = append(m.Tasks, fleet.Task{
			Job: t.GetJob(), Attempt: t.GetAttempt(), State: enumByName(t.GetState(), fleet.TaskRunning, fleet.TaskStopped), Used: SizeFromWire(t.GetUsed()),
		})
	}
	return m
}

// namedEnum is implemented by enums with a generated String method.
type namedEnum interface {
	~int
	String() string
}

// enumByName returns the value between first and last with the given name, or the zero value if there is none.
func enumByName[E namedEnum](name string, first, last E) E {
	for v := first; v <= last; v++ {
		if v.String() == name {
			return v
		}
	}
	return 0
}
