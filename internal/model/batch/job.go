package batch

import (
	"github.com/cockroachdb/errors"
)

// Phase is how far a job has come; the zero value is not valid.
type Phase int

const (
	// PhaseQueued means that no task has started.
	PhaseQueued Phase = iota + 1 // queued
	// PhaseRunning means that a task has started.
	PhaseRunning // running
	// PhaseCompleted means that all tasks are done.
	PhaseCompleted // completed
	// PhaseFailed means that a task has failed too often.
	PhaseFailed // failed
	// PhaseCancelled means that the caller gave the job up.
	PhaseCancelled // cancelled
)

// Over says whether the job has ended for good.
func (p Phase) Over() bool {
	return p == PhaseCompleted || p == PhaseFailed || p == PhaseCancelled
}

// EndKind is how an attempt ended; the zero value is not valid.
type EndKind int

const (
	// EndDone means that the task has done its work.
	EndDone EndKind = iota + 1 // done
	// EndFailed means that the attempt failed, by its own fault or its worker's.
	EndFailed // failed
	// EndStopped means that it was ordered to stop.
	EndStopped // stopped
	// EndLapsed means that its lease ran out.
	EndLapsed // lapsed
	// EndBroken means that another member of its gang ended.
	EndBroken // broken
	// EndAlone means that the other members of its gang didn't come in time.
	EndAlone // alone
	// EndRefused means that the worker didn't start it.
	EndRefused // refused
	// EndLost means that its worker is gone, or never got the order.
	EndLost // lost
)

// Step is a set of equal tasks of a job.
type Step struct {
	// Count is the count of tasks.
	Count int
	// Need is what each task takes of a worker.
	Need Capacity
	// EstimateMs is the caller's rough estimate of a task's duration, in milliseconds.
	EstimateMs int64
	// After are earlier steps that must be done first.
	After []int
	// Checkpointing means that tasks save their progress.
	Checkpointing bool
	// Gang means that the tasks work only together.
	Gang bool
	// SameRack means that the gang is slow over more than one rack.
	SameRack bool
	// RequiredLabel is a label that the worker must have; empty for any.
	RequiredLabel string
	// DataRack is the rack near the step's data; empty for none.
	DataRack string
	// PerWorker is the most tasks of the step on one worker; 0 for any.
	PerWorker int
	// Speculative means that copies may run side by side.
	Speculative bool
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
	// Image names what the tasks run.
	Image string
	// TailTargetMs bounds the tail of a serving task's response times; 0 for none.
	TailTargetMs int64
	// Fills means that the tasks take the processor time that others leave.
	Fills bool
	// AllowedMisses is how many tasks of a lasting step may be away at once by our own doing.
	AllowedMisses int
}

// Capacity is what a worker has, or what a task needs.
type Capacity struct {
	// CPUMilli is in thousandths of a core.
	CPUMilli int64
	// MemoryMB is in megabytes.
	MemoryMB int64
	// Accelerators is a count.
	Accelerators int64
}

// Holds says whether a need fits.
func (c Capacity) Holds(need Capacity) bool {
	return need.CPUMilli <= c.CPUMilli && need.MemoryMB <= c.MemoryMB && need.Accelerators <= c.Accelerators
}

// Less returns what is left after a need.
func (c Capacity) Less(need Capacity) Capacity {
	return Capacity{
		CPUMilli: c.CPUMilli - need.CPUMilli, MemoryMB: c.MemoryMB - need.MemoryMB,
		Accelerators: c.Accelerators - need.Accelerators,
	}
}

// Room returns what a task of the step takes of a worker's capacity.
func (s *Step) Room() Capacity {
	need := s.Need
	if s.Fills {
		need.CPUMilli = 0
	}
	return need
}

// Job is a job as it was submitted.
type Job struct {
	// ID is chosen by the caller; a resend carries the same one.
	ID string
	// Queue is the queue that took it.
	Queue QueueKey
	// Pool is the pool of the queue when the job was taken.
	Pool string
	// Text is handed to each task.
	Text string
	// Steps are its steps.
	Steps []Step
	// Times is how often the steps run; 0 for once, at once.
	Times int
	// FirstDueMs is when the first occurrence is due, in Unix milliseconds.
	FirstDueMs int64
	// IntervalMs is the time between occurrences, in milliseconds.
	IntervalMs int64
	// MaxAttempts is the queue's count of failures when the job was taken.
	MaxAttempts int
	// AcceptedMs is when the leader took the job, in Unix milliseconds.
	AcceptedMs int64
}

const (
	// idDigits is the length of a job's identity.
	idDigits = 16
	// maxTextBytes bounds a job's text.
	maxTextBytes = 4000
	// maxTasks bounds the tasks of one job, over all occurrences.
	maxTasks = 20000
)

// ValidID says whether a text is a job's identity: 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, r := range id {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	return max(1, j.Times)
}

// Due returns when an occurrence may start, in Unix milliseconds; 0 for at once.
func (j *Job) Due(occurrence int) int64 {
	if j.Times <= 0 {
		return 0
	}
	return j.FirstDueMs + int64(occurrence)*j.IntervalMs
}

// Check returns why a job can't be taken, or nil.
func (j *Job) Check() error {
	if !ValidID(j.ID) {
		return errors.Newf("the job's id %q is not %d hexadecimal digits", j.ID, idDigits)
	}
	if len(j.Text) > maxTextBytes {
		return errors.Newf("the job's text has %d bytes; %d are allowed", len(j.Text), maxTextBytes)
	}
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Need.CPUMilli < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
			return errors.Newf("step %d has a count below 1 or a need below 0", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return errors.Newf("step %d comes after step %d, which is no earlier one", i, a)
			}
		}
		tasks += s.Count
	}
	if tasks*j.Occurrences() > maxTasks {
		return errors.Newf("the job has %d tasks; %d are allowed", tasks*j.Occurrences(), maxTasks)
	}
	return nil
}

// TaskID names one task.
type TaskID struct {
	// Job is the job's identity.
	Job string
	// Occurrence counts from 0.
	Occurrence int
	// Step counts from 0.
	Step int
	// Index counts from 0.
	Index int
}
