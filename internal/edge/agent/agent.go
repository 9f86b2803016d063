package agent

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

// Renewal is what the control role answers to an entry's renewal.
type Renewal struct {
	// Revision is the revision that is to be in force.
	Revision uint64
	// Document is its text, nil where the entry has it.
	Document []byte
}

// Control renews leases.
type Control interface {
	Renew(ctx context.Context, entry string, revision uint64) (Renewal, error)
}

// Others passes announcements on to the other entries; Share must not block.
type Others interface {
	Share([]fleet.Endpoint)
	Learn(context.Context) ([]fleet.Endpoint, error)
}

// Options says what an agent works with; all fields are needed.
type Options struct {
	// Name is the entry's name.
	Name string
	// Loop owns the agent's state.
	Loop *loop.Loop
	// Clock gives the time.
	Clock clock.Clock
	// Logger takes the agent's events.
	Logger *zap.Logger
	// Control renews the lease.
	Control Control
	// Others are the other entries.
	Others Others
	// Lease is how long a renewed lease lasts.
	Lease time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// TTL is how long an announcement lasts.
	TTL time.Duration
}

// Agent keeps an entry's control state; its exported methods are safe for concurrent use.
type Agent struct {
	options Options
	view    atomic.Pointer[route.View]

	// The fields below belong to the loop.
	lease       route.Lease
	revision    uint64
	environment docs.Environment
	endpoints   map[string]fleet.Endpoint
}

// New returns an agent without a lease, document or endpoints.
func New(o Options) *Agent {
	a := &Agent{options: o, endpoints: map[string]fleet.Endpoint{}}
	a.view.Store(&route.View{})
	return a
}

// View returns the latest published view.
func (a *Agent) View() *route.View {
	return a.view.Load()
}

// Run renews the lease until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	a.learn(ctx)
	ticker := a.options.Clock.NewTicker(a.options.Renew)
	defer ticker.Stop()
	for {
		a.renew(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
}

// Announce takes an endpoint's own announcement and passes it on.
func (a *Agent) Announce(ctx context.Context, e fleet.Endpoint) error {
	e.Expires = a.options.Clock.Now().Add(a.options.TTL)
	return a.options.Loop.Call(ctx, func() {
		if a.merge(e) {
			a.options.Others.Share([]fleet.Endpoint{e})
		}
		a.publish()
	})
}

// Hear takes announcements that other entries pass on.
func (a *Agent) Hear(ctx context.Context, endpoints []fleet.Endpoint) error {
	return a.options.Loop.Call(ctx, func() {
		for _, e := range endpoints {
			a.merge(e)
		}
		a.publish()
	})
}

// Endpoints returns all endpoints that the entry holds, by key.
func (a *Agent) Endpoints(ctx context.Context) ([]fleet.Endpoint, error) {
	var all []fleet.Endpoint
	err := a.options.Loop.Call(ctx, func() { all = a.sorted() })
	return all, err
}

func (a *Agent) learn(ctx context.Context) {
	endpoints, err := a.options.Others.Learn(ctx)
	if err != nil {
		a.options.Logger.Info("endpoints_not_learned", zap.Error(err))
		return
	}
	if err := a.Hear(ctx, endpoints); err != nil {
		a.options.Logger.Info("endpoints_not_learned", zap.Error(err))
	}
}

func (a *Agent) renew(ctx context.Context) {
	// The lease counts from before the renewal is sent: the leader's answer may be late.
	sent := a.options.Clock.Now()
	call, cancel := context.WithTimeout(ctx, a.options.Lease)
	defer cancel()
	r, err := a.options.Control.Renew(call, a.options.Name, a.View().Revision)
	if err != nil {
		a.options.Logger.Debug("lease_not_renewed", zap.Error(err))
		err = a.options.Loop.Call(ctx, a.publish)
	} else {
		err = a.options.Loop.Call(ctx, func() { a.granted(sent, r) })
	}
	if err != nil && ctx.Err() == nil {
		a.options.Logger.Error("control_loop_failed", zap.Error(err))
	}
}

func (a *Agent) granted(sent time.Time, r Renewal) {
	if err := a.take(r); err != nil {
		a.options.Logger.Error("document_not_taken", zap.Uint64("revision", r.Revision), zap.Error(err))
		return
	}
	if !a.lease.Valid(sent) {
		a.options.Logger.Info("lease_gained", zap.Uint64("revision", a.revision))
	}
	a.lease = route.Lease{Start: sent, Length: a.options.Lease}
	a.publish()
}

func (a *Agent) take(r Renewal) error {
	check.That(r.Revision >= a.revision, "document_revision_only_rises",
		zap.Uint64("revision", a.revision), zap.Uint64("heard", r.Revision))
	if r.Revision <= a.revision {
		return nil
	}
	environment, err := docs.Parse("revision", r.Document)
	if err != nil {
		return errors.Wrap(err, "parse document")
	}
	a.environment, a.revision = environment, r.Revision
	a.options.Logger.Info("document_in_force", zap.Uint64("revision", r.Revision))
	return nil
}

// merge takes an announcement that is newer than the known one; leaving is final.
func (a *Agent) merge(e fleet.Endpoint) bool {
	known, ok := a.endpoints[e.Key()]
	if ok && (known.Leaving || known.Sequence >= e.Sequence) {
		return false
	}
	a.endpoints[e.Key()] = e
	if !ok || e.Leaving {
		a.options.Logger.Info("endpoint_announced", zap.String("service", e.Service), zap.String("endpoint", e.Name),
			zap.String("address", e.Address), zap.Bool("leaving", e.Leaving))
	}
	return true
}

// publish builds the view that traffic reads and drops what has lapsed.
func (a *Agent) publish() {
	now := a.options.Clock.Now()
	v := &route.View{Lease: a.lease, Revision: a.revision, Services: map[string]route.Service{}}
	for _, s := range a.environment.Services {
		v.Services[string(s.Name)] = route.Service{Settings: s}
	}
	for _, e := range a.sorted() {
		if !now.Before(e.Expires) {
			delete(a.endpoints, e.Key())
			continue
		}
		s, ok := v.Services[e.Service]
		if !ok || e.Leaving {
			continue
		}
		s.Endpoints = append(s.Endpoints, e)
		v.Services[e.Service] = s
	}
	a.view.Store(v)
}

func (a *Agent) sorted() []fleet.Endpoint {
	all := make([]fleet.Endpoint, 0, len(a.endpoints))
	for _, e := range a.endpoints {
		all = append(all, e)
	}
	slices.SortFunc(all, func(x, y fleet.Endpoint) int { return strings.Compare(x.Key(), y.Key()) })
	return all
}
