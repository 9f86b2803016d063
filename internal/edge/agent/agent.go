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

// Control renews leases at the leader.
type Control interface {
	Renew(context.Context, grant.Renewal) (grant.Grant, error)
}

// Gossip is a message about endpoints that an entry sends to the others.
type Gossip struct {
	// Endpoints are announcements that are new, changed or leaving.
	Endpoints []fleet.Endpoint
	// Refreshes extend the TTL of endpoints that are known already.
	Refreshes []table.Refresh
}

// Peers is the transport to the other entries; an index in [0, Count()) selects one of them.
type Peers interface {
	// Share sends a message to all others; it must not block.
	Share(Gossip)
	// Count returns the number of others.
	Count() int
	// Learn returns all endpoints that an entry holds.
	Learn(ctx context.Context, index int) ([]fleet.Endpoint, error)
	// Compare returns nothing if the root digest of an entry's table is equal, else the digests of its buckets.
	Compare(ctx context.Context, index int, root uint64) ([]uint64, error)
	// Exchange sends an entry this one's endpoints in some buckets and returns that entry's endpoints in them.
	Exchange(ctx context.Context, index int, buckets []int, own []fleet.Endpoint) ([]fleet.Endpoint, error)
}

// Traffic counts requests; its methods are safe for concurrent use.
type Traffic interface {
	// InProgress returns the number of requests in progress on a VM.
	InProgress(vm string) int
	// Reports returns the counts of each service.
	Reports() []fleet.ServiceReport
}

// Options configures an Agent; all fields are required.
type Options struct {
	// Name is the entry's name.
	Name string
	// Loop is the control loop that owns the agent's state.
	Loop *loop.Loop
	// Clock measures the lease and the TTLs.
	Clock clock.Clock
	// Logger receives the agent's events.
	Logger *zap.Logger
	// Control renews the lease.
	Control Control
	// Peers is the transport to the other entries.
	Peers Peers
	// Traffic counts the requests in progress.
	Traffic Traffic
	// Random returns a random number in [0, n).
	Random func(n int) int
	// Lease is the duration of a renewed lease.
	Lease time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// TTL is how long an announcement is valid.
	TTL time.Duration
}

// Agent holds an entry's control state; its exported methods but OnPublish are safe for concurrent use.
type Agent struct {
	options Options
	// started is the agent's start time in Unix nanoseconds.
	started uint64
	view    atomic.Pointer[route.View]

	// listeners are called after each publication of a view.
	listeners []func()

	// The fields below belong to the loop.
	lease route.Lease
	// leased means that the lease was held when it was last checked, so that each gain and lapse is logged once.
	leased   bool
	document document
	version  uint64
	entries  []string
	vmStates vmStates
	table    *table.Table
	// lastShared is when a change or refresh of an endpoint was last shared by any entry, by endpoint key.
	lastShared map[string]time.Time
	// dirty holds the services whose endpoints have changed since the last publication.
	dirty map[string]bool
	// reported holds the counts last reported to the leader, by service.
	reported   map[string]fleet.ServiceReport
	lastReport time.Time
	// reportAll means that the leader requests the counts of all services.
	reportAll bool
}

// document is the document in force on the entry.
type document struct {
	revision    uint64
	text        []byte
	environment docs.Environment
	// needWhole requests the whole text, since the last document or delta could not be applied.
	needWhole bool
}

// New returns an agent without a lease, document or endpoints.
func New(o Options) *Agent {
	a := &Agent{
		options: o, started: uint64(o.Clock.Now().UnixNano()),
		vmStates: newVMStates(), table: table.New(),
		lastShared: map[string]time.Time{}, dirty: map[string]bool{}, reported: map[string]fleet.ServiceReport{}, reportAll: true,
	}
	a.view.Store(&route.View{})
	return a
}

// View returns the latest published view.
func (a *Agent) View() *route.View {
	return a.view.Load()
}

// publish builds and stores a new view; unchanged services are copied from the last one.
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
	for _, f := range a.listeners {
		f()
	}
}

// OnPublish registers a function that is called on the control loop after each publication of a view. It must be called
// before Run.
func (a *Agent) OnPublish(f func()) {
	a.listeners = append(a.listeners, f)
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

// routable returns a service's endpoints that may receive new requests.
func (a *Agent) routable(service string) []fleet.Endpoint {
	now := a.options.Clock.Now()
	var all []fleet.Endpoint
	for _, e := range a.table.Service(service) {
		if now.Before(e.Expires) && a.vmStates.allows(e) {
			all = append(all, e)
		}
	}
	return all
}

// sleep returns false if the context ends first.
func (a *Agent) sleep(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx, a.options.Clock, d)
}

// jitter returns d changed at random by up to a tenth, so that entries don't act at the same time.
func (a *Agent) jitter(d time.Duration) time.Duration {
	tenth := int(d / 10)
	if tenth == 0 {
		return d
	}
	return d + time.Duration(a.options.Random(2*tenth)-tenth)
}
