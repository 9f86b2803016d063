package sched

import (
	"time"
)

// leadership lets calls wait until a quorum has shown that this process leads. An answer of a quorum shows that it led when the
// quorum was asked, so it holds for the calls that came before that and for no others. No clock extends it: the process may have
// stood still since, and its clocks with it.
type leadership struct {
	// confirmedMs is the uptime at which the last successful confirmation was requested, and confirmedAt the time of day.
	confirmedMs int64
	confirmedAt time.Time
	// notBeforeMs is the uptime before which no other request is made.
	notBeforeMs int64
	confirming  bool
	// waiting are the calls that the request in flight confirms, and late those that came after it was made.
	waiting, late []func(ok bool)
}

// Calls share requests: one that took some time is followed by a pause of confirmPauseFactor times as long, maxConfirmPauseMs at
// most.
const (
	confirmPauseFactor = 5
	maxConfirmPauseMs  = 20
)

// whenConfirmed calls done once a quorum asked from now on has confirmed the leadership, or with false when it is lost.
func (s *Scheduler) whenConfirmed(done func(ok bool)) {
	s.leadership.late = append(s.leadership.late, done)
	s.confirmLate()
}

// confirmLate asks a quorum for the calls that wait for a request, unless it is too early for one.
func (s *Scheduler) confirmLate() {
	if len(s.leadership.late) > 0 && s.now() >= s.leadership.notBeforeMs {
		s.confirmLeadership()
	}
}

// confirmLeadership asks a quorum whether this process leads; at most one request is in flight.
func (s *Scheduler) confirmLeadership() {
	l := &s.leadership
	if l.confirming {
		return
	}
	askedMs, askedAt, term := s.now(), s.options.Clock.Now(), s.term
	confirmationsTotal.Inc()
	l.confirming = true
	l.waiting, l.late = l.late, nil
	err := s.options.Log.ConfirmNow(func(err error) {
		if term != s.term || err != nil {
			return
		}
		l.confirming = false
		l.confirmedMs, l.confirmedAt = askedMs, askedAt
		l.notBeforeMs = s.now() + min(maxConfirmPauseMs, (s.now()-askedMs)*confirmPauseFactor)
		if !s.active {
			s.activate()
		}
		s.notifyConfirmed()
	})
	if err != nil {
		l.confirming = false
		s.failUnconfirmed()
	}
}

// notifyConfirmed continues the calls that the last request confirms.
func (s *Scheduler) notifyConfirmed() {
	waiting := s.leadership.waiting
	s.leadership.waiting = nil
	notifyAll(waiting, true)
	s.confirmLate()
}

// failUnconfirmed fails all calls that wait for a confirmation.
func (s *Scheduler) failUnconfirmed() {
	unconfirmed := append(s.leadership.waiting, s.leadership.late...)
	s.leadership.waiting, s.leadership.late = nil, nil
	notifyAll(unconfirmed, false)
}
