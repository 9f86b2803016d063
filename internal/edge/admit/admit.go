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

// Views gives the view by which requests are routed.
type Views interface {
	View() *route.View
}

// Homes reaches the other entries.
type Homes interface {
	// Report sends a report to a home.
	Report(ctx context.Context, home string, r slots.Report) (slots.Answer, error)
	// Wake asks an entry to report to a home soon.
	Wake(ctx context.Context, entry, home string) error
}

// Options says what an admission works with; all fields are needed.
type Options struct {
	// Name is the entry's name.
	Name string
	// Entries are the names of all entries, this one included.
	Entries []string
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Loop owns the control state.
	Loop *loop.Loop
	// Clock gives the time.
	Clock clock.Clock
	// Logger takes events.
	Logger *zap.Logger
	// Views gives the routing view.
	Views Views
	// Homes reaches the other entries.
	Homes Homes
	// Random returns a number from 0 to below n.
	Random func(n int) int
	// Valid is how long a grant of slots lasts.
	Valid time.Duration
	// PerRunner is the most requests in progress from this entry to one runner.
	PerRunner int
}

// Admit admits requests; its exported methods are safe for concurrent use.
type Admit struct {
	options  Options
	table    atomic.Pointer[table]
	draining atomic.Bool
	hungry   atomic.Bool
	peers    map[string]*link
	pending  chan struct{}

	// The fields below belong to the loop.
	holder *slots.Holder
	ledger *slots.Ledger
	known  map[slots.Key]bool
}

// New returns an admission that knows no runner.
func New(o Options) *Admit {
	members := slots.Members{Version: 1, Names: o.Entries}
	a := &Admit{
		options: o, peers: map[string]*link{}, pending: make(chan struct{}, 1), known: map[slots.Key]bool{},
		holder: slots.NewHolder(o.Name, o.Incarnation, members),
		ledger: slots.NewLedger(slots.Options{
			Self: o.Name, Incarnation: o.Incarnation, Peers: o.Entries, Valid: o.Valid, PerHolder: o.PerRunner,
		}, members, o.Clock.Now()),
	}
	for _, name := range o.Entries {
		a.peers[name] = newLink(name)
	}
	a.table.Store(&table{})
	return a
}

// Drain refuses all new requests from now on.
func (a *Admit) Drain() {
	a.draining.Store(true)
}

// Acquire waits for a slot, or fails with a route.Refusal.
func (a *Admit) Acquire(ctx context.Context, r route.Request) (route.Ticket, error) {
	if a.draining.Load() {
		return a.refuse(r, route.ReasonDraining, "this entry is about to stop")
	}
	table := a.table.Load()
	entry, ok := table.services[r.Service]
	if !ok || len(entry.runners) == 0 {
		return a.refuse(r, route.ReasonNoEndpoint, "the service has no endpoint")
	}
	whose, class := table.labels(r)
	s, now := entry.service, a.options.Clock.Now()
	s.mu.Lock()
	s.offered.Arrive(now)
	if s.queue.Len() == 0 {
		if ticket, ok := s.take(r.Tried, now); ok {
			s.observe(whose, 0)
			s.mu.Unlock()
			return ticket, nil
		}
	}
	w := &waiter{tried: r.Tried, item: queue.Item{
		Class: class, Team: whose.Team, Weight: table.weight(whose.Team), Arrived: now, Deadline: r.Deadline,
		Done: make(chan queue.Verdict, 1),
	}}
	verdict, displaced := s.queue.Push(&w.item, now, s.pace())
	if displaced != nil {
		s.wake(displaced, queue.VerdictDisplaced)
	}
	if verdict == 0 {
		s.waiters[&w.item] = w
		s.dispatch()
	}
	s.mu.Unlock()
	if verdict != 0 {
		return a.verdict(r, verdict)
	}
	a.signalHungry()
	verdict = s.wait(ctx, w)
	s.mu.Lock()
	s.observe(whose, a.options.Clock.Now().Sub(now))
	s.mu.Unlock()
	if verdict == queue.VerdictAdmitted {
		return w.ticket, nil
	}
	return a.verdict(r, verdict)
}

// wait waits for the end of a request's time in the queue.
func (s *service) wait(ctx context.Context, w *waiter) queue.Verdict {
	select {
	case verdict := <-w.item.Done:
		return verdict
	case <-ctx.Done():
		return s.abandon(w)
	}
}

// abandon takes a request whose caller stopped waiting out of the queue; a slot that it was just given is given back.
func (s *service) abandon(w *waiter) queue.Verdict {
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
	s.undo(w.ticket)
	s.dispatch()
	return queue.VerdictLate
}

// Release gives back what Acquire took.
func (a *Admit) Release(t route.Ticket, result route.Result) {
	entry, ok := a.table.Load().services[t.Endpoint.Service]
	if !check.That(ok, "ticket_of_known_service", zap.String("service", t.Endpoint.Service)) {
		return
	}
	if entry.service.finish(t, result) {
		a.options.Logger.Info("runner_ejected", zap.String("service", t.Endpoint.Service), zap.String("endpoint", t.Endpoint.Name))
		ejected(t.Endpoint.Service)
	}
}
