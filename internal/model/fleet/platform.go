package fleet

import "time"

// PlatformVM is a VM as the platform reports it.
type PlatformVM struct {
	// Name is the platform's name for the VM.
	Name string
	// Pool is the pool that the platform was last told; empty for a new VM.
	Pool string
	// Domain is the VM's position in the failure domains.
	Domain Domain
	// Size is the total resources of the VM.
	Size Size
	// Up means that the VM runs.
	Up bool
	// Draining means that the platform starts no new work on the VM.
	Draining bool
	// Epoch is the epoch of the VM that the platform was last told; 0 for none.
	Epoch uint64
	// Tasks are the attempts that run on the VM or have just ended there.
	Tasks []Task
}

// TaskState is the state of a task; the zero value is not valid.
type TaskState int

const (
	// TaskRunning means that the task runs.
	TaskRunning TaskState = iota + 1 // running
	// TaskThrottled means that the task is loaded but has almost no processor time.
	TaskThrottled // throttled
	// TaskEnded means that the task is complete.
	TaskEnded // ended
	// TaskFailed means that the task ended with an error.
	TaskFailed // failed
	// TaskStopped means that the task was stopped; its checkpoint is kept if it has one.
	TaskStopped // stopped
)

// Task is one attempt of a job on a VM, as the platform reports it with some lag.
type Task struct {
	// Job is the name of the job.
	Job string
	// Attempt is the number of the job's start, from 1.
	Attempt uint64
	// State is the state at the time of the report.
	State TaskState
	// Used is the resources that the task uses.
	Used Size
}

// Verb is the kind of an operation on the platform; the zero value is not valid.
type Verb int

const (
	// VerbDrain stops the start of new work on a VM.
	VerbDrain Verb = iota + 1 // drain
	// VerbActivate ends a drain.
	VerbActivate // activate
	// VerbReboot maintains and reboots a VM.
	VerbReboot // reboot
	// VerbRelease takes a VM out of its pool.
	VerbRelease // release
	// VerbJoin adds a VM to a pool.
	VerbJoin // join
	// VerbStart starts a task under a lease.
	VerbStart // start
	// VerbRenew extends a task's lease.
	VerbRenew // renew
	// VerbThrottle withdraws almost all processor time from a task.
	VerbThrottle // throttle
	// VerbRestore ends the throttling of a task.
	VerbRestore // restore
	// VerbStop stops a task, with a checkpoint if it supports one.
	VerbStop // stop
)

// Operation is one call on the platform; a resend with the same ID has no further effect.
type Operation struct {
	// ID is the idempotency key of the operation.
	ID string
	// Verb is the kind of the operation.
	Verb Verb
	// VM is the name of the VM that the operation applies to.
	VM string
	// Epoch and Version are those of the VM; the platform refuses an operation with older ones than it has seen.
	Epoch, Version uint64
	// Pool is the pool to join, for VerbJoin.
	Pool string
	// Job and Attempt identify the task; unused for operations on a whole VM.
	Job     string
	Attempt uint64
	// Size is the resources that a task is started with, for VerbStart.
	Size Size
	// LeaseUntil is when the task must have stopped unless its lease is renewed.
	LeaseUntil time.Time
}

// OperationState is the state of an operation; the zero value is not valid.
type OperationState int

const (
	// OperationRunning means that the operation was accepted and is under way.
	OperationRunning OperationState = iota + 1 // running
	// OperationDone means that the operation has succeeded.
	OperationDone // done
	// OperationFailed means that the operation has failed.
	OperationFailed // failed
	// OperationStale means that the operation is older than what the platform has seen; it has no effect.
	OperationStale // stale
)
