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
	// greetTime bounds one greeting.
	greetTime = 600 * time.Millisecond
	// seekPause spaces greetings while no leader is known, and restPause while one is.
	seekPause = 100 * time.Millisecond
	restPause = 400 * time.Millisecond
	// agreeTime bounds this process's own agreement to the first members.
	agreeTime = 2 * time.Second
)

// greeter keeps the membership up to date: it greets seeds and the processes that matter to this one.
type greeter struct {
	links *links
	lines *link.Lines
	clock clock.Clock
	// seeds are addresses of some processes.
	seeds atomic.Pointer[[]string]
	// mayForm says that this is the system's first start.
	mayForm bool
	logger  *zap.Logger
}

// seedAddresses returns where the seeds' processes are reached by others: at their hosts, on the port that is the same everywhere.
func seedAddresses(controls []string, port int) ([]string, error) {
	var all []string
	for _, c := range controls {
		host, _, err := net.SplitHostPort(c)
		if err != nil {
			return nil, errors.Wrapf(err, "seed %q", c)
		}
		all = append(all, net.JoinHostPort(host, strconv.Itoa(port)))
	}
	return all, nil
}

// seed takes the seeds of the settings.
func (g *greeter) seed(settings conf.Site) error {
	all, err := seedAddresses(settings.Seeds, settings.Listen.PeerPort)
	if err != nil {
		return err
	}
	g.seeds.Store(&all)
	return nil
}

// Run greets until the context ends.
func (g *greeter) Run(ctx context.Context) error {
	ends := make(chan struct{})
	for {
		targets, known, err := g.targets(ctx)
		if err != nil {
			return nil
		}
		for _, address := range targets {
			go func() {
				g.greet(ctx, address)
				ends <- struct{}{}
			}()
		}
		for range targets {
			<-ends
		}
		if g.links.node != nil && g.mayForm {
			g.form(ctx)
		}
		pause := seekPause
		if known {
			pause = restPause
		}
		if !clock.Sleep(ctx, g.clock, pause) {
			return nil
		}
	}
}

// targets returns whom to greet, and whether a leader is known.
func (g *greeter) targets(ctx context.Context) (all []string, known bool, err error) {
	self := g.links.roster.Self().Address
	err = g.links.loop.Call(ctx, func() {
		known = g.links.roster.Route().Leader != ""
		all = g.links.roster.Peers()
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

func (g *greeter) greet(ctx context.Context, address string) {
	call, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	var frame *peer.Link
	if err := g.links.loop.Call(call, func() {
		own := g.links.makeHello()
		frame = &peer.Link{Body: &peer.Link_Hello{Hello: helloToWire(&own)}}
	}); err != nil {
		return
	}
	route := g.links.roster.Route()
	answer, err := g.lines.Call(call, address, frame)
	if err != nil {
		g.logger.Debug("greeting_lost", zap.String("address", address), zap.Error(err))
		if address == route.Address {
			_ = g.links.loop.TryPost(func() { g.links.roster.LoseLeader(route.Term) })
		}
		return
	}
	heard := helloFromWire(answer.GetHello())
	if err := g.links.loop.Post(ctx, func() { g.links.roster.HandleHello(&heard, g.links.uptime.Milliseconds()) }); err != nil {
		g.logger.Debug("greeting_lost", zap.String("address", address), zap.Error(err))
	}
}

// form makes the group's first members, where this process is the one to do so.
func (g *greeter) form(ctx context.Context) {
	var members []quorum.Member
	err := g.links.loop.Call(ctx, func() {
		if _, _, hasState := g.links.node.Self(); !hasState {
			members = g.links.roster.Founders(g.links.uptime.Milliseconds())
		}
	})
	if err != nil || len(members) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, agreeTime)
	defer cancel()
	err = g.links.node.FormGroup(call, members, alone)
	g.logger.Info("group_forming", zap.Int("members", len(members)), zap.Error(err))
}

// alone is asked for the agreement of other founders: there are none.
func alone(_ context.Context, name string, _ []quorum.Member) error {
	return errors.Newf("%s is no founder", name)
}
