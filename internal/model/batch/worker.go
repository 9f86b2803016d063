package batch

// Heartbeat is a worker's periodic report to the leader.
type Heartbeat struct {
	// Worker is the identity of the worker.
	Worker string
	// Incarnation is when the worker last started, in Unix milliseconds of its own clock.
	Incarnation int64
	// Sequence rises with each heartbeat of one incarnation.
	Sequence uint64
	// ClockMs is the worker's steady clock, in milliseconds since this incarnation started; 0 if unknown.
	ClockMs int64
	// Pool is the name of the pool that the worker belongs to.
	Pool string
	// Address is the host:port at which the worker serves requests.
	Address string
	// DataCentre is the name of the worker's data centre.
	DataCentre string
	// Draining means that the worker is about to leave and accepts no new tasks.
	Draining bool
	// RemainingMs is the least time until a draining worker leaves, in milliseconds.
	RemainingMs int64
	// Capacity is the total resources of the worker.
	Capacity Resources
	// Labels are the kind of the worker and its rack.
	Labels []string
	// Running are the attempts that run on the worker.
	Running []Running
	// Ended are the attempts that ended on the worker, until the leader acknowledges them.
	Ended []EndReport
	// UnreadRunning and UnreadEnded are the numbers of rows of the two lists that could not be read.
	UnreadRunning, UnreadEnded int
	// MoreEnds means that the worker may have more ends to report than one heartbeat lists.
	MoreEnds bool
}

// Running is the progress of one attempt that runs on a worker.
type Running struct {
	Task TaskID
	// Attempt is the number of the task's start, from 1.
	Attempt int
	// Checkpoint is the latest progress that the attempt saved; empty for none.
	Checkpoint string
	// Percent is the progress, 0 to 100. For a long-running task, 100 means that it is ready to serve.
	Percent int
	// Load is the tail latency of a serving task in milliseconds, or the processor time that any other task uses, in
	// thousandths of a core.
	Load float64
}

// EndReport is the end of one attempt, which a worker reports until the leader acknowledges it.
type EndReport struct {
	// Number rises with each end in one incarnation of the worker.
	Number uint64
	Task   TaskID
	// Attempt is the number of the task's start, from 1.
	Attempt int
	// Kind is the result of the attempt.
	Kind EndKind
	// Checkpoint is the progress that the attempt saved; empty for none.
	Checkpoint string
}

// Orders is the leader's answer to a heartbeat.
type Orders struct {
	// LeaseMs is how long the worker's attempts may run, from the time at which it sent the heartbeat. 0 extends no lease
	// and starts nothing.
	LeaseMs int64
	// Acknowledged is the number of the last reported end that is committed.
	Acknowledged uint64
	// FencingToken is the fencing token: the election term of the leader.
	FencingToken uint64
	// Start are attempts to start.
	Start []StartOrder
	// Stop are attempts to stop.
	Stop []StopOrder
	// Pace are attempts to slow down or speed up.
	Pace []PaceOrder
	// NextHeartbeatMs is the time until the worker should send its next heartbeat, in milliseconds.
	NextHeartbeatMs int64
	// Leader is the control address to which the worker should send its next heartbeats; empty for no change.
	Leader string
}

// StartOrder orders a worker to start an attempt.
type StartOrder struct {
	Task TaskID
	// Attempt is the number of the task's start, from 1.
	Attempt int
	// Text is that of the job.
	Text string
	// Checkpoint is the progress from which to continue; empty to start from the beginning.
	Checkpoint string
	// Ticket is the permit that the queue's policy issued for the worker; empty if the queue asks for none.
	Ticket string
}

// StopOrder orders a worker to stop an attempt.
type StopOrder struct {
	Task TaskID
	// Attempt is the number of the task's start, from 1.
	Attempt int
}

// PaceOrder sets the rate at which an attempt may run.
type PaceOrder struct {
	Task TaskID
	// Attempt is the number of the task's start, from 1.
	Attempt int
	// Percent is the rate as a part of full speed, 0 to 100.
	Percent int
}
