package batch

// Heartbeat is a worker's report of itself.
type Heartbeat struct {
	// Worker is the worker's identity.
	Worker string
	// Incarnation is when this life of the worker began, in Unix milliseconds of its own clock.
	Incarnation int64
	// Sequence rises with each heartbeat of one life.
	Sequence uint64
	// Pool is the pool that it works for.
	Pool string
	// Address is where it serves.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Draining means that it is about to leave.
	Draining bool
	// RemainingMs is the least time that a draining worker has left.
	RemainingMs int64
	// Capacity is what it has.
	Capacity Capacity
	// Labels are its kind and its rack.
	Labels []string
	// Running are the attempts that run there.
	Running []Running
	// Ended are ends that were not acknowledged yet.
	Ended []Ended
}

// Running is one attempt that runs on a worker.
type Running struct {
	// Task is the task.
	Task TaskID
	// Attempt is the attempt.
	Attempt int
	// Checkpoint is the latest progress that was saved.
	Checkpoint string
	// Percent is how far it has come; for a lasting task 100 means that it is at work.
	Percent int
	// Load is the tail of a serving task in milliseconds, or the processor time in use of any other, in thousandths of a core.
	Load float64
}

// Ended is one end that a worker lists until it is acknowledged.
type Ended struct {
	// Number rises with each end of one life.
	Number uint64
	// Task is the task.
	Task TaskID
	// Attempt is the attempt.
	Attempt int
	// Kind is how it ended.
	Kind EndKind
	// Checkpoint is the progress that was saved.
	Checkpoint string
}

// Orders is what a worker is told in answer to a heartbeat.
type Orders struct {
	// LeaseMs is how long all that runs there may go on, counted from when the heartbeat was sent; 0 extends and starts nothing.
	LeaseMs int64
	// Acknowledged is the last end that is recorded.
	Acknowledged uint64
	// Token is the fencing token: the leader's term.
	Token uint64
	// Start are attempts to start.
	Start []StartOrder
	// Stop are attempts to stop.
	Stop []StopOrder
	// Pace are attempts to slow down or speed up.
	Pace []PaceOrder
	// NextMs is when the worker should call again, in milliseconds.
	NextMs int64
	// Leader is the control address for the next heartbeats; empty for no advice.
	Leader string
}

// StartOrder starts an attempt.
type StartOrder struct {
	// Task is the task.
	Task TaskID
	// Attempt is the attempt.
	Attempt int
	// Text is the job's text.
	Text string
	// Checkpoint is where to go on; empty for the beginning.
	Checkpoint string
	// Ticket is the permit of an advised queue; empty for none.
	Ticket string
}

// StopOrder stops an attempt.
type StopOrder struct {
	// Task is the task.
	Task TaskID
	// Attempt is the attempt.
	Attempt int
}

// PaceOrder sets the share at which an attempt works.
type PaceOrder struct {
	// Task is the task.
	Task TaskID
	// Attempt is the attempt.
	Attempt int
	// Percent is the share, 0 to 100.
	Percent int
}
