package codec

import (
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/peer"
)

// OperationToWire returns the message of an operation on the platform.
func OperationToWire(o fleet.Operation) *peer.PlatformOperation {
	return &peer.PlatformOperation{
		Id: o.ID, Verb: o.Verb.String(), Vm: o.VM, Epoch: o.Epoch, Version: o.Version, Pool: o.Pool,
		Job: o.Job, Attempt: o.Attempt, Size: SizeToWire(o.Size), LeaseUntilNs: timeToWire(o.LeaseUntil),
	}
}

// OperationFromWire returns the operation of a message; an unknown verb is the zero value.
func OperationFromWire(w *peer.PlatformOperation) fleet.Operation {
	return fleet.Operation{
		ID: w.GetId(), Verb: named(w.GetVerb(), fleet.VerbDrain, fleet.VerbStop), VM: w.GetVm(),
		Epoch: w.GetEpoch(), Version: w.GetVersion(), Pool: w.GetPool(),
		Job: w.GetJob(), Attempt: w.GetAttempt(), Size: SizeFromWire(w.GetSize()), LeaseUntil: timeFromWire(w.GetLeaseUntilNs()),
	}
}

// OperationStateFromWire returns the state of a message; an unknown one is the zero value.
func OperationStateFromWire(w *peer.PlatformState) fleet.OperationState {
	return named(w.GetState(), fleet.OperationRunning, fleet.OperationStale)
}

// PlatformVMToWire returns the message of a VM as the platform tells of it.
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

// PlatformVMFromWire returns the VM of a message.
func PlatformVMFromWire(w *peer.PlatformVm) fleet.PlatformVM {
	m := fleet.PlatformVM{
		Name: w.GetName(), Pool: w.GetPool(), Size: SizeFromWire(w.GetSize()), Up: w.GetUp(), Draining: w.GetDraining(), Epoch: w.GetEpoch(),
		Domain: fleet.Domain{DataCentre: w.GetDataCentre(), Switch: w.GetSwitch(), Rack: w.GetRack()},
	}
	for _, t := range w.GetTasks() {
		m.Tasks = append(m.Tasks, fleet.Task{
			Job: t.GetJob(), Attempt: t.GetAttempt(), State: named(t.GetState(), fleet.TaskRunning, fleet.TaskStopped), Used: SizeFromWire(t.GetUsed()),
		})
	}
	return m
}

// enum is an enum with generated names.
type enum interface {
	~int
	String() string
}

// named returns the value from first to last that has a name, or the zero value.
func named[E enum](name string, first, last E) E {
	for v := first; v <= last; v++ {
		if v.String() == name {
			return v
		}
	}
	return 0
}
