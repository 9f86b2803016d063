package sched

import (
	"fmt"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// permits are the permits to run steps of queues that require advice.
type permits struct {
	granted map[permitKey]permit
	// requested are the steps for which a request is in flight.
	requested map[stepKey]bool
	// denied are the workers that may not run a step.
	denied map[permitKey]bool
}

// permitKey identifies a step and an incarnation of a worker.
type permitKey struct {
	step        stepKey
	worker      string
	incarnation int64
}

type permit struct {
	ticket  string
	validMs int64
}

const (
	// maxWorkersPerRequest limits the workers in one request for advice: the answer takes longer for each.
	maxWorkersPerRequest = 8
	// permitMarginMs is how long before its expiry a permit is no longer used, in milliseconds.
	permitMarginMs = 400
	// maxPermits limits the permits and denials that are remembered; beyond it all are dropped.
	maxPermits = 4096
)

func newPermits() permits {
	return permits{granted: map[permitKey]permit{}, requested: map[stepKey]bool{}, denied: map[permitKey]bool{}}
}

// needsPermit reports whether a job's queue requires advice.
func (s *Scheduler) needsPermit(j *jobs.Job) bool {
	q := s.currentConfiguration().Queue(j.Spec.Queue)
	return q != nil && q.RequiresPermit
}

// permitTicket returns the ticket of a worker's permit for a step, or requests one.
func (s *Scheduler) permitTicket(w *worker, j *jobs.Job, id batch.TaskID, now int64) (string, bool) {
	step := stepOf(id)
	key := permitKey{step: step, worker: w.id, incarnation: w.incarnation}
	if p, ok := s.permits.granted[key]; ok && p.validMs > now+permitMarginMs {
		return p.ticket, true
	}
	if !s.permits.denied[key] && !s.permits.requested[step] {
		s.requestPermits(j, step, w, now)
	}
	return "", false
}

// requestPermits asks which workers may run a step: the given worker first, then others whose capacity is large
// enough.
func (s *Scheduler) requestPermits(j *jobs.Job, step stepKey, first *worker, now int64) {
	candidates := []string{first.id}
	incarnations := map[string]int64{first.id: first.incarnation}
	need := j.Spec.Steps[step.step].ReservedResources()
	for id, w := range s.workers {
		key := permitKey{step: step, worker: id, incarnation: w.incarnation}
		if len(candidates) >= maxWorkersPerRequest || id == first.id || w.pool != first.pool ||
			!w.usable(now) || s.permits.denied[key] {
			continue
		}
		if _, granted := s.permits.granted[key]; !granted && w.capacity.Covers(need) {
			candidates = append(candidates, id)
			incarnations[id] = w.incarnation
		}
	}
	name := fmt.Sprintf("%s.%d.%d", step.job, step.occurrence, step.step)
	term := s.term
	sent := s.options.SendOrder(Order{Kind: OrderAdvise, Step: name, Workers: candidates, Term: term, Done: func(r OrderResult) {
		if s.term != term {
			return
		}
		delete(s.permits.requested, step)
		if r.Code != OrderDone || r.Detail != "" {
			s.options.Logger.Info("permits_unread", zap.String("step", name), zap.Stringer("code", r.Code), zap.String("detail", r.Detail))
		}
		if r.Code == OrderDone {
			s.applyPermits(step, incarnations, &r, now)
		}
	}})
	s.permits.requested[step] = sent
}

// applyPermits records which of the incarnations of some workers, asked for at uptime asked, may run a step.
func (s *Scheduler) applyPermits(step stepKey, incarnations map[string]int64, r *OrderResult, asked int64) {
	if len(s.permits.granted)+len(s.permits.denied) > maxPermits {
		s.permits = newPermits()
	}
	for id, incarnation := range incarnations {
		key := permitKey{step: step, worker: id, incarnation: incarnation}
		if t, ok := r.Tickets[id]; ok {
			s.permits.granted[key] = permit{ticket: t, validMs: asked + r.ValidMs}
		} else {
			s.permits.denied[key] = true
		}
	}
	s.refreshJob(step.job)
}
