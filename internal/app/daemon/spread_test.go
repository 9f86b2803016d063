package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/edge/agent"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
	"cowslipstack/internal/wire/codec"
)

// neighbour is one entry among others that reach each other by calls that may be lost.
type neighbour struct {
	all    *[]*neighbour
	agent  *agent.Agent
	random *rand.Rand
	// deaf loses all that is shared with this entry; cut loses the calls that it makes too.
	deaf, cut bool
	shared    int
}

func newNeighbours(ctx context.Context, c clock.Clock, count int) []*neighbour {
	var all []*neighbour
	random := rand.New(rand.NewPCG(4, 4))
	for i := range count {
		n := &neighbour{all: &all, random: random}
		all = append(all, n)
		n.start(ctx, c, i)
	}
	return all
}

func (n *neighbour) start(ctx context.Context, c clock.Clock, index int) {
	l := loop.New(loop.DefaultCapacity)
	go func() { _ = l.Run(ctx) }()
	n.agent = agent.New(agent.Options{
		Name: fmt.Sprint("entry-", index), Loop: l, Clock: c, Logger: zap.NewNop(), Control: n, Peers: n, Traffic: n,
		Random: n.random.IntN, Lease: siteLease, Renew: siteRenew, TTL: siteTTL,
	})
}

func (n *neighbour) Renew(context.Context, grant.Renewal) (grant.Grant, error) {
	text := documentText(1)
	return codec.GrantFromWire(codec.GrantToWire(wholeGrant(text))), nil
}

func (n *neighbour) InProgress(string) int          { return 0 }
func (n *neighbour) Reports() []fleet.ServiceReport { return nil }
func (n *neighbour) Count() int                     { return len(*n.all) - 1 }

func (n *neighbour) other(index int) *neighbour {
	for i, o := range *n.all {
		if o == n && i <= index {
			return (*n.all)[index+1]
		}
	}
	return (*n.all)[index]
}

func (n *neighbour) Share(gossip agent.Gossip) {
	n.shared += len(gossip.Endpoints) + len(gossip.Refreshes)
	for _, o := range *n.all {
		if o != n && !o.deaf && !o.cut && !n.cut {
			// The test drives one entry at a time, so that the other's loop is free.
			_ = o.agent.Receive(context.Background(), gossip)
		}
	}
}

func (n *neighbour) reach(index int) (*neighbour, error) {
	o := n.other(index)
	if n.cut || o.cut {
		return nil, errors.New("cut off")
	}
	return o, nil
}

func (n *neighbour) Learn(ctx context.Context, index int) ([]fleet.Endpoint, error) {
	o, err := n.reach(index)
	if err != nil {
		return nil, err
	}
	return o.agent.Endpoints(ctx)
}

func (n *neighbour) Compare(ctx context.Context, index int, root uint64) ([]uint64, error) {
	o, err := n.reach(index)
	if err != nil {
		return nil, err
	}
	return o.agent.Compare(ctx, root)
}

func (n *neighbour) Exchange(ctx context.Context, index int, buckets []int, own []fleet.Endpoint) ([]fleet.Endpoint, error) {
	o, err := n.reach(index)
	if err != nil {
		return nil, err
	}
	return o.agent.Exchange(ctx, buckets, own)
}

func (n *neighbour) routes() int {
	return len(n.agent.View().Services["inspection"].Endpoints)
}

// round lets a second pass: each entry compares with one other and drops what has lapsed.
func round(ctx context.Context, t testing.TB, c *clock.Manual, all []*neighbour) {
	c.Advance(time.Second)
	for _, n := range all {
		n.agent.Sync(ctx)
		if err := n.agent.Expire(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

func (n *neighbour) announce(ctx context.Context, t testing.TB, name string, sequence uint64, leaving bool) {
	_, err := n.agent.Announce(ctx, fleet.Endpoint{
		Service: "inspection", Name: name, VM: "vm-" + name, Address: "127.0.0.1:1", Slots: 8, Sequence: sequence, Leaving: leaving,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestSpread loses shares to two of eleven entries, one of which is cut off: what was lost is there within 3 s, an
// entry that restarts learns the set at once, and one that comes back from a cut routes to nothing that left.
func TestSpread(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := eager{clock.NewManual(time.Unix(1_800_000_000, 0))}
	all := newNeighbours(ctx, c, 11)
	for _, n := range all {
		_, err := n.agent.Renew(ctx)
		is.NoErr(err)
	}
	deaf, cut := all[3], all[7]
	deaf.deaf, cut.cut = true, true
	all[0].announce(ctx, t, "one", 1, false)
	all[1].announce(ctx, t, "two", 1, false)
	for range 3 {
		round(ctx, t, c.Manual, all)
	}
	for _, n := range all {
		is.True(n == cut || n.routes() == 2)
	}
	is.Equal(cut.routes(), 0)

	cut.cut = false
	cut.start(ctx, c, 7)
	cut.agent.Learn(ctx)
	_, err := cut.agent.Renew(ctx)
	is.NoErr(err)
	is.Equal(cut.routes(), 2)

	cut.cut = true
	all[2].announce(ctx, t, "one", 2, true)
	for range 3 {
		round(ctx, t, c.Manual, all)
	}
	for _, n := range all {
		is.True(n == cut || n.routes() == 1)
	}
	deaf.deaf = false
	all[1].announce(ctx, t, "two", 2, false)
	// The cut lasts longer than the lease; the endpoint is alive to this entry alone.
	is.Equal(cut.routes(), 2)
	c.Advance(siteLease)
	cut.cut = false
	_, err = cut.agent.Renew(ctx)
	is.NoErr(err)
	is.Equal(cut.routes(), 1)
	// A late announcement of what left changes nothing anywhere.
	all[5].announce(ctx, t, "one", 3, false)
	round(ctx, t, c.Manual, all)
	for _, n := range all {
		is.Equal(n.routes(), 1)
	}
}

func wholeGrant(text []byte) grant.Grant {
	return grant.Grant{Revision: 1, Digest: docs.Digest(text), Document: &docs.Delta{Middle: text}, LogIndex: 1}
}
