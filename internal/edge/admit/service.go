package admit

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/edge/eject"
	"cowslipstack/internal/edge/queue"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/edge/slots"
	"cowslipstack/internal/model/fleet"
)

const (
	// firstService is the mean time of a request before any was measured.
	firstService = 20 * time.Millisecond
	// meanPart is the weight of one answer in the mean time, as one of so many.
	meanPart = 16
	// tailFactor is how many mean deviations above the mean nearly all answers come.
	tailFactor = 2
)

// service is the state of one service that outlives tables; mu guards all but its name.
type service struct {
	name   string
	clock  clock.Clock
	random func(n int) int

	mu      sync.Mutex
	runners []*runner
	queue   *queue.Queue
	waiters map[*queue.Item]*waiter
	flights map[uint64]*flight
	tickets uint64
	offered slots.Offered
	pool    eject.Pool
	mean    time.Duration
	mistake time.Duration
	// hold is the longest that a request may be in progress.
	hold time.Duration
	// times are the histograms of the time in the queue; the labels are bounded by the document.
	times map[hist.Labels]*metrics.Histogram
}

// waiter is a request in the queue.
type waiter struct {
	item   queue.Item
	tried  []fleet.Endpoint
	ticket route.Ticket
}

// flight is a request in progress.
type flight struct {
	runner *runner
	began  time.Time
}

func newService(name string, c clock.Clock, random func(int) int) *service {
	s := &service{
		name: name, clock: c, random: random, mean: firstService,
		queue: queue.New(0), waiters: map[*queue.Item]*waiter{}, times: map[hist.Labels]*metrics.Histogram{}, flights: map[uint64]*flight{},
		pool: eject.Pool{Runners: map[string]*eject.Runner{}, Random: func(n int64) int64 { return int64(random(int(n))) }},
	}
	s.gauges()
	return s
}

// configure takes a new table's runners.
func (s *service) configure(limit int, hold time.Duration, runners []*runner) {
	keys := make(map[string]bool, len(runners))
	for _, r := range runners {
		keys[r.key] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners, s.hold = runners, hold
	s.queue.SetLimit(limit)
	s.pool.Keep(keys)
	s.dispatch()
}

// pace is how fast waiting requests are served; mu is held.
func (s *service) pace() queue.Capacity {
	granted := 0
	for _, r := range s.runners {
		g, _ := r.share.Counts()
		granted += g
	}
	return queue.Capacity{Slots: granted, ServiceTime: s.mean, TailLatency: s.mean + tailFactor*s.mistake}
}

// take chooses a runner with a free slot and takes the slot; mu is held.
func (s *service) take(tried []fleet.Endpoint, now time.Time) (route.Ticket, bool) {
	r := s.choose(tried, now)
	if r == nil {
		return route.Ticket{}, false
	}
	s.pool.Began(r.key)
	s.tickets++
	s.flights[s.tickets] = &flight{runner: r, began: now}
	return route.Ticket{Endpoint: r.endpoint, Number: s.tickets, Most: s.hold}, true
}

// finish gives a slot back and serves those that wait.
func (s *service) finish(t route.Ticket, result route.Result) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.flights[t.Number]
	if !check.That(ok, "ticket_released_once") {
		return false
	}
	delete(s.flights, t.Number)
	f.runner.share.Release()
	now := s.clock.Now()
	ejected = s.learn(f, result, now)
	s.dispatch()
	return ejected
}

// learn takes what a result tells of the runner and of the time that requests take; mu is held.
func (s *service) learn(f *flight, result route.Result, now time.Time) bool {
	answered := result.Outcome == fleet.OutcomeAnswered
	if result.Declined || result.Aborted {
		s.pool.Unheard(f.runner.key)
		return false
	}
	took := now.Sub(f.began)
	if answered {
		s.mistake += ((took - s.mean).Abs() - s.mistake) / meanPart
		s.mean += (took - s.mean) / meanPart
	}
	return s.pool.Ended(f.runner.key, answered && result.Status < serverError, took, now)
}

// serverError is the first HTTP status that blames the runner.
const serverError = 500

// dispatch gives free slots to those that wait, in the queue's order; mu is held.
func (s *service) dispatch() {
	now := s.clock.Now()
	for s.queue.Len() > 0 {
		ticket, ok := s.take(nil, now)
		if !ok {
			return
		}
		next, late := s.queue.Pop(now, s.pace().TailLatency)
		for _, item := range late {
			s.wake(item, queue.VerdictLate)
		}
		if next == nil {
			s.undo(ticket)
			return
		}
		check.That(now.Before(next.Deadline), "admitted_before_deadline")
		w := s.waiters[next]
		w.ticket = s.elsewhere(ticket, w.tried, now)
		s.wake(next, queue.VerdictAdmitted)
	}
}

// observe notes a request's time in the queue; mu is held.
func (s *service) observe(l hist.Labels, waited time.Duration) {
	h, ok := s.times[l]
	if !ok {
		h = metrics.GetOrCreateHistogram(hist.Name("cowslip_queue_seconds", l))
		s.times[l] = h
	}
	h.Update(waited.Seconds())
}

// elsewhere exchanges a ticket to a runner that was tried before for one to another, where one is free; mu is held.
func (s *service) elsewhere(t route.Ticket, tried []fleet.Endpoint, now time.Time) route.Ticket {
	if len(tried) == 0 || apart(t.Endpoint, tried) > sameRunner {
		return t
	}
	other, ok := s.take(tried, now)
	if !ok {
		return t
	}
	s.undo(t)
	return other
}

// undo gives a ticket back that nothing was sent under; mu is held.
func (s *service) undo(t route.Ticket) {
	f := s.flights[t.Number]
	delete(s.flights, t.Number)
	f.runner.share.Release()
	s.pool.Unheard(f.runner.key)
}

// wake ends a wait; mu is held.
func (s *service) wake(item *queue.Item, v queue.Verdict) {
	item.Done <- v
	delete(s.waiters, item)
}
