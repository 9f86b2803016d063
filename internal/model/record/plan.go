package record

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// Action is one decision of a planner: the change to make and the reason for it.
type Action struct {
	// Command is the change to propose.
	Command Command
	// Reason explains the decision to an operator.
	Reason Reason
}

// Reason explains a decision to an operator.
type Reason struct {
	// Inputs are the values that the rule was applied to.
	Inputs string
	// Rule is the rule that decided.
	Rule string
	// Change says what would have to change for another decision.
	Change string
}

// String returns "rule (inputs)" on one line.
func (r Reason) String() string {
	return r.Rule + " (" + r.Inputs + ")"
}

// BudgetChange counts bad time of a service, or reserves it for work under way.
type BudgetChange struct {
	// Service is the name of the service.
	Service string
	// From and Until bound the interval that is counted. The change is refused if part of it was counted before.
	From, Until time.Time
	// BadMS is the bad time in the interval, in milliseconds.
	BadMS int64
	// WindowDays is the length of the service's budget window, in days.
	WindowDays int
	// Work is the name of the work that bad time is reserved for; empty for no reservation.
	Work string
	// ReserveMS is the reservation of the work in milliseconds; 0 ends it.
	ReserveMS int64
	// ReserveUntil is when the reservation expires.
	ReserveUntil time.Time
}

// WaveStep is the kind of a change to a wave; the zero value is not valid.
type WaveStep int

const (
	// WaveStart begins a wave.
	WaveStart WaveStep = iota + 1 // start
	// WaveHalt pauses a wave for as long as an availability budget or a lack of capacity demands.
	WaveHalt // halt
	// WaveContinue ends the pause of WaveHalt.
	WaveContinue // continue
	// WaveStop stops a wave whose VMs fail more often than others.
	WaveStop // stop
	// WaveHold pauses a wave by an operator's order.
	WaveHold // hold
	// WaveResume ends a hold or a stop by an operator's order.
	WaveResume // resume
	// WaveCancel ends a wave early.
	WaveCancel // cancel
	// WaveFinish ends a wave whose VMs were all maintained.
	WaveFinish // finish
)

// WaveChange starts a maintenance wave or changes its phase.
type WaveChange struct {
	// Step is the kind of the change.
	Step WaveStep
	// Wave is the name of the wave.
	Wave string
	// Urgent, Pool, DataCentre and Cutoff are those of a wave to start; unused for other steps.
	Urgent     bool
	Pool       string
	DataCentre string
	Cutoff     time.Time
	// Cause is the reason for the change, in words for an operator.
	Cause string
}

// JobStep is the kind of a change to a job; the zero value is not valid.
type JobStep int

const (
	// JobSubmit adds a job.
	JobSubmit JobStep = iota + 1 // submit
	// JobPlace assigns a waiting job to a worker under a lease.
	JobPlace // place
	// JobRenew extends the lease of a placed job and records the size in use.
	JobRenew // renew
	// JobThrottle withdraws almost all processor time from a running job.
	JobThrottle // throttle
	// JobRestore ends the throttling of a job.
	JobRestore // restore
	// JobCheckpoint removes a job from its worker; the job waits and continues later from its checkpoint.
	JobCheckpoint // checkpoint
	// JobFail records that the job failed on its worker.
	JobFail // fail
	// JobHold prevents a job from being started again.
	JobHold // hold
	// JobRelease ends a hold.
	JobRelease // release
	// JobEnd removes a job that is complete.
	JobEnd // end
	// JobLost records that the job's worker was lost. It is refused before the job's lease has expired.
	JobLost // lost
	// JobCancel removes jobs before they are complete, many of them in one command.
	JobCancel // cancel
)

// JobChange adds, removes or changes jobs.
type JobChange struct {
	// Step is the kind of the change.
	Step JobStep
	// Names are the names of the jobs. More than one is allowed only for cancellations and for renewals without a size.
	Names []string
	// Attempt is the job's attempt that the change is based on; 0 for any.
	Attempt uint64
	// Job is the job to add, for a submission.
	Job fleet.Job
	// VM is the name of the worker to place the job on.
	VM string
	// LeaseUntil is when the worker must have stopped the job unless the lease is renewed.
	LeaseUntil time.Time
	// Used is the size in use, as the platform reported it.
	Used fleet.Size
	// Cause is the reason for the change, in words for an operator.
	Cause string
}

// DemandChange records the load that a pool's services put on it.
type DemandChange struct {
	// Demand replaces the recorded demand of its pool; an older one is refused.
	Demand fleet.Demand
}
