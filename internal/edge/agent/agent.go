package agent

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/edge/table"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
)

// Control renews leases.
type Control interface {
	Renew(context.Context, grant.Renewal) (grant.Grant, error)
}

// News is what an entry passes on to the others.
type News struct {
	// Endpoints are new, differ or leave.
	Endpoints []fleet.Endpoint
	// Refreshes extend the lives of endpoints that are known already.
	Refreshes []table.Refresh
}

// Others are the other entries; the calls but Share name one of them by its index below Count.
type Others interface {
	// Share passes news on to all others; it must not block.
	Share(News)
	// Count returns how many others there are.
	Count() int
	// Learn returns all endpoints that an entry holds.
	Learn(ctx context.Context, index int) ([]fleet.Endpoint, error)
	// Compare returns nothing where an entry's table has the root, else the digests of its buckets.
	Compare(ctx context.Context, index int, root uint64) ([]uint64, error)
	// Exchange gives an entry what this one holds in some buckets and returns what that one holds there.
	Exchange(ctx context.Context, index int, buckets []int, own []fleet.Endpoint) ([]fleet.Endpoint, error)
}

// Traffic tells what is in progress; its methods are safe for concurrent use.
type Traffic interface {
	// InProgress returns the count of requests in progress on a VM.
	InProgress(vm string) int
	// Reports returns the counts of each service.
	Reports() []fleet.ServiceReport
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
	// Traffic tells what is in progress.
	Traffic Traffic
	// Random returns a number from 0 to below n.
	Random func(n int) int
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
	started uint64
	view    atomic.Pointer[route.View]

	// followers are called after each published view.
	followers []func()

	// The fields below belong to the loop.
	lease route.Lease
	// leased says whether the log told last that the lease was gained.
	leased   bool
	document document
	version  uint64
	entries  []string
	marks    marks
	table    *table.Table
	// shared is when an endpoint's refresh was last passed on by any entry, by its key.
	shared map[string]time.Time
	// dirty are the services whose endpoints have changed since the last publication.
	dirty map[string]bool
	// reported are the counts that the leader knows.
	reported map[string]fleet.ServiceReport
	reportAt time.Time
	// reportAll means that the leader wants the counts of all services.
	reportAll bool
}

// document is the document in force on the entry.
type document struct {
	revision    uint64
	text        []byte
	environment docs.Environment
	// whole asks for the whole text, since a delta could not be used.
	whole bool
}

// New returns an agent without a lease, document or endpoints.
func New(o Options) *Agent {
	a := &Agent{
		options: o, started: uint64(o.Clock.Now().UnixNano()),
		marks: newMarks(), table: table.New(),
		shared: map[string]time.Time{}, dirty: map[string]bool{}, reported: map[string]fleet.ServiceReport{}, reportAll: true,
	}
	a.view.Store(&route.View{})
	return a
}

// View returns the latest published view.
func (a *Agent) View() *route.View {
	return a.view.Load()
}

// publish makes the view that traffic reads; services without a change are taken from the last one.
func (a *Agent) publish() {
	last := a.view.Load()
	v := &route.View{Lease: a.lease, Revision: a.document.revision, Services: last.Services, Teams: last.Teams, Version: a.version, Entries: a.entries}
	if v.Revision != last.Revision {
		v.Teams = map[string]int{}
		for _, t := range a.document.environment.Teams {
			v.Teams[string(t.Name)] = t.Weight
		}
	}
	if v.Revision != last.Revision || len(a.dirty) > 0 {
		v.Services = a.services(last, v.Revision != last.Revision)
		clear(a.dirty)
	}
	a.view.Store(v)
	for _, f := range a.followers {
		f()
	}
}

// Follow has a function called on the control loop each time that a view was published; it must be called before Run.
func (a *Agent) Follow(f func()) {
	a.followers = append(a.followers, f)
}

func (a *Agent) services(last *route.View, all bool) map[string]route.Service {
	services := make(map[string]route.Service, len(a.document.environment.Services))
	for _, s := range a.document.environment.Services {
		name := string(s.Name)
		service := route.Service{Settings: s, Endpoints: last.Services[name].Endpoints}
		if all || a.dirty[name] {
			service.Endpoints = a.routable(name)
		}
		services[name] = service
	}
	return services
}

// routable returns a service's endpoints that may get new requests.
func (a *Agent) routable(service string) []fleet.Endpoint {
	now := a.options.Clock.Now()
	var all []fleet.Endpoint
	for _, e := range a.table.Service(service) {
		if now.Before(e.Expires) && a.marks.allow(e) {
			all = append(all, e)
		}
	}
	return all
}

// sleep waits and returns false where the context ends first.
func (a *Agent) sleep(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx, a.options.Clock, d)
}

// jitter returns a time around d, up to a tenth off, so that entries don't act in step.
func (a *Agent) jitter(d time.Duration) time.Duration {
	tenth := int(d / 10)
	if tenth == 0 {
		return d
	}
	return d + time.Duration(a.options.Random(2*tenth)-tenth)
}
