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

	"cowslipstack/internal/base/build"
	"cowslipstack/internal/base/check"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/logs"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/edge/access"
	"cowslipstack/internal/edge/proxy"
	"cowslipstack/internal/wire/guard"
	"cowslipstack/internal/wire/link"
	"cowslipstack/platform"
)

// Options configures a process; all fields are required.
type Options struct {
	// Path is the path of the settings file.
	Path string
	// Out receives the log.
	Out io.Writer
	// Reload receives requests to reload the settings.
	Reload <-chan struct{}
}

// Run runs a process until the context ends or one of its goroutines fails. When the context ends it drains first.
func Run(ctx context.Context, o Options) error {
	settings, err := conf.LoadSite(o.Path)
	if err != nil {
		return err
	}
	logger, logWriter, err := logs.NewAsync(string(settings.Log.Level), o.Out)
	if err != nil {
		return err
	}
	logger = logger.With(zap.String("process", settings.Name))
	check.SetHandler(check.LogHandler(logger))
	limitMemory(settings)
	var p parts
	app := fx.New(Module(settings, o, logger, logWriter), fx.NopLogger, fx.Populate(&p.group, &p.drainer))
	if err := app.Err(); err != nil {
		return dig.RootCause(err)
	}
	if err := app.Start(ctx); err != nil {
		return dig.RootCause(err)
	}
	build.Register()
	logger.Info("started", zap.String("version", build.Version()), zap.String("data_centre", settings.DataCentre), zap.String("control", settings.Listen.Control),
		zap.Bool("first_start", settings.Control.FirstStart), zap.Strings("seeds", settings.Seeds))
	exit := p.group.Wait(ctx)
	if exit == nil {
		logger.Info("stopping", zap.String("cause", "signal"))
		p.drainer.drain(context.WithoutCancel(ctx))
	} else {
		logger.Error("part_failed", zap.String("part", exit.Name), zap.Error(exit.Err))
		err = errors.Wrapf(exit.Err, "%s failed", exit.Name)
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.CombineErrors(err, dig.RootCause(app.Stop(stopCtx)))
}

// stopTimeout bounds stopping the application after the drain.
const stopTimeout = 500 * time.Millisecond

// parts are the components that Run takes from the application.
type parts struct {
	group   *tasks.Group
	drainer *drainer
}

// Module returns the fx module of a process: its providers, and the call that starts its goroutines.
func Module(settings conf.Site, o Options, logger *zap.Logger, logWriter *logs.AsyncWriter) fx.Option {
	return fx.Options(
		fx.Supply(settings, o, logger, logWriter),
		fx.Provide(
			newClock, newUptime, newLoop, newGroup, newDisk, newMembership, newConnections, newReplica, newClient, newOrderExecutor, newOrderQueues, newScheduler,
			newLocal, newProxy, newGate, newPeerHandler, newGossiper, newServer, newGuards, newListeners, newDrainer, newReloader,
		),
		fx.Invoke(start),
	)
}

// memoryLimitPercent is the share of the process's memory limit that is set as the Go memory limit. gcPercent is the heap
// growth that triggers a collection: the heap is small, so saving collections is worth the memory.
const (
	memoryLimitPercent = 70
	gcPercent          = 200
)

// limitMemory configures the garbage collector; without a limit in the settings it sets no memory limit.
func limitMemory(settings conf.Site) {
	debug.SetGCPercent(gcPercent)
	if settings.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(math.Round(settings.Limits.MemoryMb)) << 20 * memoryLimitPercent / 100)
	}
}

func newClock() clock.Clock { return clock.System{} }

func newUptime() clock.Uptime { return clock.SystemUptime{} }

func newLoop() *loop.Loop { return loop.New(loop.DefaultCapacity) }

// newGroup returns the group that owns all goroutines of the process.
func newGroup() *tasks.Group { return tasks.NewGroup(context.Background()) }

func newClient(settings conf.Site) *platform.Client {
	return platform.NewClient(settings.Name, providerAddresses(settings))
}

func newOrderExecutor(c *platform.Client) orderExecutor { return c }

func providerAddresses(settings conf.Site) platform.Addresses {
	return platform.Addresses{Provider: settings.Provider.Address, Advice: settings.Provider.Advice}
}

func platformLimits(settings conf.Site) sched.PlatformLimits {
	b := settings.Bounds
	return sched.PlatformLimits{
		LeaseMaxMs: int64(b.LeaseMaxMs), GangMs: int64(b.GangMs), StopMs: int64(b.StopMs),
		MoveMs: int64(b.MoveS * msPerS), MaintenanceMs: int64(b.MaintainS * msPerS), HolderLockMs: int64(b.HolderMs),
		MaxOrdersPerS: settings.Provider.OrdersPerS,
	}
}

// msPerS is the number of milliseconds in a second.
const msPerS = 1000

func newProxy(l *local, connections *link.Connections, g *gossiper, c clock.Clock, logger *zap.Logger) *proxy.Proxy {
	return proxy.New(proxy.Options{
		Local: l, Remote: &remote{connections: connections}, Clock: c, Logger: logger,
		Tracker: &leaderTracker{membership: g.peers.membership, loop: l.loop}, Callers: guard.Arrivals{},
	})
}

func newGate(p *proxy.Proxy, c clock.Clock, logger *zap.Logger) *access.Gate {
	return access.New(access.Options{Leader: p, Clock: c, Logger: logger})
}

func newServer(p *proxy.Proxy, g *access.Gate, d *drainer, logger *zap.Logger) *platform.Server {
	return platform.NewServer(platform.Options{Proxy: p, Access: g, Arrivals: guard.Arrivals{}, Ready: d.ready, Logger: logger})
}
