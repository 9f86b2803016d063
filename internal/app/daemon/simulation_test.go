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
	leaseDuration = 3 * time.Second
	renewInterval = time.Second
	announceTTL   = 10 * time.Second
	tickInterval  = 250 * time.Millisecond
)

// instantClock is a manual clock whose timers fire at once, so that no timer waits for the test to advance the clock.
type instantClock struct{ *clock.Manual }

func (c instantClock) NewTimer(time.Duration) clock.Timer { return c.Manual.NewTimer(0) }

// simulation runs control replicas, which share one log, and entries. The test alone advances its clock and its steps.
type simulation struct {
	ctx      context.Context
	clock    instantClock
	log      []record.Command
	leader   int
	replicas []*replicaFake
	entries  []*entryFake
}

// replicaFake is a control replica; Confirm succeeds only on the leader, and only while it is not partitioned.
type replicaFake struct {
	sim         *simulation
	index       int
	partitioned bool
	machine     *state.Machine
	keeper      *lease.Keeper
}

// entryFake is an entry with its connection to the leader and its traffic.
type entryFake struct {
	sim   *simulation
	name  string
	agent *agent.Agent
	// partitioned loses the renewals, answersLost only the answers to them.
	partitioned, answersLost bool
	// delay is the one-way network delay.
	delay       time.Duration
	nextRenewal time.Time
	// requests holds the start times of the requests in progress by VM.
	requests map[string][]time.Time
}

func newSimulation(ctx context.Context, replicas, entries int) *simulation {
	s := &simulation{ctx: ctx, clock: instantClock{clock.NewManual(time.Unix(1_800_000_000, 0))}}
	for i := range replicas {
		s.replicas = append(s.replicas, &replicaFake{sim: s, index: i, machine: state.NewMachine()})
	}
	for i := range entries {
		s.entries = append(s.entries, &entryFake{sim: s, name: fmt.Sprintf("entry-%d", i)})
	}
	for _, r := range s.replicas {
		r.restart()
	}
	for _, e := range s.entries {
		e.restart()
	}
	return s
}

// restart replaces the keeper of a replica by a new one, which has received no renewal.
func (r *replicaFake) restart() {
	var names []string
	for _, e := range r.sim.entries {
		names = append(names, e.name)
	}
	r.keeper = lease.NewKeeper(lease.Options{
		Node: r, Clock: r.sim.clock, Logger: zap.NewNop(), Entries: names, Lease: leaseDuration,
	})
	go func(k *lease.Keeper) { _ = k.RunConfirm(r.sim.ctx) }(r.keeper)
}

func (r *replicaFake) Confirm(context.Context) error {
	if r.sim.leader != r.index || r.partitioned {
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
	for r.machine.State().Applied < uint64(len(r.sim.log)) {
		index := r.machine.State().Applied
		r.machine.Apply(index+1, r.sim.log[index])
	}
}

// restart replaces the agent of an entry by a new one without a lease or announcements, and drops the requests in
// progress.
func (e *entryFake) restart() {
	l := loop.New(loop.DefaultCapacity)
	go func() { _ = l.Run(e.sim.ctx) }()
	e.requests = map[string][]time.Time{}
	e.nextRenewal = e.sim.clock.Now()
	// The start time of a run is its incarnation, so two runs must not start at the same time.
	e.sim.clock.Advance(1)
	e.agent = agent.New(agent.Options{
		Name: e.name, Loop: l, Clock: e.sim.clock, Logger: zap.NewNop(), Control: e, Peers: noPeers{}, Traffic: e,
		Random: rand.IntN, Lease: leaseDuration, Renew: renewInterval, TTL: announceTTL,
	})
}

func (e *entryFake) Renew(ctx context.Context, r grant.Renewal) (grant.Grant, error) {
	if e.partitioned {
		return grant.Grant{}, errors.New("cut off")
	}
	e.sim.clock.Advance(e.delay)
	sent := codec.RenewalFromWire(codec.RenewalToWire(r))
	g, err := e.sim.replicas[e.sim.leader].keeper.Renew(ctx, sent)
	e.sim.clock.Advance(e.delay)
	if e.answersLost {
		return grant.Grant{}, errors.New("the answer was lost")
	}
	return codec.GrantFromWire(codec.GrantToWire(g)), err
}

func (e *entryFake) InProgress(vm string) int { return len(e.requests[vm]) }

func (e *entryFake) Reports() []fleet.ServiceReport { return nil }

func (e *entryFake) serving() bool {
	return e.agent.View().Lease.Valid(e.sim.clock.Now())
}

// renewIfDue renews the lease if it is due, and again at once while grants bring changes.
func (e *entryFake) renewIfDue() {
	for changed := true; changed && !e.sim.clock.Now().Before(e.nextRenewal); {
		var err error
		if changed, err = e.agent.Renew(e.sim.ctx); err != nil {
			e.nextRenewal = e.sim.clock.Now().Add(renewInterval / 4)
			return
		}
		if !changed {
			e.nextRenewal = e.sim.clock.Now().Add(renewInterval)
		}
	}
}

// request starts a request on a random endpoint of the routing view; without a valid lease it does nothing.
func (e *entryFake) request() {
	if !e.serving() {
		return
	}
	for _, s := range e.agent.View().Services {
		if len(s.Endpoints) > 0 {
			vm := s.Endpoints[rand.IntN(len(s.Endpoints))].VM
			e.requests[vm] = append(e.requests[vm], e.sim.clock.Now())
			return
		}
	}
}

// tick advances the clock, renews the leases that are due and refreshes the replicas.
func (s *simulation) tick(d time.Duration) error {
	s.advance(d)
	for _, e := range s.entries {
		e.renewIfDue()
	}
	return s.refresh()
}

// advance advances the clock without any other step, as if all processes were frozen. Requests end at their deadline.
func (s *simulation) advance(d time.Duration) {
	s.clock.Advance(d)
	now := s.clock.Now()
	for _, e := range s.entries {
		for vm, started := range e.requests {
			for len(started) > 0 && now.Sub(started[0]) >= lease.MaxDeadline {
				started = started[1:]
			}
			e.requests[vm] = started
		}
	}
}

// refresh lets every replica that is not partitioned apply the log, and refreshes all keepers.
func (s *simulation) refresh() error {
	for _, r := range s.replicas {
		if !r.partitioned {
			r.catchUp()
		}
		if err := r.keeper.Refresh(s.ctx); err != nil {
			return err
		}
	}
	return nil
}

// commit appends a command to the shared log and applies it on the leader.
func (s *simulation) commit(c record.Command) {
	c.Time = s.clock.Now()
	s.log = append(s.log, c)
	s.replicas[s.leader].catchUp()
}

// state returns the state on the leader.
func (s *simulation) state() *state.State {
	return s.replicas[s.leader].machine.State()
}

// noPeers is the transport to the other entries where there are none.
type noPeers struct{}

func (noPeers) Share(agent.Gossip) {}
func (noPeers) Count() int         { return 0 }
func (noPeers) Learn(context.Context, int) ([]fleet.Endpoint, error) {
	return nil, nil
}

func (noPeers) Compare(context.Context, int, uint64) ([]uint64, error) { return nil, nil }

func (noPeers) Exchange(context.Context, int, []int, []fleet.Endpoint) ([]fleet.Endpoint, error) {
	return nil, nil
}
