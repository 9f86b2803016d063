package proof_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/app/fakes"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/edge/front"
	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// TestMain fixes the seed and the number of the random tests, unless the command line has a seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		tests.SetFlags(map[string]string{"rapid.seed": "7", "rapid.checks": "60", "rapid.nofailfile": "true"})
	}
	tests.PanicOnBreach()
	os.Exit(m.Run())
}

// errLost is the error of a submission whose result an injected fault suppresses; the command may have been applied.
var errLost = errors.New("the result was lost")

// faultyClaims is the real state machine behind injected faults; each submission takes the next fault from the list.
// Commands with the fault "late" wait in delayed.
type faultyClaims struct {
	mu      sync.Mutex
	machine *state.Machine
	index   uint64
	faults  []string
	delayed []record.Command
}

func (c *faultyClaims) Submit(_ context.Context, command record.Command) (record.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := ""
	if len(c.faults) > 0 {
		fault, c.faults = c.faults[0], c.faults[1:]
	}
	switch fault {
	case "no_quorum":
		return record.Result{}, errLost
	case "late":
		c.delayed = append(c.delayed, command)
		return record.Result{}, errLost
	}
	result := c.apply(command)
	switch fault {
	case "lost":
		return record.Result{}, errLost
	case "twice":
		result = c.apply(command)
	case "die":
		if command.Claim.Step == record.ClaimOpen {
			panic(http.ErrAbortHandler)
		}
	}
	return result, nil
}

func (c *faultyClaims) apply(command record.Command) record.Result {
	c.index++
	command.Time = clock.System{}.Now()
	return c.machine.Apply(c.index, command)
}

// applyDelayed applies the commands that were delayed by the fault "late".
func (c *faultyClaims) applyDelayed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, command := range c.delayed {
		c.apply(command)
	}
	c.delayed = nil
}

func (c *faultyClaims) inject(faults []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// entry is one entry that can be killed, which loses its cache, or frozen until its lease has lapsed.
type entry struct {
	name   string
	system *system
	server *httptest.Server
	lapsed atomic.Bool
	// drained names an endpoint that is missing from the view that the entry has a lease for; nil for none.
	drained atomic.Pointer[string]
	current atomic.Pointer[incarnation]
}

// incarnation is an entry between a start and a stop; fault is the injected fault of its next attempt.
type incarnation struct {
	handler http.Handler
	cache   *claim.Cache
	cancel  context.CancelFunc
	ended   chan error
	fault   atomic.Pointer[string]
}

func (e *entry) View() *route.View {
	v := *e.system.view.Load()
	if !e.lapsed.Load() {
		v.Lease = route.Lease{Start: clock.System{}.Now(), Length: time.Minute}
	}
	if name := e.drained.Load(); name != nil {
		service := v.Services[serviceName]
		service.Endpoints = slices.DeleteFunc(slices.Clone(service.Endpoints), func(o fleet.Endpoint) bool { return o.Name == *name })
		v.Services = map[string]route.Service{serviceName: service}
	}
	return &v
}

func (e *entry) Recall(_ context.Context, name, key, digest string) (claim.Recall, error) {
	for _, o := range e.system.entries {
		if o.name == name {
			r, _ := o.current.Load().cache.Recall(key, digest)
			return r, nil
		}
	}
	return claim.Recall{}, errors.New("no such entry")
}

// faultyRelay injects one fault of its entry around the sending of an attempt: it kills the entry before or after, or
// freezes it right before.
type faultyRelay struct {
	*relay.Relay
	entry       *entry
	incarnation *incarnation
}

func (r *faultyRelay) Send(ctx context.Context, to fleet.Endpoint, a relay.Attempt) relay.Answer {
	fault := r.incarnation.fault.Swap(new(string))
	switch *fault {
	case "die_before":
		panic(http.ErrAbortHandler)
	case "freeze":
		r.entry.lapsed.Store(true)
		defer r.entry.lapsed.Store(false)
	case "freeze_long":
		r.entry.drained.Store(&to.Name)
		defer r.entry.drained.Store(nil)
	}
	answer := r.Relay.Send(ctx, to, a)
	if strings.HasPrefix(*fault, "freeze") && answer.Outcome != fleet.OutcomeNotRun {
		r.entry.system.sentWithoutLease.Add(1)
	}
	if *fault == "die_after" {
		if answer.Response != nil {
			_ = answer.Response.Body.Close()
		}
		panic(http.ErrAbortHandler)
	}
	return answer
}

// start starts a new incarnation of the entry with an empty cache.
func (e *entry) start() {
	p := &incarnation{cache: claim.NewCache(1 << 20), ended: make(chan error, 1)}
	p.fault.Store(new(string))
	c := e.system.clock
	f := front.New(front.Options{
		Name: e.name, Views: e, Dispatcher: newDirectDispatcher(e, c), Relay: &faultyRelay{Relay: e.system.relay, entry: e, incarnation: p},
		Claims: e.system.claims, Peers: e, Cache: p.cache, Clock: c, Logger: zap.NewNop(), BodyLimit: 1 << 30,
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.handler, p.cancel = f.Handler(), cancel
	go func() { p.ended <- f.Run(ctx) }()
	e.current.Store(p)
}

func (e *entry) stop() {
	p := e.current.Load()
	p.cancel()
	if err := <-p.ended; err != nil {
		panic(err)
	}
}

// system is a set of entries and fake endpoints in one process.
type system struct {
	clock    clock.Clock
	claims   *faultyClaims
	relay    *relay.Relay
	view     atomic.Pointer[route.View]
	entries  []*entry
	handlers []*fakes.Handler
	servers  []*httptest.Server
	client   *http.Client
	// sentWithoutLease counts attempts that were sent without a lease.
	sentWithoutLease atomic.Int64
}

const serviceName = "credits"

func newSystem(entries, endpoints int) *system {
	return newSystemWithClock(clock.System{}, entries, endpoints)
}

// newSystemWithClock returns a system whose entries use the given clock.
func newSystemWithClock(c clock.Clock, entries, endpoints int) *system {
	s := &system{
		clock:  c,
		claims: &faultyClaims{machine: state.NewMachine()}, relay: relay.New(relay.Options{Connections: 64}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
	service := route.Service{Settings: docs.Service{Name: serviceName, DeadlineMs: 10000}}
	for i := range endpoints {
		h := fakes.NewHandler(fmt.Sprint("runner-", i), fakes.ModeAnswer, clock.System{})
		server := httptest.NewServer(h)
		s.handlers, s.servers = append(s.handlers, h), append(s.servers, server)
		service.Endpoints = append(service.Endpoints, endpointOf(fmt.Sprint("runner-", i), server, 4096))
	}
	s.view.Store(&route.View{Revision: 1, Services: map[string]route.Service{serviceName: service}})
	for i := range entries {
		e := &entry{name: fmt.Sprint("entry-", i), system: s}
		e.start()
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.current.Load().handler.ServeHTTP(w, r) }))
		s.entries = append(s.entries, e)
	}
	return s
}

func endpointOf(name string, server *httptest.Server, slots int) fleet.Endpoint {
	return fleet.Endpoint{
		Name: name, Service: serviceName, Address: server.Listener.Addr().String(), Slots: slots, Expires: clock.System{}.Now().Add(time.Hour),
	}
}

// setEndpoint makes a server the only endpoint of the service.
func (s *system) setEndpoint(server *httptest.Server, deadline time.Duration) {
	s.view.Store(&route.View{Services: map[string]route.Service{serviceName: {
		Settings:  docs.Service{Name: serviceName, DeadlineMs: int(deadline.Milliseconds())},
		Endpoints: []fleet.Endpoint{endpointOf("one", server, 8)},
	}}})
}

func (s *system) close() {
	s.client.CloseIdleConnections()
	for _, e := range s.entries {
		e.stop()
		e.server.Close()
	}
	s.relay.Close()
	for _, server := range s.servers {
		server.Close()
	}
}

// executions sums a count, such as how often a request ran, over all fake endpoints.
func (s *system) executions(count func(*fakes.Handler) int) int {
	total := 0
	for _, h := range s.handlers {
		total += count(h)
	}
	return total
}
