package batch

// Code is the outcome of a call on the leader; the zero value is not valid.
type Code int

const (
	// CodeOK means that the call was done and its changes are committed.
	CodeOK Code = iota + 1 // ok
	// CodeNotFound means that no queue matches the host and path of the call.
	CodeNotFound // not_found
	// CodeGone means that the job or wave is not known, or no longer.
	CodeGone // gone
	// CodeInvalid means that the call is refused because of its content.
	CodeInvalid // invalid
	// CodeNotRun means that nothing was done and nothing will be; the call may be retried later.
	CodeNotRun // not_run
	// CodeUnknown means that the call may or may not have been done.
	CodeUnknown // unknown
	// CodeOverloaded means that nothing was done and nothing will be, because the leader is behind; the call may be
	// retried later.
	CodeOverloaded // overloaded
	// CodeRefused means that a job was not accepted because it can't be finished in time; its caller may come back after
	// Reply.RetryAfterMs.
	CodeRefused // refused
	// CodeUnauthorized means that the call needs a key of a client account and has none that is valid; nothing was done.
	CodeUnauthorized // unauthorized
	// CodeConflict means that another account's job has the identity of a job that was submitted; nothing was done.
	CodeConflict // conflict
)

// Call is one call on the leader; exactly one field is set, besides Credential and Operator.
type Call struct {
	// Credential is the digest of the key that the caller presented; the zero value stands for none.
	Credential KeyDigest
	// Operator means that an operator makes the call, who needs no key.
	Operator bool
	// ReadAccess asks for the access table.
	ReadAccess *AccessRequest
	// Submit submits a job.
	Submit *Submission
	// Cancel cancels a job.
	Cancel *RequestTarget
	// JobState asks for a job's phase.
	JobState *RequestTarget
	// Pending asks how many jobs of a queue have not started.
	Pending *RequestTarget
	// Heartbeat carries the report of a worker.
	Heartbeat *Heartbeat
	// Deregister reports that a worker leaves for good.
	Deregister *Deregistration
	// Configure puts a configuration into force.
	Configure *Configuration
	// ReadConfiguration asks for the configuration in force.
	ReadConfiguration bool
	// StartWave starts a maintenance wave.
	StartWave *Wave
	// WaveState is the number of the wave to ask about; 0 for no such question.
	WaveState uint64
	// Inspect asks for a part of the leader's state, for an operator.
	Inspect *InspectRequest
}

// Sheddable reports whether a leader that is behind may refuse the call: one of those that come in great numbers, and
// that is made again or followed by another.
func (c *Call) Sheddable() bool {
	return c.Submit != nil || c.JobState != nil || c.Pending != nil || c.Heartbeat != nil
}

// Deregistration names a worker, and the incarnation of it, that leaves for good.
type Deregistration struct {
	// Worker is the worker's identity.
	Worker string
	// Incarnation is when the worker started, in Unix milliseconds of its own clock; 0 if unknown.
	Incarnation int64
}

// Submission is a job and the host and path that it was sent to.
type Submission struct {
	// Host is the host of the request.
	Host string
	// Path is the path of the request.
	Path string
	// Job is as the caller sent it; the leader fills in its identity, queue and pool.
	Job Job
}

// RequestTarget identifies a job or a queue by the host and path of a request.
type RequestTarget struct {
	// Host is the host of the request.
	Host string
	// Path is the path of the request.
	Path string
}

// Reply answers a call.
type Reply struct {
	// Code is the outcome; the other fields depend on the call.
	Code Code
	// Detail is the reason for the outcome, in words for people.
	Detail string
	// RetryAfterMs is when the caller should come back, in milliseconds; 0 if the reply doesn't say.
	RetryAfterMs int64
	// Phase is the phase of the job that was submitted, cancelled or asked about.
	Phase Phase
	// Pending is the count of jobs in the queue that have not started.
	Pending int
	// Text is the configuration in force, as the operator sent it.
	Text []byte
	// Orders answer a heartbeat.
	Orders Orders
	// Complete means that each VM of the wave has begun its maintenance or is gone.
	Complete bool
	// Inspection answers an Inspect call; nil for other calls.
	Inspection *Inspection
	// Access answers a ReadAccess call; nil for other calls.
	Access *AccessTable
}
