package fleet

import "time"

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
	// Used is the size as the platform last reported it, with its lag.
	Used Size
	// VM is the worker that the job was placed on; empty while it waits.
	VM string
	// LeaseUntil is when the worker must have ended the job unless its lease was renewed.
	LeaseUntil time.Time
}
