package site

import (
	"context"
	"io"
	"math"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/logs"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/edge/proxy"
	"cowslipstack/internal/wire/link"
	"cowslipstack/platform"
)

// Options says what a process is run with; all fields are needed.
type Options struct {
	// Path is the settings file.
	Path string
	// Out takes the log.
	Out io.Writer
	// Reload delivers requests to read the settings again.
	Reload <-chan struct{}
}

// Run runs a process until the context ends or a part of it fails.
func Run(ctx context.Context, o Options) error {
	settings, err := conf.LoadSite(o.Path)
	if err != nil {
		return err
	}
	logger, written, err := logs.NewAsync(string(settings.Log.Level), o.Out)
	if err != nil {
		return err
	}
	logger = logger.With(zap.String("process", settings.Name))
	check.SetHandler(check.LogHandler(logger))
	limitMemory(settings)
	var p parts
	app := fx.New(Module(settings, o, logger, written), fx.NopLogger, fx.Populate(&p.group, &p.drain))
	if err := app.Err(); err != nil {
		return dig.RootCause(err)
	}
	if err := app.Start(ctx); err != nil {
		return dig.RootCause(err)
	}
	logger.Info("started", zap.String("data_centre", settings.DataCentre), zap.String("control", settings.Listen.Control),
		zap.Bool("first_start", settings.Control.FirstStart), zap.Strings("seeds", settings.Seeds))
	end := p.group.Wait(ctx)
	if end == nil {
		logger.Info("stopping", zap.String("cause", "signal"))
		p.drain.run(context.WithoutCancel(ctx))
	} else {
		logger.Error("part_failed", zap.String("part", end.Name), zap.Error(end.Err))
		err = errors.Wrapf(end.Err, "%s failed", end.Name)
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	return errors.CombineErrors(err, dig.RootCause(app.Stop(stop)))
}

// stopTime bounds the end of a process after its drain.
const stopTime = 500 * time.Millisecond

// parts are what Run needs of the application.
type parts struct {
	group *tasks.Group
	drain *drain
}

// Module returns the parts of a process.
func Module(settings conf.Site, o Options, logger *zap.Logger, written *logs.AsyncWriter) fx.Option {
	return fx.Options(
		fx.Supply(settings, o, logger, written),
		fx.Provide(
			newClock, newUptime, newLoop, newGroup, newRoster, newLines, newReplica, newClient, newCarrier, newOrders, newEngine,
			newLocal, newDesk, newLinks, newGreeter, newServer, newListeners, newDrain, newSettings,
		),
		fx.Invoke(start),
	)
}

// memoryPercent is the part of the memory limit that the garbage collector keeps to, and garbagePercent how much a heap grows
// before it is collected: the heaps here are small against what collecting them costs.
const (
	memoryPercent  = 70
	garbagePercent = 200
)

func limitMemory(settings conf.Site) {
	debug.SetGCPercent(garbagePercent)
	if settings.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(math.Round(settings.Limits.MemoryMb)) << 20 * memoryPercent / 100)
	}
}

func newClock() clock.Clock { return clock.System{} }

func newUptime() clock.Uptime { return clock.SystemUptime{} }

func newLoop() *loop.Loop { return loop.New(loop.DefaultCapacity) }

// newGroup returns the group that owns all goroutines of the process.
func newGroup(lc fx.Lifecycle) *tasks.Group {
	g := tasks.NewGroup(context.Background())
	lc.Append(fx.StopHook(g.Stop))
	return g
}

func newClient(settings conf.Site) *platform.Client {
	return platform.NewClient(settings.Name, providerOf(settings))
}

func newCarrier(c *platform.Client) carrier { return c }

func providerOf(settings conf.Site) platform.Addresses {
	return platform.Addresses{Provider: settings.Provider.Address, Advice: settings.Provider.Advice}
}

func boundsOf(settings conf.Site) sched.PlatformLimits {
	b := settings.Bounds
	return sched.PlatformLimits{
		LeaseMaxMs: int64(b.LeaseMaxMs), GangMs: int64(b.GangMs), StopMs: int64(b.StopMs),
		MoveMs: int64(b.MoveS * msPerS), MaintenanceMs: int64(b.MaintainS * msPerS), HolderLockMs: int64(b.HolderMs),
		MaxOrdersPerS: settings.Provider.OrdersPerS,
	}
}

// msPerS is the count of milliseconds in a second.
const msPerS = 1000

func newDesk(l *local, lines *link.Lines, g *greeter, c clock.Clock, logger *zap.Logger) *proxy.Proxy {
	return proxy.New(proxy.Options{
		Local: l, Remote: &remote{lines: lines}, Clock: c, Logger: logger,
		Tracker: &leaderTracker{roster: g.links.roster, loop: l.loop},
	})
}

func newServer(d *proxy.Proxy, r *drain, logger *zap.Logger) *platform.Server {
	return platform.NewServer(platform.Options{Desk: d, Ready: r.ready, Logger: logger})
}
