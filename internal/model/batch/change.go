package batch

// Change is one record of the replicated log on batch work; its parts are made in the order of the fields.
type Change struct {
	// Configuration is a new configuration, nil for none.
	Configuration *Configuration
	// Submits are new jobs.
	Submits []Job
	// Cancels are the identities of jobs that are given up.
	Cancels []string
	// Ends end attempts.
	Ends []End
	// Starts give attempts to workers.
	Starts []Start
	// Wave is a new wave of maintenance, nil for none.
	Wave *Wave
	// Upkeeps record VMs whose maintenance has begun.
	Upkeeps []Upkeep
	// Ordered are VMs that the leader is about to order.
	Ordered []string
	// Leader is who proposed the change, and when.
	Leader Leader
}

// Leader is the proposer of a change.
type Leader struct {
	// Name is the process that leads.
	Name string
	// Term is its term.
	Term uint64
	// UptimeMs is its uptime when it proposed the change, in milliseconds.
	UptimeMs int64
}

// Empty says whether the change does nothing.
func (c *Change) Empty() bool {
	return c.Configuration == nil && c.Wave == nil &&
		len(c.Submits)+len(c.Cancels)+len(c.Ends)+len(c.Starts)+len(c.Upkeeps)+len(c.Ordered) == 0
}

// Start gives one attempt of a task to a worker.
type Start struct {
	// Task is the task.
	Task TaskID
	// Attempt counts the task's starts from 1.
	Attempt int
	// Worker is the worker's identity.
	Worker string
	// Incarnation is the worker's life, as it reports it.
	Incarnation int64
	// Sequence is the heartbeat in whose answer the order goes out.
	Sequence uint64
}

// End ends one attempt of a task.
type End struct {
	// Task is the task.
	Task TaskID
	// Attempt is the attempt.
	Attempt int
	// Kind is how it ended.
	Kind EndKind
	// Checkpoint is the progress that was saved; empty for none.
	Checkpoint string
	// TimeMs is when the leader took note, in Unix milliseconds.
	TimeMs int64
}

// Wave asks that each of some VMs is maintained in time.
type Wave struct {
	// ID is the operator's number.
	ID uint64
	// VMs are the VMs by the platform's names.
	VMs []string
	// DurationMs is the time limit, in milliseconds.
	DurationMs int64
	// MostAtOnce bounds the VMs that are down for it at one time.
	MostAtOnce int
	// AcceptedMs is when the leader took it, in Unix milliseconds.
	AcceptedMs int64
	// Begun are the VMs whose maintenance has begun, or which are gone.
	Begun []string
}

// Upkeep records that a VM's maintenance has begun, or that it is gone.
type Upkeep struct {
	// Wave is the wave's number.
	Wave uint64
	// VM is the VM's name.
	VM string
}
