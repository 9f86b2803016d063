package fleet

import "time"

// JobPhase is the stage of a job's life cycle; the zero value is not valid.
type JobPhase int

const (
	// JobWaiting means that the job waits for a worker.
	JobWaiting JobPhase = iota + 1 // waiting
	// JobRunning means that a worker runs the job under a lease.
	JobRunning // running
	// JobThrottled means that a worker keeps the job loaded with almost no processor time.
	JobThrottled // throttled
	// JobHeld means that the job is not started again until it is released.
	JobHeld // held
)

// Job is a unit of work that runs on one worker under a lease.
type Job struct {
	// Name identifies the job.
	Name string
	// Team is the name of the team that owns the job and whose quota it uses.
	Team string
	// Pool is the name of the pool that the job runs in.
	Pool string
	// Urgent means that the job must start within two seconds.
	Urgent bool
	// Checkpoint means that the job can be stopped and continued on another worker.
	Checkpoint bool
	// Declared is the size that the team declared; actual use may differ widely.
	Declared Size
	// Used is the largest size in use that the platform reported, with some lag; zero if none was reported yet.
	Used Size
	// Phase is the stage of the job's life cycle.
	Phase JobPhase
	// Cause is the reason for the phase, in words for an operator.
	Cause string
	// Attempt counts the starts of the job; 0 before the first.
	Attempt uint64
	// Version rises with each change of the phase.
	Version uint64
	// Submitted is the time of submission.
	Submitted time.Time
	// Since is when the phase began.
	Since time.Time
	// VM is the name of the worker that the job was placed on; empty while it waits.
	VM string
	// LeaseUntil is when the worker must have stopped the job unless the lease is renewed.
	LeaseUntil time.Time
}

// JobFailure records one failure of a job on a worker.
type JobFailure struct {
	// Job is the name of the job.
	Job string
	// VM is the name of the worker that the job failed on.
	VM string
	// Time is when the job failed.
	Time time.Time
}

// SpareRunnerTeam is the team of the jobs that run as spare runners of services.
const SpareRunnerTeam = "spare-runners"
