package site

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/logs"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/edge/proxy"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
	"cowslipstack/internal/wire/serve"
	"cowslipstack/platform"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 16 << 10
	// keepIdle, keepPause and keepCount find connections whose other end is gone.
	keepIdle  = 3 * time.Second
	keepPause = time.Second
	keepCount = 3
)

// operators returns the handler of the command line and of metrics.
func operators(d *proxy.Proxy) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	path, handler := peer.NewBatchHandler(&serve.Batch{Desk: d})
	router.PathPrefix(path).Handler(handler)
	return router
}

// listeners are a process's listening sockets, opened before anything else starts; nil where the settings name no address.
type listeners struct {
	callers, ready, control, operators, peers net.Listener
}

func newListeners(settings conf.Site, r *member.Membership, lc fx.Lifecycle) (*listeners, error) {
	l := &listeners{}
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepPause, Count: keepCount}}
	for _, want := range []struct {
		address string
		to      *net.Listener
	}{
		{settings.Listen.Callers, &l.callers},
		{settings.Listen.Ready, &l.ready},
		{settings.Listen.Control, &l.control},
		{settings.Listen.Operators, &l.operators},
		{bindOf(settings, r), &l.peers},
	} {
		if want.address == "" {
			continue
		}
		one, err := config.Listen(context.Background(), "tcp", want.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", want.address)
		}
		*want.to = one
		lc.Append(fx.StopHook(func() { _ = one.Close() }))
	}
	return l, nil
}

// bindOf returns where other processes are listened for.
func bindOf(settings conf.Site, r *member.Membership) string {
	if settings.Listen.BindHost == "" {
		return r.Self().Address
	}
	return net.JoinHostPort(settings.Listen.BindHost, strconv.Itoa(settings.Listen.PeerPort))
}

// running are the parts that start serves with.
type running struct {
	fx.In

	Settings  conf.Site
	Options   Options
	Clock     clock.Clock
	Uptime    clock.Uptime
	Logger    *zap.Logger
	Written   *logs.AsyncWriter
	Loop      *loop.Loop
	Group     *tasks.Group
	Roster    *member.Membership
	Lines     *link.Lines
	Replica   *replica
	Orders    *orders
	Engine    *sched.Scheduler
	Links     *links
	Greeter   *greeter
	Server    *platform.Server
	Desk      *proxy.Proxy
	Listeners *listeners
	Drain     *drain
	Reloader  *reloader
}

// start starts all goroutines of the process.
func start(r running) {
	g := r.Group
	g.Start("log", r.Written.Run)
	g.Start("control_loop", r.Loop.Run)
	g.Start("lines", r.Lines.Run)
	server := &link.Server{Listener: r.Listeners.peers, Handler: r.Links, Clock: r.Clock, Logger: r.Logger}
	g.Start("peers", server.Run)
	g.Start("greet", r.Greeter.Run)
	g.Start("settings", r.Reloader.Run)
	if n := r.Replica.node; n != nil {
		t := &tender{
			loop: r.Loop, clock: r.Clock, uptime: r.Uptime, node: n, engine: r.Engine, roster: r.Roster,
			losses: r.Settings.Control.Losses, logger: r.Logger,
		}
		n.OnStep(t.watch)
		g.Start("disk", n.RunDisk)
		g.Start("node", n.Run)
		g.Start("disk_watch", r.Replica.watchDisk)
		g.Start("tend", t.Run)
		for range ordersAtOnce {
			g.Start("orders", func(ctx context.Context) error { return r.Orders.run(ctx, r.Orders.queue) })
		}
		g.Start("advice", func(ctx context.Context) error { return r.Orders.run(ctx, r.Orders.advice) })
	}
	r.Drain.serve("callers", r.Listeners.callers, r.Server.Callers(), g)
	r.Drain.serve("ready", r.Listeners.ready, r.Server.Readiness(), g)
	r.Drain.serve("control", r.Listeners.control, r.Server.Control(), g)
	r.Drain.serve("operators", r.Listeners.operators, operators(r.Desk), g)
}
