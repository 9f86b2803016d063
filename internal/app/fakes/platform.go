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

// PlatformOptions says how long the stand-in for the platform takes for what it does.
type PlatformOptions struct {
	// Clock gives the time.
	Clock clock.Clock
	// Drain, Reboot and Join are how long these operations take.
	Drain, Reboot, Join time.Duration
	// Lag is how late use is reported.
	Lag time.Duration
	// Truth tells how a job behaves; nil for one that runs as declared until it is stopped.
	Truth func(job, vm string) Truth
	// Stopped is told of each VM that goes down, planned or not; nil for nobody.
	Stopped func(vm string)
	// Started is told of each VM that comes up, and under which epoch; nil for nobody.
	Started func(vm string, epoch uint64)
}

// Truth is how a job behaves on a VM.
type Truth struct {
	// Used is the size that the job really uses.
	Used fleet.Size
	// Lasts is how long the job runs; 0 for ever.
	Lasts time.Duration
	// Fails says whether it then fails.
	Fails bool
}

// Platform stands in for the platform's VMs and their tasks; it is safe for concurrent use.
type Platform struct {
	options  PlatformOptions
	mu       sync.Mutex
	vms      map[string]*platformVM
	sequence uint64
	started  int
}

// platformVM is one VM with the operation that it was given last.
type platformVM struct {
	machine        fleet.PlatformVM
	sequence       uint64
	epoch, version uint64
	operation      string
	verb           fleet.Verb
	until          time.Time
	lost           bool
	tasks          map[string]*platformTask
}

// platformTask is one attempt of a job on a VM.
type platformTask struct {
	task      fleet.Task
	operation string
	truth     Truth
	began     time.Time
	lease     time.Time
}

// NewPlatform returns a platform without VMs.
func NewPlatform(o PlatformOptions) *Platform {
	return &Platform{options: o, vms: map[string]*platformVM{}}
}

// Add adds a VM that runs.
func (p *Platform) Add(m fleet.PlatformVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.Up = true
	v := &platformVM{machine: m, tasks: map[string]*platformTask{}}
	p.vms[m.Name] = v
	p.touch(v)
	p.tell(v, true)
}

// Machines returns all VMs by name.
func (p *Platform) Machines(context.Context) ([]fleet.PlatformVM, error) {
	machines, _ := p.since(0)
	return machines, nil
}

// since returns the VMs that changed after a sequence, by name, and the sequence to ask from next.
func (p *Platform) since(sequence uint64) ([]fleet.PlatformVM, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	var machines []fleet.PlatformVM
	for _, v := range p.vms {
		if v.sequence > sequence {
			machines = append(machines, v.report())
		}
	}
	slices.SortFunc(machines, func(a, b fleet.PlatformVM) int { return strings.Compare(a.Name, b.Name) })
	return machines, p.sequence
}

// Do starts an operation or tells how far it is; the same identity has no second effect.
func (p *Platform) Do(_ context.Context, o fleet.Operation) (fleet.OperationState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	v, ok := p.vms[o.VM]
	switch {
	case !ok:
		return 0, errors.Newf("no VM is named %q", o.VM)
	case o.Job != "":
		return p.doTask(v, o), nil
	case o.Epoch < v.epoch || (o.Epoch == v.epoch && o.Version < v.version):
		return fleet.OperationStale, nil
	case v.lost:
		return fleet.OperationFailed, nil
	case o.ID != v.operation:
		p.begin(v, o)
	}
	if p.options.Clock.Now().Before(v.until) {
		return fleet.OperationRunning, nil
	}
	return fleet.OperationDone, nil
}

func (p *Platform) begin(v *platformVM, o fleet.Operation) {
	v.epoch, v.version, v.operation, v.verb = o.Epoch, o.Version, o.ID, o.Verb
	now := p.options.Clock.Now()
	v.until = now
	p.started++
	switch o.Verb {
	case fleet.VerbDrain:
		v.machine.Draining = true
		v.until = now.Add(p.options.Drain)
	case fleet.VerbActivate:
		v.machine.Draining = false
	case fleet.VerbReboot:
		v.until = now.Add(p.options.Reboot)
		p.down(v)
	case fleet.VerbRelease:
		p.down(v)
		v.machine.Pool = ""
	case fleet.VerbJoin:
		v.machine.Pool = o.Pool
		v.until = now.Add(p.options.Join)
		if v.machine.Up {
			// What runs is started again under the new epoch.
			v.until = now
			p.tell(v, true)
		}
	default:
	}
	p.touch(v)
}

// advance ends operations and tasks whose time has come.
func (p *Platform) advance() {
	now := p.options.Clock.Now()
	for _, v := range p.vms {
		if !v.lost && !v.machine.Up && !now.Before(v.until) && v.verb != fleet.VerbRelease {
			v.machine.Up, v.machine.Draining = true, false
			p.touch(v)
			p.tell(v, true)
		}
		for _, t := range v.tasks {
			p.advanceTask(v, t, now)
		}
	}
}

// Fail loses a VM with all that runs on it.
func (p *Platform) Fail(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.vms[name]; v != nil && !v.lost {
		v.lost = true
		p.down(v)
	}
}

// Repair brings a lost VM back.
func (p *Platform) Repair(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.vms[name]; v != nil && v.lost {
		v.lost, v.verb = false, 0
		v.machine.Up, v.machine.Draining = true, false
		p.touch(v)
		p.tell(v, true)
	}
}

// Operations counts the operations on VMs that had an effect.
func (p *Platform) Operations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

func (p *Platform) down(v *platformVM) {
	if v.machine.Up {
		p.tell(v, false)
	}
	v.machine.Up = false
	clear(v.tasks)
	p.touch(v)
}

func (p *Platform) tell(v *platformVM, up bool) {
	if up && p.options.Started != nil {
		p.options.Started(v.machine.Name, v.epoch)
	}
	if !up && p.options.Stopped != nil {
		p.options.Stopped(v.machine.Name)
	}
}

func (p *Platform) touch(v *platformVM) {
	p.sequence++
	v.sequence = p.sequence
}

func (v *platformVM) report() fleet.PlatformVM {
	m := v.machine
	m.Tasks, m.Epoch = nil, v.epoch
	for _, t := range v.tasks {
		m.Tasks = append(m.Tasks, t.task)
	}
	slices.SortFunc(m.Tasks, func(a, b fleet.Task) int { return strings.Compare(a.Job, b.Job) })
	return m
}
