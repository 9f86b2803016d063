package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/lease"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/edge/agent"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
)

const (
	siteLease = 3 * time.Second
	siteRenew = time.Second
	siteTTL   = 10 * time.Second
	tickTime  = 250 * time.Millisecond
)

// eager is a manual clock whose timers fire at once, so that a step never waits for the test itself.
type eager struct{ *clock.Manual }

func (e eager) NewTimer(time.Duration) clock.Timer { return e.Manual.NewTimer(0) }

// site is control replicas that share one log, and entries, all driven by one test.
type site struct {
	ctx      context.Context
	clock    eager
	log      []record.Command
	leader   int
	replicas []*replicaFake
	entries  []*entryFake
}

// replicaFake is one control replica; only the leader of the site can confirm.
type replicaFake struct {
	site    *site
	index   int
	cut     bool
	machine *state.Machine
	keeper  *lease.Keeper
}

// entryFake is one entry with its connection to the leader and its traffic.
type entryFake struct {
	site  *site
	name  string
	agent *agent.Agent
	// cut loses renewals; deaf loses their answers; slow delays both ways.
	cut, deaf bool
	slow      time.Duration
	next      time.Time
	requests  map[string][]time.Time
}

func newSite(ctx context.Context, replicas, entries int) *site {
	s := &site{ctx: ctx, clock: eager{clock.NewManual(time.Unix(1_800_000_000, 0))}}
	for i := range replicas {
		s.replicas = append(s.replicas, &replicaFake{site: s, index: i, machine: state.NewMachine()})
	}
	for i := range entries {
		s.entries = append(s.entries, &entryFake{site: s, name: fmt.Sprintf("entry-%d", i)})
	}
	for _, r := range s.replicas {
		r.restart()
	}
	for _, e := range s.entries {
		e.restart()
	}
	return s
}

// restart gives a replica a keeper that has heard of nothing.
func (r *replicaFake) restart() {
	var names []string
	for _, e := range r.site.entries {
		names = append(names, e.name)
	}
	r.keeper = lease.NewKeeper(lease.Options{
		Node: r, Clock: r.site.clock, Logger: zap.NewNop(), Entries: names, Lease: siteLease,
	})
	go func(k *lease.Keeper) { _ = k.RunConfirm(r.site.ctx) }(r.keeper)
}

func (r *replicaFake) Confirm(context.Context) error {
	if r.site.leader != r.index || r.cut {
		return quorum.ErrNotLeader
	}
	r.catchUp()
	return nil
}

func (r *replicaFake) View(_ context.Context, view func(*state.State)) error {
	view(r.machine.State())
	return nil
}

func (r *replicaFake) catchUp() {
	for r.machine.State().Applied < uint64(len(r.site.log)) {
		index := r.machine.State().Applied
		r.machine.Apply(index+1, r.site.log[index])
	}
}

// restart gives an entry an agent that has heard of nothing; its requests end with the old one.
func (e *entryFake) restart() {
	l := loop.New(loop.DefaultCapacity)
	go func() { _ = l.Run(e.site.ctx) }()
	e.requests = map[string][]time.Time{}
	e.next = e.site.clock.Now()
	// Each run starts at a time of its own.
	e.site.clock.Advance(1)
	e.agent = agent.New(agent.Options{
		Name: e.name, Loop: l, Clock: e.site.clock, Logger: zap.NewNop(), Control: e, Peers: nobody{}, Traffic: e,
		Random: rand.IntN, Lease: siteLease, Renew: siteRenew, TTL: siteTTL,
	})
}

func (e *entryFake) Renew(ctx context.Context, r grant.Renewal) (grant.Grant, error) {
	if e.cut {
		return grant.Grant{}, errors.New("cut off")
	}
	e.site.clock.Advance(e.slow)
	sent := codec.RenewalFromWire(codec.RenewalToWire(r))
	g, err := e.site.replicas[e.site.leader].keeper.Renew(ctx, sent)
	e.site.clock.Advance(e.slow)
	if e.deaf {
		return grant.Grant{}, errors.New("the answer was lost")
	}
	return codec.GrantFromWire(codec.GrantToWire(g)), err
}

func (e *entryFake) InProgress(vm string) int { return len(e.requests[vm]) }

func (e *entryFake) Reports() []fleet.ServiceReport { return nil }

func (e *entryFake) serving() bool {
	return e.agent.View().Lease.Valid(e.site.clock.Now())
}

// renewDue renews where it is time to, and at once again if the renewal changed anything.
func (e *entryFake) renewDue() {
	for changed := true; changed && !e.site.clock.Now().Before(e.next); {
		var err error
		if changed, err = e.agent.Renew(e.site.ctx); err != nil {
			e.next = e.site.clock.Now().Add(siteRenew / 4)
			return
		}
		if !changed {
			e.next = e.site.clock.Now().Add(siteRenew)
		}
	}
}

// request begins a request on a random endpoint that the entry may route to.
func (e *entryFake) request() {
	if !e.serving() {
		return
	}
	for _, s := range e.agent.View().Services {
		if len(s.Endpoints) > 0 {
			vm := s.Endpoints[rand.IntN(len(s.Endpoints))].VM
			e.requests[vm] = append(e.requests[vm], e.site.clock.Now())
			return
		}
	}
}

// tick lets time pass: entries renew where they are due, replicas watch, and requests end by their deadline.
func (s *site) tick(d time.Duration) error {
	s.pass(d)
	for _, e := range s.entries {
		e.renewDue()
	}
	return s.watch()
}

// pass lets time pass while nobody acts, as in a freeze of all; requests end by their deadline.
func (s *site) pass(d time.Duration) {
	s.clock.Advance(d)
	now := s.clock.Now()
	for _, e := range s.entries {
		for vm, began := range e.requests {
			for len(began) > 0 && now.Sub(began[0]) >= lease.MaxDeadline {
				began = began[1:]
			}
			e.requests[vm] = began
		}
	}
}

func (s *site) watch() error {
	for _, r := range s.replicas {
		if !r.cut {
			r.catchUp()
		}
		if err := r.keeper.Refresh(s.ctx); err != nil {
			return err
		}
	}
	return nil
}

// commit commits a command; the leader applies it.
func (s *site) commit(c record.Command) {
	c.Time = s.clock.Now()
	s.log = append(s.log, c)
	s.replicas[s.leader].catchUp()
}

// state is the committed state.
func (s *site) state() *state.State {
	return s.replicas[s.leader].machine.State()
}

// nobody is an entry's view of others where there are none.
type nobody struct{}

func (nobody) Share(agent.Gossip) {}
func (nobody) Count() int         { return 0 }
func (nobody) Learn(context.Context, int) ([]fleet.Endpoint, error) {
	return nil, nil
}

func (nobody) Compare(context.Context, int, uint64) ([]uint64, error) { return nil, nil }

func (nobody) Exchange(context.Context, int, []int, []fleet.Endpoint) ([]fleet.Endpoint, error) {
	return nil, nil
}
