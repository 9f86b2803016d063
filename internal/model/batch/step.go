package batch

import (
	"github.com/cockroachdb/errors"
)

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks; at least 1.
	Count int
	// Need is the resources that each task uses on a worker.
	Need Resources
	// EstimateMs is the caller's rough estimate of the duration of one task, in milliseconds.
	EstimateMs int64
	// After are the indexes of earlier steps that must be complete before this one starts.
	After []int
	// Checkpointing means that tasks save checkpoints from which a later attempt can continue.
	Checkpointing bool
	// Gang means that the tasks run only all at the same time (gang scheduling).
	Gang bool
	// SameRack means that the gang is slow when it is spread over more than one rack.
	SameRack bool
	// RequiredLabel is a label that a worker must have to run the tasks; empty for any worker.
	RequiredLabel string
	// DataRack is the rack that is closest to the step's data; empty for no preference.
	DataRack string
	// MaxPerWorker is the most tasks of the step that run on one worker; 0 for no limit.
	MaxPerWorker int
	// Speculative means that a speculative copy of a straggler may run beside it.
	Speculative bool
	// LongRunning means that the tasks never complete and run until the job is cancelled.
	LongRunning bool
	// Image is the name of the program image that the tasks run.
	Image string
	// TailLatencyTargetMs is the target for the tail latency of a serving task, in milliseconds; 0 for none.
	TailLatencyTargetMs int64
	// BestEffort means that the tasks use only the processor time that other tasks leave idle.
	BestEffort bool
	// MaxUnavailable is how many tasks of a long-running step the system itself may take away at one time.
	MaxUnavailable int
}

// ReservedResources returns what one task of the step reserves on a worker: its need, without processor time where it
// uses only what other tasks leave idle.
func (s *Step) ReservedResources() Resources {
	need := s.Need
	if s.BestEffort {
		need.CPUMilli = 0
	}
	return need
}

// check returns an error that says why a step can't be accepted as the one with an index, or nil.
func (s *Step) check(index int) error {
	if s.Count < 1 || !s.Need.InRange() {
		return errors.Newf("step %d has a count below 1 or a need outside of 0 to %d", index, maxAmount)
	}
	if s.EstimateMs > maxSpanMs {
		return errors.Newf("step %d has an estimate of %d ms; %d are allowed", index, s.EstimateMs, int64(maxSpanMs))
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errors.Newf("step %d comes after step %d, which is no earlier one", index, a)
		}
	}
	return nil
}
