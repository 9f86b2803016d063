package fleet

import "time"

// Phase is where a VM is in its life; the zero value is not valid.
type Phase int

const (
	// PhaseActive means that the VM runs work for its pool.
	PhaseActive Phase = iota + 1 // active
	// PhaseDraining means that the VM takes no new work and finishes what it has.
	PhaseDraining // draining
	// PhaseStopped means that the VM is being rebooted, repaired or moved.
	PhaseStopped // stopped
	// PhaseProbation means that the VM runs again but doesn't count as capacity yet.
	PhaseProbation // probation
	// PhaseFailed means that the VM was lost.
	PhaseFailed // failed
)

// Domain is the failure domains that a VM stands in, from the largest to the smallest.
type Domain struct {
	// DataCentre is the data centre's name.
	DataCentre string
	// Switch is the name of the switch that the rack hangs on.
	Switch string
	// Rack is the rack's name.
	Rack string
}

// Size is an amount of a VM's or job's resources.
type Size struct {
	// Cores is a count of processor cores.
	Cores int64
	// MemoryMB is memory in units of 1,000,000 bytes.
	MemoryMB int64
	// Accelerators is a count of accelerators.
	Accelerators int64
}

// VM is one machine of the platform; it belongs to exactly one pool.
type VM struct {
	// Name is the platform's name for the VM.
	Name string
	// Pool is the one pool that the VM belongs to.
	Pool string
	// Epoch rises with each stop, change of pool and repair; what carries an older one is fenced off.
	Epoch uint64
	// Version rises with each change of the VM; a change that builds on an older one is refused.
	Version uint64
	// Phase is where the VM is in its life.
	Phase Phase
	// PhaseSince is when the phase began.
	PhaseSince time.Time
	// Maintained is when the VM was last maintained; zero for never.
	Maintained time.Time
	// Failed is when the VM was last lost; zero for never.
	Failed time.Time
	// Target is the pool that the VM is on its way to; empty where it stays.
	Target string
	// Work names what took the VM out: a wave, a move or an operator's drain.
	Work string
	// Cause tells an operator why the VM is in its phase.
	Cause string
	// Domain is where the VM stands.
	Domain Domain
	// Size is what the VM has.
	Size Size
}
