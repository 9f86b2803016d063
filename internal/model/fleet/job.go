package fleet

import "time"

// JobPhase is where a job is in its life; the zero value is not valid.
type JobPhase int

const (
	// JobWaiting means that the job waits for a worker.
	JobWaiting JobPhase = iota + 1 // waiting
	// JobRunning means that a worker runs the job under a lease.
	JobRunning // running
	// JobThrottled means that a worker holds the job with next to no processor time.
	JobThrottled // throttled
	// JobHeld means that the job is not tried again until it is released.
	JobHeld // held
)

// Job is a piece of work that runs on one worker under a lease.
type Job struct {
	// Name is the job's name.
	Name string
	// Team is the team that the job belongs to.
	Team string
	// Pool is the pool that the job runs in.
	Pool string
	// Urgent means that the job starts within two seconds.
	Urgent bool
	// Checkpoint means that the job can be stopped and go on elsewhere.
	Checkpoint bool
	// Declared is the size that the team gave; it may be far from the truth.
	Declared Size
	// Used is the largest size that the platform reported, with its lag; zero where none is known yet.
	Used Size
	// Phase is where the job is in its life.
	Phase JobPhase
	// Cause tells an operator why the job is in its phase.
	Cause string
	// Attempt counts the job's starts.
	Attempt uint64
	// Version rises with each change of the job's phase.
	Version uint64
	// Submitted is when the job was submitted.
	Submitted time.Time
	// Since is when the phase began.
	Since time.Time
	// VM is the worker that the job was placed on; empty while it waits.
	VM string
	// LeaseUntil is when the worker must have ended the job unless its lease was renewed.
	LeaseUntil time.Time
}

// JobFailure is one failure of one job on one worker.
type JobFailure struct {
	// Job is the job's name.
	Job string
	// VM is the worker that the job failed on.
	VM string
	// Time is when it failed.
	Time time.Time
}

// RunnerTeam is the team of the jobs that are spare runners.
const RunnerTeam = "spare-runners"
