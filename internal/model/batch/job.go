package batch

import (
	"github.com/cockroachdb/errors"
)

// Phase is the stage of a job's life cycle; the zero value is not valid.
type Phase int

const (
	// PhaseQueued means that no worker has begun a task, though tasks may have been ordered.
	PhaseQueued Phase = iota + 1 // queued
	// PhaseRunning means that a worker has begun a task.
	PhaseRunning // running
	// PhaseCompleted means that all tasks are done.
	PhaseCompleted // completed
	// PhaseFailed means that a task or gang has failed as often as the queue allows, or that workers crashed under it.
	PhaseFailed // failed
	// PhaseCancelled means that a caller or an operator cancelled the job.
	PhaseCancelled // cancelled
)

// IsTerminal reports whether the phase is terminal: completed, failed or cancelled.
func (p Phase) IsTerminal() bool {
	return p == PhaseCompleted || p == PhaseFailed || p == PhaseCancelled
}

// EndKind is the result of an attempt; the zero value is not valid.
type EndKind int

const (
	// EndDone means that the task is complete.
	EndDone EndKind = iota + 1 // done
	// EndFailed means that the attempt failed, because of the task or of its worker.
	EndFailed // failed
	// EndStopped means that the leader ordered the attempt to stop.
	EndStopped // stopped
	// EndLeaseExpired means that the lease of the attempt expired.
	EndLeaseExpired // lapsed
	// EndGangBroken means that another member of the attempt's gang ended.
	EndGangBroken // broken
	// EndGangTimeout means that the other members of the attempt's gang did not start in time.
	EndGangTimeout // alone
	// EndRefused means that the worker refused to start the attempt.
	EndRefused // refused
	// EndWorkerLost means that the worker of the attempt is gone, or never received the order to start it.
	EndWorkerLost // lost
)

// ShowsBegun reports whether the result shows that the worker had begun the task; for a member of a gang, that all
// members had begun.
func (k EndKind) ShowsBegun(gang bool) bool {
	switch k {
	case EndDone, EndFailed:
		return true
	case EndStopped, EndLeaseExpired:
		return !gang
	default:
		return false
	}
}

// Job is a job as it was submitted and accepted.
type Job struct {
	// ID is the idempotency key that the caller chose: 16 hexadecimal digits. A resend carries the same one.
	ID string
	// Queue is the queue that accepted the job.
	Queue QueueKey
	// Pool is the pool of the queue when the job was accepted.
	Pool string
	// Text is passed to each task.
	Text string
	// Steps run in the order that their After fields demand.
	Steps []Step
	// RunCount is the number of occurrences: how often all steps run. 0 is for one run, due at once.
	RunCount int
	// FirstDueMs is when the first occurrence is due, in Unix milliseconds; unused if RunCount is 0.
	FirstDueMs int64
	// IntervalMs is the time from one occurrence to the next, in milliseconds.
	IntervalMs int64
	// MaxAttempts is that of the queue when the job was accepted; it applies if the queue is removed later.
	MaxAttempts int
	// AcceptedMs is when the leader accepted the job, in Unix milliseconds.
	AcceptedMs int64
	// Account is the name of the client account that submitted the job; empty for none.
	Account string
	// FirstSubmittedMs is when the job was first submitted, in Unix milliseconds, if it was refused then; 0 otherwise.
	FirstSubmittedMs int64
}

const (
	// idDigits is the length of a job's identity, in hexadecimal digits.
	idDigits = 16
	// maxTextBytes bounds the text of a job.
	maxTextBytes = 4000
	// maxTasks bounds the tasks of one job over all occurrences.
	maxTasks = 20000
	// maxAmount bounds an amount of a resource, far above any VM: sums over all jobs stay within 64 bits.
	maxAmount = 1_000_000_000
	// maxSpanMs bounds times and durations, in milliseconds: the year 9999.
	maxSpanMs = 253_402_300_799_999
	// maxWork bounds the estimated work of a job, in thousandths of a core times milliseconds; in core-milliseconds, and
	// five times as much, it fits in 64 bits.
	maxWork = 1e21
)

// ValidID reports whether id has the form of a job's identity: 16 hexadecimal digits in either case.
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

// Occurrences returns how often the steps run; at least 1.
func (j *Job) Occurrences() int {
	return max(1, j.RunCount)
}

// DueMs returns when an occurrence may start, in Unix milliseconds; 0 means at once.
func (j *Job) DueMs(occurrence int) int64 {
	if j.RunCount <= 0 {
		return 0
	}
	return j.FirstDueMs + int64(occurrence)*j.IntervalMs
}

// SubmittedMs returns when the time to the job's SLO begins, in Unix milliseconds: at its first submission, also if that was
// refused.
func (j *Job) SubmittedMs() int64 {
	if j.FirstSubmittedMs > 0 {
		return j.FirstSubmittedMs
	}
	return j.AcceptedMs
}

// Check returns an error that says why the job can't be accepted, or nil.
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
	if err := j.checkTimes(); err != nil {
		return err
	}
	if work := j.estimatedWork(); work > maxWork {
		return errors.Newf("the job's estimated work is %g milli-core-ms; %g are allowed", work, float64(maxWork))
	}
	tasksLeft := maxTasks / j.Occurrences()
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		if j.Steps[i].Count > tasksLeft {
			return errors.Newf("the job has more tasks than the %d that are allowed", maxTasks)
		}
		tasksLeft -= j.Steps[i].Count
	}
	return nil
}

// estimatedWork returns the processor time that all tasks need, in thousandths of a core times milliseconds.
func (j *Job) estimatedWork() float64 {
	work := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		work += float64(s.Count) * float64(s.EstimateMs) * float64(s.Need.CPUMilli)
	}
	return work * float64(j.Occurrences())
}

// checkTimes returns an error if an occurrence would be due outside the range of times.
func (j *Job) checkTimes() error {
	if j.RunCount <= 0 {
		return nil
	}
	if max(j.FirstDueMs, j.IntervalMs) > maxSpanMs || min(j.FirstDueMs, j.IntervalMs) < 0 {
		return errors.Newf("the job is due at %d ms and every %d ms; 0 to %d are allowed", j.FirstDueMs, j.IntervalMs, int64(maxSpanMs))
	}
	return nil
}

// TaskID identifies one task.
type TaskID struct {
	// Job is the identity of the job.
	Job string
	// Occurrence is the number of the job's run, from 0.
	Occurrence int
	// Step is the index of the step in the job.
	Step int
	// Index is the index of the task in its step.
	Index int
}
