package record

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// Action is one decision of a plan: the change to make, and why.
type Action struct {
	// Command makes the change.
	Command Command
	// Reason explains the decision.
	Reason Reason
}

// Reason explains a decision to an operator.
type Reason struct {
	// Inputs are the figures that the rule was applied to.
	Inputs string
	// Rule is the rule that decided.
	Rule string
	// Change is what would change the decision.
	Change string
}

// String returns the reason on one line.
func (r Reason) String() string {
	return r.Rule + " (" + r.Inputs + ")"
}

// BudgetChange counts bad time of a service, or reserves it for work under way.
type BudgetChange struct {
	// Service is the service's name.
	Service string
	// From and Until bound the time that was counted; what was counted already is refused.
	From, Until time.Time
	// BadMS is the bad time in it, in milliseconds.
	BadMS int64
	// WindowDays is the length of the service's window.
	WindowDays int
	// Work names work that bad time is reserved for; empty for none.
	Work string
	// ReserveMS is the work's reservation in milliseconds; 0 ends it.
	ReserveMS int64
	// ReserveUntil is when the reservation lapses.
	ReserveUntil time.Time
}

// WaveStep is what a change does to a wave; the zero value is not valid.
type WaveStep int

const (
	// WaveStart begins a wave.
	WaveStart WaveStep = iota + 1 // start
	// WaveHalt stops a wave for as long as a budget or capacity demands.
	WaveHalt // halt
	// WaveContinue ends a halt.
	WaveContinue // continue
	// WaveStop stops a wave whose VMs fail more than others.
	WaveStop // stop
	// WaveHold is an operator's halt.
	WaveHold // hold
	// WaveResume is an operator's end of a hold or a stop.
	WaveResume // resume
	// WaveCancel ends a wave early.
	WaveCancel // cancel
	// WaveFinish ends a wave whose VMs were all maintained.
	WaveFinish // finish
)

// WaveChange moves a wave through its life.
type WaveChange struct {
	// Step is what the change does.
	Step WaveStep
	// Wave is the wave's name.
	Wave string
	// Urgent, Pool, DataCentre and Cutoff describe a wave that starts.
	Urgent     bool
	Pool       string
	DataCentre string
	Cutoff     time.Time
	// Cause tells an operator why.
	Cause string
}

// JobStep is what a change does to a job; the zero value is not valid.
type JobStep int

const (
	// JobSubmit adds a job.
	JobSubmit JobStep = iota + 1 // submit
	// JobPlace gives a waiting job to a worker under a lease.
	JobPlace // place
	// JobRenew extends the lease and records the size in use.
	JobRenew // renew
	// JobThrottle takes a running job's processor time away.
	JobThrottle // throttle
	// JobRestore gives a throttled job its processor time back.
	JobRestore // restore
	// JobCheckpoint takes a job off its worker; it waits and goes on later.
	JobCheckpoint // checkpoint
	// JobFail records that the job failed on its worker.
	JobFail // fail
	// JobHold keeps a job from being tried again.
	JobHold // hold
	// JobRelease ends a hold.
	JobRelease // release
	// JobEnd removes a job that is done.
	JobEnd // end
	// JobLost records that a worker was lost; it is refused before the job's lease has ended.
	JobLost // lost
	// JobCancel removes jobs, a whole wave of them in one record.
	JobCancel // cancel
)

// JobChange moves a job through its life.
type JobChange struct {
	// Step is what the change does.
	Step JobStep
	// Names are the jobs; more than one only for a cancellation and for renewals without a size.
	Names []string
	// Attempt is the job's attempt that the change builds on; 0 for any.
	Attempt uint64
	// Job describes a job that is submitted.
	Job fleet.Job
	// VM is the worker to place the job on.
	VM string
	// LeaseUntil is when the worker must have ended the job.
	LeaseUntil time.Time
	// Used is the size in use as the platform reported it.
	Used fleet.Size
	// Cause tells an operator why.
	Cause string
}

// DemandChange records what a pool's services ask of it.
type DemandChange struct {
	// Demand is the demand as learned.
	Demand fleet.Demand
}
