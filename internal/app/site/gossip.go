package site

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
)

const (
	// helloTimeout bounds one exchange of hellos.
	helloTimeout = 600 * time.Millisecond
	// discoveryInterval is the time between rounds of hellos while no leader is known, helloInterval while one is.
	discoveryInterval = 100 * time.Millisecond
	helloInterval     = 400 * time.Millisecond
	// formTimeout bounds forming the group, in which this replica syncs its agreement to the first members.
	formTimeout = 2 * time.Second
)

// gossiper keeps the membership up to date by exchanging hellos with peers, and with seeds while no leader is known.
type gossiper struct {
	peers       *peerHandler
	connections *link.Connections
	clock       clock.Clock
	// seeds are the peer addresses of some processes.
	seeds atomic.Pointer[[]string]
	// firstStart means that this is the system's first start, at which a group may be formed.
	firstStart bool
	logger     *zap.Logger
}

// seedAddresses converts the seeds' control addresses to peer addresses; the peer port is the same on all hosts. Seeds
// that can't be read are logged and left out; it fails if none of those given can.
func seedAddresses(controlAddresses []string, port int, logger *zap.Logger) ([]string, error) {
	var all []string
	for _, c := range controlAddresses {
		host, _, err := net.SplitHostPort(c)
		if err != nil || host == "" {
			logger.Error("seed_left_out", zap.String("seed", c), zap.Error(err))
			continue
		}
		all = append(all, net.JoinHostPort(host, strconv.Itoa(port)))
	}
	if len(all) == 0 && len(controlAddresses) > 0 {
		return nil, errors.Newf("none of the seeds %q is an address", controlAddresses)
	}
	return all, nil
}

// setSeeds replaces the seeds with those of the settings; on an error the old ones stay.
func (g *gossiper) setSeeds(settings conf.Site) error {
	all, err := seedAddresses(settings.Seeds, settings.Listen.PeerPort, g.logger)
	if err != nil {
		return err
	}
	g.seeds.Store(&all)
	return nil
}

// Run sends rounds of hellos until the context ends; after each one it forms the group if that is due.
func (g *gossiper) Run(ctx context.Context) error {
	done := make(chan struct{})
	for {
		targets, known, err := g.targets(ctx)
		if err != nil {
			return nil
		}
		for _, address := range targets {
			go func() {
				g.sendHello(ctx, address)
				done <- struct{}{}
			}()
		}
		for range targets {
			<-done
		}
		if g.peers.node != nil && g.firstStart {
			g.formGroup(ctx)
		}
		interval := discoveryInterval
		if known {
			interval = helloInterval
		}
		if !clock.Sleep(ctx, g.clock, interval) {
			return nil
		}
	}
}

// targets returns the addresses to send a hello to, and whether a leader is known that can be reached. While none is, the seeds are among them.
func (g *gossiper) targets(ctx context.Context) (all []string, known bool, err error) {
	self := g.peers.membership.Self().Address
	err = g.peers.loop.Call(ctx, func() {
		route := g.peers.membership.Route()
		known = route.Reachable()
		all = g.peers.membership.Peers(g.peers.uptime.Milliseconds())
	})
	if !known {
		for _, s := range *g.seeds.Load() {
			if s != self && !slices.Contains(all, s) {
				all = append(all, s)
			}
		}
	}
	return all, known, err
}

// sendHello exchanges hellos with one process. If the leader doesn't answer, it is forgotten.
func (g *gossiper) sendHello(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var frame *peer.Link
	if err := g.peers.loop.Call(callCtx, func() {
		own := g.peers.makeHello()
		frame = &peer.Link{Body: &peer.Link_Hello{Hello: helloToWire(&own)}}
	}); err != nil {
		return
	}
	route := g.peers.membership.Route()
	answer, err := g.connections.Call(callCtx, address, frame)
	if err != nil {
		g.logger.Debug("greeting_lost", zap.String("address", address), zap.Error(err))
		if address == route.Address {
			_ = g.peers.loop.TryPost(func() { g.peers.membership.LoseLeader(route.Term) })
		}
		return
	}
	hello := helloFromWire(answer.GetHello())
	if err := g.peers.loop.Post(ctx, func() { g.peers.membership.HandleHello(&hello, g.peers.uptime.Milliseconds()) }); err != nil {
		g.logger.Debug("greeting_lost", zap.String("address", address), zap.Error(err))
	}
}

// formGroup forms the group if this process is the founder and has no state yet.
func (g *gossiper) formGroup(ctx context.Context) {
	var members []quorum.Member
	err := g.peers.loop.Call(ctx, func() {
		if _, _, hasState := g.peers.node.Self(); !hasState {
			members = g.peers.membership.Founders(g.peers.uptime.Milliseconds())
		}
	})
	if err != nil || len(members) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	err = g.peers.node.FormGroup(callCtx, members, noOtherMembers)
	g.logger.Info("group_forming", zap.Int("members", len(members)), zap.Error(err))
}

// noOtherMembers refuses agreement for any other first member: the founder forms the group on its own.
func noOtherMembers(_ context.Context, name string, _ []quorum.Member) error {
	return errors.Newf("%s is no founder", name)
}
