package sched

import (
	"slices"

	"cowslipstack/internal/model/batch"
)

// unfitReason is why a worker doesn't take a task; the zero value means that it does.
type unfitReason int

const (
	fit              unfitReason = iota // none
	unfitSilent                         // silent
	unfitDraining                       // draining
	unfitQuarantined                    // quarantined
	unfitProbation                      // on_probation
	unfitLeaving                        // leaving
	unfitVM                             // awaits_vm
	unfitRestarted                      // just_restarted
	unfitTrial                          // starts_suspect
	unfitKeptFree                       // kept_free
	unfitRoom                           // no_room
	unfitLabel                          // label
	unfitApart                          // max_per_worker
	unfitRack                           // rack
)

// isBrief reports whether a worker takes a task now, or will as soon as it has reported.
func (r unfitReason) isBrief() bool {
	return r == fit || r == unfitTrial || r == unfitVM || r == unfitRestarted
}

// closedTo returns why a worker takes no tasks at all, or only certain ones.
func (s *Scheduler) closedTo(w *worker, now int64) unfitReason {
	switch {
	case w.inherited || now-w.heardMs >= maxSilenceMs:
		return unfitSilent
	case w.draining || w.left:
		return unfitDraining
	case now < w.formerRepliesEndMs:
		return unfitRestarted
	case now < w.quarantineUntilMs:
		return unfitQuarantined
	case s.fleet.leaving(w):
		return unfitLeaving
	case w.onProbation(now):
		return unfitProbation
	case s.startsSuspect(w):
		return unfitTrial
	case w.keptFree:
		return unfitKeptFree
	case s.awaitsVM(w, now):
		return unfitVM
	}
	return fit
}

// unfitFor returns why a worker doesn't take a task, as far as that depends on the worker.
func (s *Scheduler) unfitFor(w *worker, job *activeJob, id batch.TaskID, now int64) unfitReason {
	if reason := s.closedTo(w, now); reason != fit {
		return reason
	}
	return s.unfitRoomFor(w, job, id)
}

// unfitRoomFor returns which of a task's own requirements a worker doesn't meet.
func (s *Scheduler) unfitRoomFor(w *worker, job *activeJob, id batch.TaskID) unfitReason {
	step := &job.state.Spec.Steps[id.Step]
	switch {
	case !w.free.Covers(step.ReservedResources()):
		return unfitRoom
	case step.RequiredLabel != "" && !slices.Contains(w.labels, step.RequiredLabel):
		return unfitLabel
	case step.MaxPerWorker > 0 && s.countOn(w, job.state, id) >= step.MaxPerWorker:
		return unfitApart
	case step.DataRack != "" && step.DataRack != w.rack && !s.remoteAllowed(job, step):
		return unfitRack
	}
	return fit
}
