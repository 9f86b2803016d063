package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
)

// proposals collects changes into commands for the log.
type proposals struct {
	pending  batch.Change
	waiting  []func(ok bool)
	inFlight int
}

// commit calls done once all changes collected so far are applied, or may be lost. If they are applied, a quorum has shown since the
// call that this process leads.
func (s *Scheduler) commit(done func(ok bool)) {
	s.proposals.waiting = append(s.proposals.waiting, done)
	s.flush()
}

// flush proposes the collected changes, unless too many commands are in flight.
func (s *Scheduler) flush() {
	c := &s.proposals
	if c.inFlight >= maxProposalsInFlight || (c.pending.IsEmpty() && len(c.waiting) == 0) {
		return
	}
	change, waiting, term := c.pending, c.waiting, s.term
	c.pending, c.waiting = batch.Change{}, nil
	if change.IsEmpty() {
		// The changes that these calls wait for are in an earlier command, or nothing changed.
		s.whenConfirmed(func(ok bool) { notifyAll(waiting, ok) })
		return
	}
	c.inFlight++
	change.Leader = batch.Leader{Name: s.options.ProcessName, Term: term, UptimeMs: s.now()}
	err := s.options.Log.ProposeNow(record.Command{Time: s.options.Clock.Now(), Batch: &change}, func(err error) {
		if s.term == term && s.active {
			s.proposals.inFlight--
			s.endUnsentStarts(change.Starts)
			s.refreshChangedJobs()
		}
		if err != nil {
			commandsLostTotal.Inc()
			s.options.Logger.Info("record_lost", zap.Uint64("term", term), zap.Error(err))
		}
		s.clearStarting(change.Starts)
		notifyAll(waiting, err == nil)
		if s.active {
			s.flush()
		}
	})
	if err == nil {
		return
	}
	s.options.Logger.Info("record_refused", zap.Uint64("term", term), zap.Error(err))
	c.inFlight--
	c.pending.Ends = append(c.pending.Ends, unreported(change.Ends)...)
	c.pending.Crashes = append(c.pending.Crashes, change.Crashes...)
	c.pending.BegunLate = append(c.pending.BegunLate, change.BegunLate...)
	s.clearStarting(change.Starts)
	for _, start := range change.Starts {
		s.refreshJob(start.Task.Job)
	}
	notifyAll(waiting, false)
}

// unreported returns the ends of attempts that the leader gave up; it does so once, while a worker reports an end until it is
// acknowledged.
func unreported(ends []batch.AttemptEnd) []batch.AttemptEnd {
	return slices.DeleteFunc(ends, func(end batch.AttemptEnd) bool { return end.Reported })
}

func notifyAll(waiting []func(bool), ok bool) {
	for _, done := range waiting {
		done(ok)
	}
}

// endUnsentStarts ends attempts that were committed after the incarnation of their worker had ended: their orders aren't sent.
func (s *Scheduler) endUnsentStarts(starts []batch.AttemptStart) {
	for _, start := range starts {
		if w := s.workers[start.Worker]; w != nil && !w.left && w.incarnation == start.Incarnation {
			continue
		}
		s.endUnsent(start.Worker, start.Task, start.Attempt)
	}
}

// endUnsentOrders ends attempts whose orders were left out of a reply that came too late.
func (s *Scheduler) endUnsentOrders(w *worker, orders []batch.StartOrder) {
	for _, o := range orders {
		s.endUnsent(w.id, o.Task, o.Attempt)
	}
}

func (s *Scheduler) endUnsent(worker string, id batch.TaskID, attempt int) {
	if _, t := s.findTask(id); t == nil || t.FindAttempt(attempt) == nil {
		return
	}
	s.options.Logger.Info("attempt_not_sent", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("index", id.Index),
		zap.Int("attempt", attempt), zap.String("worker", worker))
	s.endAttempt(batch.AttemptEnd{Task: id, Attempt: attempt, Kind: batch.EndWorkerLost})
}

// clearStarting removes starts from the tasks that are starting: they are applied or never will be.
func (s *Scheduler) clearStarting(starts []batch.AttemptStart) {
	for _, start := range starts {
		if w := s.workers[s.startingWorker[start.Task]]; w != nil {
			w.starting = max(0, w.starting-1)
		}
		s.accounts.Settle(start.Task)
		delete(s.starting, start.Task)
		delete(s.startingWorker, start.Task)
	}
}
