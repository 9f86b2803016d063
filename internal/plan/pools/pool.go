package pools

// Pool describes the demand and the VMs of one pool.
type Pool struct {
	// Name is the pool's name.
	Name string
	// Standby means that its VMs are switched off and cost nothing.
	Standby bool
	// InTime is the demand of the jobs whose SLO can still be met, and Late that of the others.
	InTime, Late Demand
	// LongRunning is the part of InTime that long-running tasks need.
	LongRunning Resources
	// VM is the capacity of one of its VMs; zero if unknown.
	VM Resources
	// Lacking is the amount by which its workers' capacities are below those of their VMs.
	Lacking Resources
	// Depleted is the number of its VMs whose workers have no capacity of some kind at present.
	Depleted int
	// VMs are its VMs that can work and those that are moving to it.
	VMs []VM
	// MinVMs is the minimum number of VMs, whatever their capacity, because some tasks must run on separate VMs.
	MinVMs int
	// IdleMs is how long the pool has had more VMs than it needs, in milliseconds.
	IdleMs int64
}

// VM describes one VM of a pool.
type VM struct {
	// Name is the platform's name of the VM.
	Name string
	// BusyMs is how long its tasks are expected to run, in milliseconds.
	BusyMs int64
	// Empty means that no task runs on it and it may move now.
	Empty bool
	// Fixed means that it can't leave the pool, neither now nor when its tasks have ended.
	Fixed bool
}
