package site

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/logs"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/roster"
	"cowslipstack/internal/ctrl/steer"
	"cowslipstack/internal/wire/link"
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

func writeMetrics(w io.Writer) { metrics.WritePrometheus(w, true) }

// listeners are a process's listening sockets, opened before anything else starts; nil where the settings name no address.
type listeners struct {
	callers, ready, control, peers net.Listener
}

func newListeners(settings conf.Site, r *roster.Roster, lc fx.Lifecycle) (*listeners, error) {
	l := &listeners{}
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepPause, Count: keepCount}}
	for _, want := range []struct {
		address string
		to      *net.Listener
	}{
		{settings.Listen.Callers, &l.callers},
		{settings.Listen.Ready, &l.ready},
		{settings.Listen.Control, &l.control},
		{r.Self().Address, &l.peers},
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

// running are the parts that start serves with.
type running struct {
	fx.In

	Settings  conf.Site
	Options   Options
	Clock     clock.Clock
	Uptime    clock.Uptime
	Logger    *zap.Logger
	Written   *logs.Bounded
	Loop      *loop.Loop
	Group     *tasks.Group
	Roster    *roster.Roster
	Lines     *link.Lines
	Replica   *replica
	Orders    *orders
	Engine    *steer.Engine
	Links     *links
	Greeter   *greeter
	Server    *platform.Server
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
		n.Watch(t.watch)
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
}

// drain serves HTTP, and ends it without losing what has begun.
type drain struct {
	roster   *roster.Roster
	replica  *replica
	loop     *loop.Loop
	clock    clock.Clock
	logger   *zap.Logger
	grace    time.Duration
	draining atomic.Bool
	servers  []*http.Server
}

func newDrain(settings conf.Site, r *roster.Roster, p *replica, l *loop.Loop, c clock.Clock, logger *zap.Logger) *drain {
	return &drain{
		roster: r, replica: p, loop: l, clock: c, logger: logger,
		grace: time.Duration(settings.Bounds.GraceS * float64(time.Second)),
	}
}

// ready says whether this process takes new connections of callers: it knows a leader and isn't about to end.
func (d *drain) ready() bool {
	return !d.draining.Load() && d.roster.Route().Leader != ""
}

func (d *drain) serve(name string, listener net.Listener, handler http.Handler, g *tasks.Group) {
	if listener == nil {
		return
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: zap.NewStdLog(d.logger),
	}
	d.servers = append(d.servers, server)
	g.Start("serve_"+name, func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

const (
	// graceMargin is kept free at the end of the time that a process has to end.
	graceMargin = 1500 * time.Millisecond
	// handOverTime bounds the change of the leadership before an end.
	handOverTime = time.Second
)

// run ends the process: another one leads, the balancer sends nothing new, and calls in progress are answered.
func (d *drain) run(ctx context.Context) {
	d.draining.Store(true)
	until := d.clock.Now().Add(d.grace - graceMargin)
	if d.replica.node != nil {
		over, cancel := context.WithTimeout(ctx, handOverTime)
		if err := d.replica.node.HandOver(over); err != nil {
			d.logger.Info("leadership_not_handed_over", zap.Error(err))
		}
		cancel()
	}
	// Callers keep using open connections: they are told to make new ones, which reach other processes.
	for _, s := range d.servers {
		s.SetKeepAlivesEnabled(false)
	}
	clock.Sleep(ctx, d.clock, until.Sub(d.clock.Now()))
	end, cancel := context.WithTimeout(ctx, graceMargin/2)
	defer cancel()
	for _, s := range d.servers {
		if err := s.Shutdown(end); err != nil {
			d.logger.Info("calls_broken_off", zap.Error(err))
		}
	}
}

// reloader reads the settings again when they change.
type reloader struct {
	options  Options
	settings conf.Site
	changed  time.Time
	greeter  *greeter
	client   *platform.Client
	clock    clock.Clock
	logger   *zap.Logger
}

func newSettings(o Options, settings conf.Site, g *greeter, c *platform.Client, k clock.Clock, logger *zap.Logger) *reloader {
	return &reloader{options: o, settings: settings, greeter: g, client: c, clock: k, logger: logger}
}

// lookPause spaces looks at the settings file, which may change without a signal.
const lookPause = time.Second

// Run reads the settings again on request, and when the file has changed, until the context ends.
func (r *reloader) Run(ctx context.Context) error {
	ticker := r.clock.NewTicker(lookPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.options.Reload:
			r.read("signal")
		case <-ticker.C():
			info, err := os.Stat(r.options.Path)
			if err != nil || info.ModTime().Equal(r.changed) {
				continue
			}
			first := r.changed.IsZero()
			r.changed = info.ModTime()
			if !first {
				r.read("file_changed")
			}
		}
	}
}

// read takes over what may change while the process runs: the seeds and the provider's addresses.
func (r *reloader) read(cause string) {
	settings, err := conf.LoadSite(r.options.Path)
	if err == nil {
		err = r.greeter.seed(settings)
	}
	if err != nil {
		r.logger.Error("settings_refused", zap.String("cause", cause), zap.Error(err))
		return
	}
	r.client.Set(providerOf(settings))
	r.settings = settings
	r.logger.Info("settings_reloaded", zap.String("cause", cause), zap.Strings("seeds", settings.Seeds))
}
