package batch

// Change is one log entry on batch work. Its parts are applied in the order of the fields.
type Change struct {
	// Configuration replaces the one in force; nil for no change.
	Configuration *Configuration
	// Tombstones stand for jobs that were cancelled though they weren't known.
	Tombstones []Tombstone
	// NewJobs are the jobs to add; those with a tombstone are added as cancelled.
	NewJobs []Job
	// CancelledJobs are the identities of the jobs to cancel.
	CancelledJobs []string
	// BegunJobs are the identities of the jobs of which a worker has begun a first task.
	BegunJobs []string
	// Ends are the attempts that have ended.
	Ends []AttemptEnd
	// Crashes are the tasks under which a worker has crashed while it started an attempt that may still begin, and so hasn't ended.
	Crashes []TaskID
	// BegunLate are tasks of Crashes whose attempt has begun since: the crash wasn't due to them.
	BegunLate []TaskID
	// Starts are the attempts to start, with their workers.
	Starts []AttemptStart
	// Waves are the maintenance waves to add.
	Waves []Wave
	// MaintenanceStarts are the VMs of waves whose maintenance has begun.
	MaintenanceStarts []WaveVM
	// GoneVMs are the VMs of waves that are gone, and ReturnedVMs those that were gone and are listed again.
	GoneVMs, ReturnedVMs []WaveVM
	// ExpireTombstones only advances the time, so that tombstones expire where nothing else is to be changed.
	ExpireTombstones bool
	// OrderedVMs are the names of the VMs that the leader is about to move or maintain.
	OrderedVMs []string
	// Leader is the proposer of the change.
	Leader Leader
}

// Leader identifies the leader that proposed a change, and when it did.
type Leader struct {
	// Name is the name of its process.
	Name string
	// Term is its election term.
	Term uint64
	// UptimeMs is its uptime at the proposal, in milliseconds.
	UptimeMs int64
}

// IsEmpty reports whether the change has no effect; Leader is not considered.
func (c *Change) IsEmpty() bool {
	return c.Configuration == nil && !c.ExpireTombstones &&
		len(c.Tombstones)+len(c.NewJobs)+len(c.CancelledJobs)+len(c.BegunJobs)+len(c.Ends)+len(c.Crashes)+len(c.BegunLate)+len(c.Starts)+len(c.Waves)+len(c.MaintenanceStarts)+
			len(c.GoneVMs)+len(c.ReturnedVMs)+len(c.OrderedVMs) == 0
}

// AttemptStart assigns one attempt of a task to a worker.
type AttemptStart struct {
	Task TaskID
	// Attempt is the number of the task's start, from 1.
	Attempt int
	// Worker is the identity of the worker that runs the attempt.
	Worker string
	// Incarnation is that of the worker, as it reports it: its start in Unix milliseconds of its own clock.
	Incarnation int64
	// Sequence is the number of the heartbeat that the order answers.
	Sequence uint64
}

// AttemptEnd ends one attempt of a task.
type AttemptEnd struct {
	Task TaskID
	// Attempt is the number of the task's start, from 1.
	Attempt int
	// Kind is the result of the attempt.
	Kind EndKind
	// Checkpoint is the progress that the attempt saved; empty for none.
	Checkpoint string
	// TimeMs is when the leader learned of the end, in Unix milliseconds.
	TimeMs int64
	// Reported is set if the worker reported the end: a task is then done even if its attempt was given up before.
	Reported bool
	// Crashed is set if the worker crashed while it started the attempt; Kind is then EndWorkerLost.
	Crashed bool
	// GivenUp is set if too many workers have crashed under the task: its job fails.
	GivenUp bool
	// OutlivedStart is set if the worker had listed the attempt as running after its start, where the leader gave it up.
	OutlivedStart bool
	// CrashedLater is set if the worker crashed while it ran the attempt that hadn't run for long; Kind is then EndWorkerLost.
	CrashedLater bool
	// RanLong is set if the attempt had run for so long that no later crash of its worker shows anything about its task.
	RanLong bool
}

// Wave is an operator's maintenance wave: a list of VMs that are maintained within a time limit.
type Wave struct {
	// ID is the number that the operator gave the wave; never 0.
	ID uint64
	// VMs are the names of the VMs on the platform.
	VMs []string
	// DurationMs is the time limit, in milliseconds from AcceptedMs.
	DurationMs int64
	// MaxConcurrent bounds the VMs that the wave has out for maintenance at one time.
	MaxConcurrent int
	// AcceptedMs is when the leader accepted the wave, in Unix milliseconds.
	AcceptedMs int64
	// Begun are the VMs whose maintenance has begun or is complete.
	Begun []string
	// Gone are the VMs without maintenance that are gone.
	Gone []string
}

// IsComplete reports whether each VM of the wave has begun its maintenance or is gone.
func (w *Wave) IsComplete() bool {
	return len(w.Begun)+len(w.Gone) >= len(w.VMs)
}

// WaveVM names a VM of a wave.
type WaveVM struct {
	// Wave is the number of the wave.
	Wave uint64
	// VM is the name of the VM on the platform.
	VM string
}
