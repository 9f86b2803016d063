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
	// initialMeanTime is the mean time of a request before any answer was measured.
	initialMeanTime = 20 * time.Millisecond
	// meanDivisor is the smoothing of the moving averages: a new value counts for 1/meanDivisor.
	meanDivisor = 16
	// tailFactor is the number of mean deviations above the mean within which nearly all answers come.
	tailFactor = 2
)

// service is the state of one service, kept from table to table; mu guards all fields but the name, clock and
// random.
type service struct {
	name   string
	clock  clock.Clock
	random func(n int) int

	mu            sync.Mutex
	runners       []*runner
	queue         *queue.Queue
	waiters       map[*queue.Item]*waiter
	attempts      map[uint64]*attempt
	lastTicket    uint64
	offeredLoad   slots.OfferedLoad
	pool          eject.Pool
	meanTime      time.Duration
	meanDeviation time.Duration
	// maxRequestTime is the longest that a request may be in progress.
	maxRequestTime time.Duration
	// queueTimes are histograms of the time in the queue; the environment document bounds the number of labels.
	queueTimes map[hist.Labels]*metrics.Histogram
}

// waiter is a request in the queue.
type waiter struct {
	item   queue.Item
	tried  []fleet.Endpoint
	ticket route.Ticket
}

// attempt is a request in progress at a runner.
type attempt struct {
	runner  *runner
	started time.Time
}

func newService(name string, c clock.Clock, random func(int) int) *service {
	s := &service{
		name: name, clock: c, random: random, meanTime: initialMeanTime,
		queue: queue.New(0), waiters: map[*queue.Item]*waiter{}, queueTimes: map[hist.Labels]*metrics.Histogram{}, attempts: map[uint64]*attempt{},
		pool: eject.Pool{Runners: map[string]*eject.Runner{}, Random: func(n int64) int64 { return int64(random(int(n))) }},
	}
	s.registerGauges()
	return s
}

// configure takes the limits and runners of a new table.
func (s *service) configure(limit int, maxRequestTime time.Duration, runners []*runner) {
	keys := make(map[string]bool, len(runners))
	for _, r := range runners {
		keys[r.key] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners, s.maxRequestTime = runners, maxRequestTime
	s.queue.SetLimit(limit)
	s.pool.Retain(keys)
	s.dispatch()
}

// capacity returns how fast waiting requests are served; the caller holds mu.
func (s *service) capacity() queue.Capacity {
	granted := 0
	for _, r := range s.runners {
		count, _ := r.share.Counts()
		granted += count
	}
	return queue.Capacity{Slots: granted, ServiceTime: s.meanTime, TailLatency: s.meanTime + tailFactor*s.meanDeviation}
}

// issueTicket takes a slot and returns its ticket, or false if none is free; the caller holds mu.
func (s *service) issueTicket(tried []fleet.Endpoint, now time.Time) (route.Ticket, bool) {
	r := s.takeSlot(tried, now)
	if r == nil {
		return route.Ticket{}, false
	}
	s.pool.Start(r.key)
	s.lastTicket++
	s.attempts[s.lastTicket] = &attempt{runner: r, started: now}
	return route.Ticket{Endpoint: r.endpoint, Number: s.lastTicket, Timeout: s.maxRequestTime}, true
}

// admitAtOnce takes a slot for a request that needn't wait; it fails if other requests wait or no slot is free. The
// caller holds mu.
func (s *service) admitAtOnce(tried []fleet.Endpoint, l hist.Labels, now time.Time) (route.Ticket, bool) {
	if s.queue.Len() > 0 {
		return route.Ticket{}, false
	}
	ticket, ok := s.issueTicket(tried, now)
	if ok {
		s.observeQueueTime(l, 0)
	}
	return ticket, ok
}

// enqueue puts a request in the queue, which may displace another one; it returns 0, or the verdict by which the
// request is refused. The caller holds mu.
func (s *service) enqueue(w *waiter, now time.Time) queue.Verdict {
	verdict, displaced := s.queue.Push(&w.item, now, s.capacity())
	if displaced != nil {
		s.endWait(displaced, queue.VerdictDisplaced)
	}
	if verdict == 0 {
		s.waiters[&w.item] = w
		s.dispatch()
	}
	return verdict
}

// finishAttempt releases the ticket's slot and admits waiting requests; it reports whether the runner was ejected.
func (s *service) finishAttempt(t route.Ticket, result route.Result) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.attempts[t.Number]
	if !check.That(ok, "ticket_released_once") {
		return false
	}
	delete(s.attempts, t.Number)
	a.runner.share.Release()
	now := s.clock.Now()
	ejected = s.recordResult(a, result, now)
	s.dispatch()
	return ejected
}

// recordResult updates the outlier ejection and the mean times with a result, and reports whether the runner was
// ejected. A declined or aborted attempt says nothing about the runner. The caller holds mu.
func (s *service) recordResult(a *attempt, result route.Result, now time.Time) bool {
	answered := result.Outcome == fleet.OutcomeAnswered
	if result.Declined || result.Aborted {
		s.pool.Cancel(a.runner.key)
		return false
	}
	elapsed := now.Sub(a.started)
	if answered {
		s.meanDeviation += ((elapsed - s.meanTime).Abs() - s.meanDeviation) / meanDivisor
		s.meanTime += (elapsed - s.meanTime) / meanDivisor
	}
	return s.pool.Finish(a.runner.key, answered && result.Status < minServerErrorStatus, elapsed, now)
}

// minServerErrorStatus is the lowest HTTP status that counts as a failure of the runner.
const minServerErrorStatus = 500

// dispatch admits waiting requests to free slots, in the queue's order; the caller holds mu.
func (s *service) dispatch() {
	now := s.clock.Now()
	for s.queue.Len() > 0 {
		ticket, ok := s.issueTicket(nil, now)
		if !ok {
			return
		}
		next, late := s.queue.Pop(now, s.capacity().TailLatency)
		for _, item := range late {
			s.endWait(item, queue.VerdictLate)
		}
		if next == nil {
			s.cancelTicket(ticket)
			return
		}
		check.That(now.Before(next.Deadline), "admitted_before_deadline")
		w := s.waiters[next]
		w.ticket = s.preferUntried(ticket, w.tried, now)
		s.endWait(next, queue.VerdictAdmitted)
	}
}

// observeQueueTime records a request's time in the queue; the caller holds mu.
func (s *service) observeQueueTime(l hist.Labels, waited time.Duration) {
	h, ok := s.queueTimes[l]
	if !ok {
		h = metrics.GetOrCreateHistogram(hist.Name("cowslip_queue_seconds", l))
		s.queueTimes[l] = h
	}
	h.Update(waited.Seconds())
}

// preferUntried replaces a ticket for a runner that was tried before by one for another runner with a free slot, if
// any; the caller holds mu.
func (s *service) preferUntried(t route.Ticket, tried []fleet.Endpoint, now time.Time) route.Ticket {
	if len(tried) == 0 || distanceFrom(t.Endpoint, tried) > sameRunner {
		return t
	}
	other, ok := s.issueTicket(tried, now)
	if !ok {
		return t
	}
	s.cancelTicket(t)
	return other
}

// cancelTicket releases the slot of a ticket under which nothing was sent; the caller holds mu.
func (s *service) cancelTicket(t route.Ticket) {
	a := s.attempts[t.Number]
	delete(s.attempts, t.Number)
	a.runner.share.Release()
	s.pool.Cancel(a.runner.key)
}

// endWait sends the verdict to a waiting request; the caller holds mu.
func (s *service) endWait(item *queue.Item, v queue.Verdict) {
	item.Done <- v
	delete(s.waiters, item)
}
