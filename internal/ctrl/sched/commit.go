package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
)

// commits gathers changes into records of the log.
type commits struct {
	next     batch.Change
	waiting  []func(ok bool)
	inFlight int
}

// freshness is what is known of the leadership.
type freshness struct {
	// confirmedMs is when the last confirmed question was asked, by uptime.
	confirmedMs int64
	asking      bool
	waiting     []func(ok bool)
}

// commit calls done once all that was added to the next record so far is applied, or may be lost.
func (e *Scheduler) commit(done func(ok bool)) {
	e.commits.waiting = append(e.commits.waiting, done)
	e.flush()
}

// flush proposes the gathered changes, where not too many records are under way.
func (e *Scheduler) flush() {
	c := &e.commits
	if c.inFlight >= commitsInFlight || (c.next.Empty() && len(c.waiting) == 0) {
		return
	}
	change, waiting, term := c.next, c.waiting, e.term
	c.next, c.waiting = batch.Change{}, nil
	if change.Empty() {
		// What these calls wait for is in an earlier record, or nothing changed: a fresh confirmation will do.
		e.whenFresh(func(ok bool) { finishAll(waiting, ok) })
		return
	}
	c.inFlight++
	change.Leader = batch.Leader{Name: e.options.Holder, Term: term, UptimeMs: e.now()}
	err := e.options.Log.ProposeNow(record.Command{Time: e.options.Clock.Now(), Batch: &change}, func(err error) {
		if e.term == term && e.active {
			e.commits.inFlight--
			e.absorb()
		}
		if err != nil {
			lostTotal.Inc()
			e.options.Logger.Info("record_lost", zap.Uint64("term", term), zap.Error(err))
		}
		e.started(change.Starts)
		finishAll(waiting, err == nil)
		if e.active {
			e.flush()
		}
	})
	if err == nil {
		return
	}
	e.options.Logger.Info("record_refused", zap.Uint64("term", term), zap.Error(err))
	c.inFlight--
	e.started(change.Starts)
	for _, s := range change.Starts {
		e.touch(s.Task.Job)
	}
	finishAll(waiting, false)
}

func finishAll(waiting []func(bool), ok bool) {
	for _, done := range waiting {
		done(ok)
	}
}

// whenFresh calls done once the leadership is confirmed by a quorum that was asked of late, or is lost.
func (e *Scheduler) whenFresh(done func(ok bool)) {
	if e.active && e.now()-e.fresh.confirmedMs <= freshMs {
		done(true)
		return
	}
	e.fresh.waiting = append(e.fresh.waiting, done)
	e.seekConfirmation()
}

// seekConfirmation asks a quorum whether this process leads; one question is under way at a time.
func (e *Scheduler) seekConfirmation() {
	if e.fresh.asking {
		return
	}
	asked, term := e.now(), e.term
	e.fresh.asking = true
	err := e.options.Log.ConfirmNow(func(err error) {
		if term != e.term || err != nil {
			return
		}
		e.fresh.asking = false
		e.fresh.confirmedMs = asked
		if !e.active {
			e.activate()
		}
		waiting := e.fresh.waiting
		e.fresh.waiting = nil
		finishAll(waiting, true)
	})
	if err != nil {
		e.fresh.asking = false
	}
}

// started takes notice that proposed starts are applied, or will never be.
func (e *Scheduler) started(starts []batch.Start) {
	for _, s := range starts {
		if w := e.workers[e.startingOn[s.Task]]; w != nil {
			w.starting = max(0, w.starting-1)
		}
		delete(e.starting, s.Task)
		delete(e.startingOn, s.Task)
	}
}
