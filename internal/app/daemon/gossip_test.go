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

// gossipNode is an entry that exchanges announcements with the others directly; their calls can be lost.
type gossipNode struct {
	nodes  *[]*gossipNode
	agent  *agent.Agent
	random *rand.Rand
	// gossipLost loses the gossip sent to this entry; partitioned loses all calls from and to it.
	gossipLost, partitioned bool
	sharedCount             int
}

func newGossipNodes(ctx context.Context, c clock.Clock, count int) []*gossipNode {
	var nodes []*gossipNode
	random := rand.New(rand.NewPCG(4, 4))
	for i := range count {
		n := &gossipNode{nodes: &nodes, random: random}
		nodes = append(nodes, n)
		n.start(ctx, c, i)
	}
	return nodes
}

func (n *gossipNode) start(ctx context.Context, c clock.Clock, index int) {
	l := loop.New(loop.DefaultCapacity)
	go func() { _ = l.Run(ctx) }()
	n.agent = agent.New(agent.Options{
		Name: fmt.Sprint("entry-", index), Loop: l, Clock: c, Logger: zap.NewNop(), Control: n, Peers: n, Traffic: n,
		Random: n.random.IntN, Lease: leaseDuration, Renew: renewInterval, TTL: announceTTL,
	})
}

func (n *gossipNode) Renew(context.Context, grant.Renewal) (grant.Grant, error) {
	text := documentText(1)
	return codec.GrantFromWire(codec.GrantToWire(fullGrant(text))), nil
}

func (n *gossipNode) InProgress(string) int          { return 0 }
func (n *gossipNode) Reports() []fleet.ServiceReport { return nil }
func (n *gossipNode) Count() int                     { return len(*n.nodes) - 1 }

// peerAt returns the other entry with the index, counted without the entry itself.
func (n *gossipNode) peerAt(index int) *gossipNode {
	for i, o := range *n.nodes {
		if o == n && i <= index {
			return (*n.nodes)[index+1]
		}
	}
	return (*n.nodes)[index]
}

func (n *gossipNode) Share(gossip agent.Gossip) {
	n.sharedCount += len(gossip.Endpoints) + len(gossip.Refreshes)
	for _, o := range *n.nodes {
		if o != n && !o.gossipLost && !o.partitioned && !n.partitioned {
			// The test steps one entry at a time, so that the other's control loop is free.
			_ = o.agent.Receive(context.Background(), gossip)
		}
	}
}

// connect returns the other entry with the index, or an error if the two are partitioned.
func (n *gossipNode) connect(index int) (*gossipNode, error) {
	o := n.peerAt(index)
	if n.partitioned || o.partitioned {
		return nil, errors.New("cut off")
	}
	return o, nil
}

func (n *gossipNode) Learn(ctx context.Context, index int) ([]fleet.Endpoint, error) {
	o, err := n.connect(index)
	if err != nil {
		return nil, err
	}
	return o.agent.Endpoints(ctx)
}

func (n *gossipNode) Compare(ctx context.Context, index int, root uint64) ([]uint64, error) {
	o, err := n.connect(index)
	if err != nil {
		return nil, err
	}
	return o.agent.Compare(ctx, root)
}

func (n *gossipNode) Exchange(ctx context.Context, index int, buckets []int, own []fleet.Endpoint) ([]fleet.Endpoint, error) {
	o, err := n.connect(index)
	if err != nil {
		return nil, err
	}
	return o.agent.Exchange(ctx, buckets, own)
}

func (n *gossipNode) routeCount() int {
	return len(n.agent.View().Services["inspection"].Endpoints)
}

// syncRound advances the clock by a second; each entry syncs with one other and drops expired endpoints.
func syncRound(ctx context.Context, t testing.TB, c *clock.Manual, nodes []*gossipNode) {
	c.Advance(time.Second)
	for _, n := range nodes {
		n.agent.Sync(ctx)
		if err := n.agent.Expire(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

func (n *gossipNode) announce(ctx context.Context, t testing.TB, name string, sequence uint64, leaving bool) {
	_, err := n.agent.Announce(ctx, fleet.Endpoint{
		Service: "inspection", Name: name, VM: "vm-" + name, Address: "127.0.0.1:1", Slots: 8, Sequence: sequence, Leaving: leaving,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestSpread loses the gossip to two of eleven entries, one of which is partitioned. The one that is not partitioned gets
// what it missed within 3 s, an entry that restarts learns all endpoints at once, and an entry that returns from a
// partition routes to no endpoint that has left.
func TestSpread(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := instantClock{clock.NewManual(time.Unix(1_800_000_000, 0))}
	nodes := newGossipNodes(ctx, c, 11)
	for _, n := range nodes {
		_, err := n.agent.Renew(ctx)
		is.NoErr(err)
	}
	lossy, partitioned := nodes[3], nodes[7]
	lossy.gossipLost, partitioned.partitioned = true, true
	nodes[0].announce(ctx, t, "one", 1, false)
	nodes[1].announce(ctx, t, "two", 1, false)
	for range 3 {
		syncRound(ctx, t, c.Manual, nodes)
	}
	for _, n := range nodes {
		is.True(n == partitioned || n.routeCount() == 2)
	}
	is.Equal(partitioned.routeCount(), 0)

	partitioned.partitioned = false
	partitioned.start(ctx, c, 7)
	partitioned.agent.Learn(ctx)
	_, err := partitioned.agent.Renew(ctx)
	is.NoErr(err)
	is.Equal(partitioned.routeCount(), 2)

	partitioned.partitioned = true
	nodes[2].announce(ctx, t, "one", 2, true)
	for range 3 {
		syncRound(ctx, t, c.Manual, nodes)
	}
	for _, n := range nodes {
		is.True(n == partitioned || n.routeCount() == 1)
	}
	lossy.gossipLost = false
	nodes[1].announce(ctx, t, "two", 2, false)
	// The partition outlasts the lease; only the partitioned entry still has the endpoint that left.
	is.Equal(partitioned.routeCount(), 2)
	c.Advance(leaseDuration)
	partitioned.partitioned = false
	_, err = partitioned.agent.Renew(ctx)
	is.NoErr(err)
	is.Equal(partitioned.routeCount(), 1)
	// A late announcement of the endpoint that left changes nothing on any entry.
	nodes[5].announce(ctx, t, "one", 3, false)
	syncRound(ctx, t, c.Manual, nodes)
	for _, n := range nodes {
		is.Equal(n.routeCount(), 1)
	}
}

func fullGrant(text []byte) grant.Grant {
	return grant.Grant{Revision: 1, Digest: docs.Digest(text), Document: &docs.Delta{Middle: text}, LogIndex: 1}
}
