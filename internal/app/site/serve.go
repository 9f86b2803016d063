package site

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
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
	"cowslipstack/internal/wire/guard"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
	"cowslipstack/internal/wire/serve"
	"cowslipstack/platform"
)

const (
	maxHeaderBytes = 16 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP probes that detect dead connections.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// operatorHandler returns the handler for the operators' command line and for metrics.
func operatorHandler(p *proxy.Proxy, logger *zap.Logger) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	batchService := &serve.Batch{Proxy: p, Decode: platform.DecodeConfiguration, Logger: logger}
	path, handler := peer.NewBatchHandler(batchService, connect.WithReadMaxBytes(guard.MaxConnectBytes))
	router.PathPrefix(path).Handler(handler)
	return router
}

// listeners are a process's listening sockets, opened before anything else starts; nil if the settings give no address.
type listeners struct {
	callers, ready, control, operators, peers net.Listener
}

func newListeners(settings conf.Site, m *member.Membership, g *guards) (*listeners, error) {
	l := &listeners{}
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	for _, entry := range []struct {
		address  string
		listener *net.Listener
		guard    *guard.Guard
	}{
		{settings.Listen.Callers, &l.callers, g.callers},
		{settings.Listen.Ready, &l.ready, g.ready},
		{settings.Listen.Control, &l.control, g.control},
		{settings.Listen.Operators, &l.operators, g.operators},
		{peerBindAddress(settings, m), &l.peers, g.peers},
	} {
		if entry.address == "" {
			continue
		}
		listener, err := config.Listen(context.Background(), "tcp", entry.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", entry.address)
		}
		*entry.listener = entry.guard.Listener(listener)
	}
	return l, nil
}

// close closes all listeners; some are closed already if their servers were shut down.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.control, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// peerBindAddress returns the address to listen on for other processes.
func peerBindAddress(settings conf.Site, m *member.Membership) string {
	if settings.Listen.BindHost == "" {
		return m.Self().Address
	}
	return net.JoinHostPort(settings.Listen.BindHost, strconv.Itoa(settings.Listen.PeerPort))
}

// startParams are the dependencies of start.
type startParams struct {
	fx.In

	Lifecycle   fx.Lifecycle
	Settings    conf.Site
	Options     Options
	Clock       clock.Clock
	Uptime      clock.Uptime
	Logger      *zap.Logger
	LogWriter   *logs.AsyncWriter
	Loop        *loop.Loop
	Group       *tasks.Group
	Membership  *member.Membership
	Disk        *disk
	Connections *link.Connections
	Replica     *replica
	Orders      *orderQueues
	Scheduler   *sched.Scheduler
	PeerHandler *peerHandler
	Gossiper    *gossiper
	Server      *platform.Server
	Proxy       *proxy.Proxy
	Listeners   *listeners
	Guards      *guards
	Drainer     *drainer
	Reloader    *reloader
}

// start starts all goroutines of the process in its group. What the control loop uses is set before it runs.
func start(p startParams) {
	p.Lifecycle.Append(fx.StopHook(p.stop))
	ticker := newControlTicker(p)
	g := p.Group
	g.Start("log", p.LogWriter.Run)
	g.Start("control_loop", p.Loop.Run)
	g.Start("peer-connections", p.Connections.Run)
	server := &link.Server{Listener: p.Listeners.peers, Handler: p.PeerHandler, Clock: p.Clock, Guard: p.Guards.peers, Logger: p.Logger}
	g.Start("peers", server.Run)
	g.Start("gossip", p.Gossiper.Run)
	g.Start("settings", p.Reloader.Run)
	if n := p.Replica.node; n != nil {
		g.Start("disk", n.RunDisk)
		g.Start("node", n.Run)
		g.Start("disk_watch", p.Replica.watchDisk)
		g.Start("ticker", ticker.Run)
		for range maxConcurrentOrders {
			g.Start("orders", func(ctx context.Context) error { return p.Orders.run(ctx, p.Orders.queue) })
		}
		g.Start("advice", func(ctx context.Context) error { return p.Orders.run(ctx, p.Orders.adviceQueue) })
	}
	for _, s := range []served{
		{name: "callers", listener: p.Listeners.callers, guard: p.Guards.callers, handler: p.Server.Callers()},
		{name: "ready", listener: p.Listeners.ready, guard: p.Guards.ready, handler: p.Server.Readiness()},
		{name: "control", listener: p.Listeners.control, guard: p.Guards.control, handler: p.Server.Control()},
		{name: "operators", listener: p.Listeners.operators, guard: p.Guards.operators, handler: operatorHandler(p.Proxy, p.Logger), commandLine: true},
	} {
		p.Drainer.serve(s, g)
	}
}

// stop ends the servers by closing their listeners, then all goroutines, and closes the log, which no goroutine uses any more.
func (p startParams) stop() error {
	p.Listeners.close()
	return errors.CombineErrors(p.Group.Stop(), p.Disk.close())
}
