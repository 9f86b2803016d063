package fleet

import "time"

// Phase is the stage of a VM's life cycle; the zero value is not valid.
type Phase int

const (
	// PhaseActive means that the VM runs work for its pool.
	PhaseActive Phase = iota + 1 // active
	// PhaseDraining means that the VM accepts no new work and finishes what it has.
	PhaseDraining // draining
	// PhaseStopped means that the VM is being rebooted, repaired or moved.
	PhaseStopped // stopped
	// PhaseProbation means that the VM runs work again but does not count as capacity yet.
	PhaseProbation // probation
	// PhaseFailed means that the VM was lost.
	PhaseFailed // failed
)

// Domain names the failure domains that contain a VM, from the largest to the smallest.
type Domain struct {
	// DataCentre is the name of the data centre.
	DataCentre string
	// Switch is the name of the switch that connects the rack.
	Switch string
	// Rack is the name of the rack.
	Rack string
}

// Size is an amount of resources, of a VM or of a job.
type Size struct {
	// Cores is a number of processor cores.
	Cores int64
	// MemoryMB is memory in units of 1,000,000 bytes.
	MemoryMB int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
}

// VM is one virtual machine of the platform; it belongs to exactly one pool.
type VM struct {
	// Name is the platform's name for the VM.
	Name string
	// Pool is the name of the pool that the VM belongs to.
	Pool string
	// Epoch is the fencing token of the VM. It rises with each stop, change of pool and repair; work with an older one is
	// refused.
	Epoch uint64
	// Version rises with each change of the VM; a change that is based on an older one is refused.
	Version uint64
	// Phase is the stage of the VM's life cycle.
	Phase Phase
	// PhaseSince is when the phase began.
	PhaseSince time.Time
	// Maintained is when the VM was last maintained; zero for never.
	Maintained time.Time
	// Failed is when the VM was last lost; zero for never.
	Failed time.Time
	// Target is the pool that the VM is moving to; empty if it stays.
	Target string
	// Work is the name of what took the VM out of service: a wave, a move or an operator's drain.
	Work string
	// Cause is the reason for the phase, in words for an operator.
	Cause string
	// Domain is the VM's position in the failure domains.
	Domain Domain
	// Size is the total resources of the VM.
	Size Size
}
