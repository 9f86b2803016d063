package fleet

import "time"

// Machine is a VM as the platform tells of it.
type Machine struct {
	// Name is the platform's name for the VM.
	Name string
	// Pool is the pool that the platform was told last; empty for a new VM.
	Pool string
	// Domain is where the VM stands.
	Domain Domain
	// Size is what the VM has.
	Size Size
	// Up says whether the VM runs.
	Up bool
	// Draining says whether the platform starts no new work on the VM.
	Draining bool
	// Epoch is the VM's epoch that the platform was told last; 0 for none.
	Epoch uint64
	// Tasks are the jobs that the VM runs or has just ended.
	Tasks []Task
}

// TaskState is how a task stands; the zero value is not valid.
type TaskState int

const (
	// TaskRunning means that the task runs.
	TaskRunning TaskState = iota + 1 // running
	// TaskThrottled means that the task is loaded but has next to no processor time.
	TaskThrottled // throttled
	// TaskEnded means that the task is done.
	TaskEnded // ended
	// TaskFailed means that the task ended with a fault.
	TaskFailed // failed
	// TaskStopped means that the task was stopped, with its checkpoint kept where it has one.
	TaskStopped // stopped
)

// Task is one attempt of a job on a VM, as reported with a lag.
type Task struct {
	// Job is the job's name.
	Job string
	// Attempt is the job's attempt.
	Attempt uint64
	// State is how the task stands.
	State TaskState
	// Used is the size in use.
	Used Size
}

// Verb is what an operation does on the platform; the zero value is not valid.
type Verb int

const (
	// VerbDrain starts no new work on a VM.
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
	// VerbThrottle takes a task's processor time away.
	VerbThrottle // throttle
	// VerbRestore gives a task its processor time back.
	VerbRestore // restore
	// VerbStop stops a task, by a checkpoint where it has one.
	VerbStop // stop
)

// Operation is one call on the platform; a resend under the same identity has no further effect.
type Operation struct {
	// ID names the operation.
	ID string
	// Verb is what the operation does.
	Verb Verb
	// VM is the VM that it is done on.
	VM string
	// Epoch and Version are the VM's; the platform refuses what is older than it has seen.
	Epoch, Version uint64
	// Pool is the pool to join.
	Pool string
	// Job and Attempt name the task.
	Job     string
	Attempt uint64
	// Size is what a task is started with.
	Size Size
	// LeaseUntil is when the task must have ended.
	LeaseUntil time.Time
}

// OperationState is how far an operation is; the zero value is not valid.
type OperationState int

const (
	// OperationRunning means that the operation was taken and goes on.
	OperationRunning OperationState = iota + 1 // running
	// OperationDone means that the operation has ended well.
	OperationDone // done
	// OperationFailed means that the operation has failed.
	OperationFailed // failed
	// OperationStale means that the operation is older than what the platform has seen, and has no effect.
	OperationStale // stale
)
