package admit

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/edge/queue"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/edge/slots"
)

// Views provides the current routing view.
type Views interface {
	View() *route.View
}

// Peers sends slot messages to the other entries.
type Peers interface {
	// Report sends a report to a home entry and returns its answer.
	Report(ctx context.Context, home string, r slots.Report) (slots.Answer, error)
	// Wake asks an entry to report to a home entry soon.
	Wake(ctx context.Context, entry, home string) error
}

// Options configures a Controller; all fields are required.
type Options struct {
	// Name is the entry's name.
	Name string
	// Entries are the names of all entries, this one included.
	Entries []string
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Loop runs the control loop that owns the control state.
	Loop *loop.Loop
	// Clock is the time source.
	Clock clock.Clock
	// Logger receives log events.
	Logger *zap.Logger
	// Views provides the routing view.
	Views Views
	// Peers reaches the other entries.
	Peers Peers
	// Random returns a number in [0, n).
	Random func(n int) int
	// GrantDuration is how long a grant of slots lasts.
	GrantDuration time.Duration
	// MaxPerRunner is the maximum number of requests in progress from this entry to one runner.
	MaxPerRunner int
}

// Controller is the admission control of one entry. Its exported methods are safe for concurrent use, except Refresh.
type Controller struct {
	options       Options
	table         atomic.Pointer[table]
	draining      atomic.Bool
	waitingPosted atomic.Bool
	links         map[string]*link
	tickRequested chan struct{}

	// The control loop owns the fields below.
	holder       *slots.Holder
	ledger       *slots.Ledger
	knownRunners map[slots.Key]bool
}

// New returns a Controller without runners; they come with the first Refresh.
func New(o Options) *Controller {
	members := slots.Members{Version: 1, Names: o.Entries}
	c := &Controller{
		options: o, links: map[string]*link{}, tickRequested: make(chan struct{}, 1), knownRunners: map[slots.Key]bool{},
		holder: slots.NewHolder(o.Name, o.Incarnation, members),
		ledger: slots.NewLedger(slots.Options{
			Self: o.Name, Incarnation: o.Incarnation, Peers: o.Entries, GrantDuration: o.GrantDuration, MaxPerHolder: o.MaxPerRunner,
		}, members, o.Clock.Now()),
	}
	for _, name := range o.Entries {
		c.links[name] = newLink(name)
	}
	c.table.Store(&table{})
	return c
}

// Drain refuses all new requests from now on; requests that already wait are still served.
func (c *Controller) Drain() {
	c.draining.Store(true)
}

// Acquire waits until a runner has a free slot, or fails with a *route.Refusal. The ticket must be given to Release
// once.
func (c *Controller) Acquire(ctx context.Context, r route.Request) (route.Ticket, error) {
	if c.draining.Load() {
		return c.refuse(r, route.ReasonDraining, "this entry is about to stop")
	}
	table := c.table.Load()
	row, ok := table.services[r.Service]
	if !ok || len(row.runners) == 0 {
		return c.refuse(r, route.ReasonNoEndpoint, "the service has no endpoint")
	}
	labels, class := table.labels(r)
	s, now := row.service, c.options.Clock.Now()
	s.mu.Lock()
	s.offeredLoad.Arrive(now)
	if ticket, ok := s.admitAtOnce(r.Tried, labels, now); ok {
		s.mu.Unlock()
		return ticket, nil
	}
	w := &waiter{tried: r.Tried, item: queue.Item{
		Class: class, Team: labels.Team, Weight: table.weight(labels.Team), Arrived: now, Deadline: r.Deadline,
		Done: make(chan queue.Verdict, 1),
	}}
	verdict := s.enqueue(w, now)
	s.mu.Unlock()
	if verdict != 0 {
		return c.refuseVerdict(r, verdict)
	}
	c.signalWaiting()
	verdict = s.awaitVerdict(ctx, w)
	s.mu.Lock()
	s.observeQueueTime(labels, c.options.Clock.Now().Sub(now))
	s.mu.Unlock()
	if verdict == queue.VerdictAdmitted {
		return w.ticket, nil
	}
	return c.refuseVerdict(r, verdict)
}

// awaitVerdict blocks until the request's wait in the queue ends or the context is done.
func (s *service) awaitVerdict(ctx context.Context, w *waiter) queue.Verdict {
	select {
	case verdict := <-w.item.Done:
		return verdict
	case <-ctx.Done():
		return s.cancelWait(w)
	}
}

// cancelWait removes a request whose context is done from the queue. If it was admitted meanwhile, its slot is given
// back.
func (s *service) cancelWait(w *waiter) queue.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.item.Waiting() {
		s.queue.Remove(&w.item)
		delete(s.waiters, &w.item)
		return queue.VerdictLate
	}
	verdict := <-w.item.Done
	if verdict != queue.VerdictAdmitted {
		return verdict
	}
	s.cancelTicket(w.ticket)
	s.dispatch()
	return queue.VerdictLate
}

// Release returns the slot of a ticket and records the result of the attempt.
func (c *Controller) Release(t route.Ticket, result route.Result) {
	row, ok := c.table.Load().services[t.Endpoint.Service]
	if !check.That(ok, "ticket_of_known_service", zap.String("service", t.Endpoint.Service)) {
		return
	}
	if row.service.finishAttempt(t, result) {
		c.options.Logger.Info("runner_ejected", zap.String("service", t.Endpoint.Service), zap.String("endpoint", t.Endpoint.Name))
		countEjection(t.Endpoint.Service)
	}
}
