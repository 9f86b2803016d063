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
	"cowslipstack/internal/base/check"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/edge/front"
	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A seed that was given stays; without one, the runs are the same each time.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "60", "rapid.nofailfile": "true"} {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	check.SetHandler(func(name string, fields []zap.Field) { panic(fmt.Sprint(name, fields)) })
	os.Exit(m.Run())
}

var errLost = errors.New("the result was lost")

// claims is the real state machine behind failures that are taken from a list.
type claims struct {
	mu      sync.Mutex
	machine *state.Machine
	index   uint64
	faults  []string
	late    []record.Command
}

func (c *claims) Submit(_ context.Context, command record.Command) (record.Result, error) {
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
		c.late = append(c.late, command)
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

func (c *claims) apply(command record.Command) record.Result {
	c.index++
	command.Time = clock.System{}.Now()
	return c.machine.Apply(c.index, command)
}

// settle applies what is late.
func (c *claims) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, command := range c.late {
		c.apply(command)
	}
	c.late = nil
}

func (c *claims) inject(faults []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// entry is one entry that can die, which loses its memory, or be frozen past its lease.
type entry struct {
	name   string
	site   *site
	server *httptest.Server
	lapsed atomic.Bool
	// drained is an endpoint that is not in the view by which the entry holds its lease.
	drained atomic.Pointer[string]
	now     atomic.Pointer[process]
}

// process is one life of an entry.
type process struct {
	handler http.Handler
	memory  *claim.Memory
	cancel  context.CancelFunc
	ended   chan error
	fault   atomic.Pointer[string]
}

func (e *entry) View() *route.View {
	v := *e.site.view.Load()
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
	for _, o := range e.site.entries {
		if o.name == name {
			r, _ := o.now.Load().memory.Recall(key, digest)
			return r, nil
		}
	}
	return claim.Recall{}, errors.New("no such entry")
}

// faultyRelay lets its entry die or freeze around one sending.
type faultyRelay struct {
	*relay.Relay
	entry   *entry
	process *process
}

func (r *faultyRelay) Send(ctx context.Context, to fleet.Endpoint, a relay.Attempt) relay.Answer {
	fault := r.process.fault.Swap(new(string))
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
		r.entry.site.slipped.Add(1)
	}
	if *fault == "die_after" {
		if answer.Response != nil {
			_ = answer.Response.Body.Close()
		}
		panic(http.ErrAbortHandler)
	}
	return answer
}

// start begins a new life of the entry.
func (e *entry) start() {
	p := &process{memory: claim.NewMemory(1 << 20), ended: make(chan error, 1)}
	p.fault.Store(new(string))
	c := e.site.clock
	f := front.New(front.Options{
		Name: e.name, Views: e, Dispatcher: newDirect(e, c), Relay: &faultyRelay{Relay: e.site.relay, entry: e, process: p},
		Claims: e.site.claims, Peers: e, Memory: p.memory, Clock: c, Logger: zap.NewNop(), BodyLimit: 1 << 30,
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.handler, p.cancel = f.Handler(), cancel
	go func() { p.ended <- f.Run(ctx) }()
	e.now.Store(p)
}

func (e *entry) stop() {
	p := e.now.Load()
	p.cancel()
	if err := <-p.ended; err != nil {
		panic(err)
	}
}

// site is a few entries and fake endpoints in one process.
type site struct {
	clock   clock.Clock
	claims  *claims
	relay   *relay.Relay
	view    atomic.Pointer[route.View]
	entries []*entry
	workers []*fakes.Worker
	servers []*httptest.Server
	client  *http.Client
	// slipped counts attempts that were sent without a lease.
	slipped atomic.Int64
}

const serviceName = "credits"

func newSite(entries, workers int) *site {
	return newSiteAt(clock.System{}, entries, workers)
}

// newSiteAt returns a site whose entries have a clock of their own.
func newSiteAt(c clock.Clock, entries, workers int) *site {
	s := &site{
		clock:  c,
		claims: &claims{machine: state.NewMachine()}, relay: relay.New(relay.Options{Connections: 64}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
	service := route.Service{Settings: docs.Service{Name: serviceName, DeadlineMs: 10000}}
	for i := range workers {
		w := fakes.NewWorker(fmt.Sprint("runner-", i), fakes.ModeAnswer, clock.System{})
		server := httptest.NewServer(w)
		s.workers, s.servers = append(s.workers, w), append(s.servers, server)
		service.Endpoints = append(service.Endpoints, fleet.Endpoint{
			Name: fmt.Sprint("runner-", i), Service: serviceName, Address: server.Listener.Addr().String(), Slots: 4096,
			Expires: clock.System{}.Now().Add(time.Hour),
		})
	}
	s.view.Store(&route.View{Revision: 1, Services: map[string]route.Service{serviceName: service}})
	for i := range entries {
		e := &entry{name: fmt.Sprint("entry-", i), site: s}
		e.start()
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.now.Load().handler.ServeHTTP(w, r) }))
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *site) close() {
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

// ran returns how often a request ran, by its identity or its key.
func (s *site) ran(count func(*fakes.Worker) int) int {
	total := 0
	for _, w := range s.workers {
		total += count(w)
	}
	return total
}
