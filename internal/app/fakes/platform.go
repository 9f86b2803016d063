package fakes

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/model/fleet"
)

// PlatformOptions configures the fake platform.
type PlatformOptions struct {
	// Clock times operations and tasks.
	Clock clock.Clock
	// Drain, Reboot and Join are the durations of these operations.
	Drain, Reboot, Join time.Duration
	// UsageLag is the delay after a task's start before its resource use is reported.
	UsageLag time.Duration
	// Profile returns how a job's tasks behave on a VM; if nil, a task uses its declared size and runs until stopped.
	Profile func(job, vm string) TaskProfile
	// OnVMDown, if not nil, is called when a VM goes down, planned or not. The platform's lock is held.
	OnVMDown func(vm string)
	// OnVMUp, if not nil, is called with the epoch when a VM comes up. The platform's lock is held.
	OnVMUp func(vm string, epoch uint64)
}

// TaskProfile describes how a job's task behaves on a VM.
type TaskProfile struct {
	// Used is the size that the task really uses.
	Used fleet.Size
	// Duration is how long the task runs; 0 means until stopped.
	Duration time.Duration
	// Fails makes the task fail, instead of end, after Duration.
	Fails bool
}

// Platform is a fake platform with simulated VMs and tasks; it is safe for concurrent use.
type Platform struct {
	options    PlatformOptions
	mu         sync.Mutex
	vms        map[string]*simulatedVM
	sequence   uint64
	operations int
}

// simulatedVM holds one VM, its last operation and its tasks.
type simulatedVM struct {
	machine        fleet.PlatformVM
	sequence       uint64
	epoch, version uint64
	operationID    string
	lastVerb       fleet.Verb
	busyUntil      time.Time
	failed         bool
	tasks          map[string]*simulatedTask
}

// simulatedTask is one attempt of a job on a VM.
type simulatedTask struct {
	task        fleet.Task
	operationID string
	profile     TaskProfile
	startedAt   time.Time
	leaseUntil  time.Time
}

// NewPlatform returns a platform that has no VMs.
func NewPlatform(o PlatformOptions) *Platform {
	return &Platform{options: o, vms: map[string]*simulatedVM{}}
}

// Add adds a running VM.
func (p *Platform) Add(m fleet.PlatformVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.Up = true
	v := &simulatedVM{machine: m, tasks: map[string]*simulatedTask{}}
	p.vms[m.Name] = v
	p.markChanged(v)
	p.notify(v, true)
}

// VMs returns all VMs, sorted by name.
func (p *Platform) VMs(context.Context) ([]fleet.PlatformVM, error) {
	machines, _ := p.changedSince(0)
	return machines, nil
}

// changedSince returns the VMs that changed after a sequence, sorted by name, and the present sequence, from which
// the next query continues.
func (p *Platform) changedSince(sequence uint64) ([]fleet.PlatformVM, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completeDue()
	var machines []fleet.PlatformVM
	for _, v := range p.vms {
		if v.sequence > sequence {
			machines = append(machines, v.snapshot())
		}
	}
	slices.SortFunc(machines, func(a, b fleet.PlatformVM) int { return strings.Compare(a.Name, b.Name) })
	return machines, p.sequence
}

// Do starts an operation or returns its state. An operation is applied once: a second call with its ID only returns
// the state.
func (p *Platform) Do(_ context.Context, o fleet.Operation) (fleet.OperationState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completeDue()
	v, ok := p.vms[o.VM]
	switch {
	case !ok:
		return 0, errors.Newf("no VM is named %q", o.VM)
	case o.Job != "":
		return p.applyTaskOperation(v, o), nil
	case o.Epoch < v.epoch || (o.Epoch == v.epoch && o.Version < v.version):
		return fleet.OperationStale, nil
	case v.failed:
		return fleet.OperationFailed, nil
	case o.ID != v.operationID:
		p.startOperation(v, o)
	}
	if p.options.Clock.Now().Before(v.busyUntil) {
		return fleet.OperationRunning, nil
	}
	return fleet.OperationDone, nil
}

func (p *Platform) startOperation(v *simulatedVM, o fleet.Operation) {
	v.epoch, v.version, v.operationID, v.lastVerb = o.Epoch, o.Version, o.ID, o.Verb
	now := p.options.Clock.Now()
	v.busyUntil = now
	p.operations++
	switch o.Verb {
	case fleet.VerbDrain:
		v.machine.Draining = true
		v.busyUntil = now.Add(p.options.Drain)
	case fleet.VerbActivate:
		v.machine.Draining = false
	case fleet.VerbReboot:
		v.busyUntil = now.Add(p.options.Reboot)
		p.takeDown(v)
	case fleet.VerbRelease:
		p.takeDown(v)
		v.machine.Pool = ""
	case fleet.VerbJoin:
		v.machine.Pool = o.Pool
		v.busyUntil = now.Add(p.options.Join)
		if v.machine.Up {
			// The VM already runs: its endpoint starts again under the new epoch.
			v.busyUntil = now
			p.notify(v, true)
		}
	default:
	}
	p.markChanged(v)
}

// completeDue completes the operations and tasks whose time is over.
func (p *Platform) completeDue() {
	now := p.options.Clock.Now()
	for _, v := range p.vms {
		if !v.failed && !v.machine.Up && !now.Before(v.busyUntil) && v.lastVerb != fleet.VerbRelease {
			v.machine.Up, v.machine.Draining = true, false
			p.markChanged(v)
			p.notify(v, true)
		}
		for _, t := range v.tasks {
			p.updateTask(v, t, now)
		}
	}
}

// Fail takes a VM and its tasks down until Repair brings the VM back. An unknown or failed VM is left as it is.
func (p *Platform) Fail(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.vms[name]; v != nil && !v.failed {
		v.failed = true
		p.takeDown(v)
	}
}

// Repair brings a failed VM back up. An unknown VM or one that has not failed is left as it is.
func (p *Platform) Repair(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.vms[name]; v != nil && v.failed {
		v.failed, v.lastVerb = false, 0
		v.machine.Up, v.machine.Draining = true, false
		p.markChanged(v)
		p.notify(v, true)
	}
}

// Operations returns the number of operations on VMs that were applied.
func (p *Platform) Operations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.operations
}

func (p *Platform) takeDown(v *simulatedVM) {
	if v.machine.Up {
		p.notify(v, false)
	}
	v.machine.Up = false
	clear(v.tasks)
	p.markChanged(v)
}

func (p *Platform) notify(v *simulatedVM, up bool) {
	if up && p.options.OnVMUp != nil {
		p.options.OnVMUp(v.machine.Name, v.epoch)
	}
	if !up && p.options.OnVMDown != nil {
		p.options.OnVMDown(v.machine.Name)
	}
}

func (p *Platform) markChanged(v *simulatedVM) {
	p.sequence++
	v.sequence = p.sequence
}

func (v *simulatedVM) snapshot() fleet.PlatformVM {
	m := v.machine
	m.Tasks, m.Epoch = nil, v.epoch
	for _, t := range v.tasks {
		m.Tasks = append(m.Tasks, t.task)
	}
	slices.SortFunc(m.Tasks, func(a, b fleet.Task) int { return strings.Compare(a.Job, b.Job) })
	return m
}
