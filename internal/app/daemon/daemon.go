package daemon

import (
	"context"
	"net/http"

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
	"cowslipstack/internal/wire/certs"
	"cowslipstack/internal/wire/dial"
)

// Run runs the daemon until the context ends or a component fails. After the context has ended it drains the entry, then
// stops all components.
func Run(ctx context.Context, settings conf.Daemon) error {
	var g *tasks.Group
	var logger *zap.Logger
	var d *drainer
	app := fx.New(Module(settings), fx.NopLogger, fx.Populate(&g, &logger, &d))
	if err := app.Err(); err != nil {
		return rootCause(err)
	}
	if err := app.Start(ctx); err != nil {
		return rootCause(err)
	}
	failure := wait(ctx, g, logger)
	if failure == nil {
		failure = d.run(context.WithoutCancel(ctx))
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout(settings))
	defer cancel()
	return errors.CombineErrors(failure, rootCause(app.Stop(stopCtx)))
}

// Module returns the components that the settings' roles need.
func Module(settings conf.Daemon) fx.Option {
	options := []fx.Option{
		fx.Supply(settings),
		fx.Provide(newLogger, newClock, newLoop, newGroup, newGuards, newListeners, newCertificates, dial.NewClient, newControlClient, newPeerHandler, newOperatorHandler, newDrainer),
	}
	if settings.HasRole(conf.RoleControl) {
		options = append(options, controlModule)
	}
	if settings.HasRole(conf.RoleEntry) {
		options = append(options, entryModule)
	}
	options = append(options, fx.Invoke(startLoop, startServers))
	if settings.HasRole(conf.RoleControl) {
		// The stop hook registered last runs first: the peers elect a leader while this process still answers them.
		options = append(options, fx.Invoke(handOverOnStop))
	}
	return fx.Options(options...)
}

// wait returns nil when the context ends, or the error of the first component that ends.
func wait(ctx context.Context, g *tasks.Group, logger *zap.Logger) error {
	end := g.Wait(ctx)
	if end == nil {
		logger.Info("stopping")
		return nil
	}
	logger.Error("part_failed", zap.String("part", end.Name), zap.Error(end.Err))
	return errors.Wrapf(end.Err, "%s failed", end.Name)
}

// newLogger returns the daemon's logger and makes violated invariants go to it.
func newLogger(settings conf.Daemon) (*zap.Logger, error) {
	logger, err := logs.New(logs.Options{Level: string(settings.Log.Level), Format: string(settings.Log.Format)})
	if err != nil {
		return nil, err
	}
	logger = logger.With(zap.String("process", string(settings.Name)))
	check.SetHandler(check.LogHandler(logger))
	return logger, nil
}

func newClock() clock.Clock {
	return clock.System{}
}

func newLoop() *loop.Loop {
	return loop.New(loop.DefaultCapacity)
}

// newGroup returns the task group that all goroutines of the daemon run in.
func newGroup(lc fx.Lifecycle) *tasks.Group {
	g := tasks.NewGroup(context.Background())
	lc.Append(fx.StopHook(g.Stop))
	return g
}

// newCertificates returns the source of certificates, or nil if the settings name none.
func newCertificates(settings conf.Daemon, c clock.Clock) (*certs.Source, error) {
	files := certs.Files{
		Authority: settings.TLS.AuthorityFile, Certificate: settings.TLS.CertificateFile, Key: settings.TLS.KeyFile,
	}
	if !files.Enabled() {
		return nil, nil
	}
	return certs.Load(files, c)
}

func newControlClient(settings conf.Daemon, client *http.Client) *dial.Control {
	return dial.NewControl(client, targets(settings.ControlPeers()))
}

func startLoop(l *loop.Loop, g *tasks.Group) {
	g.Start("control_loop", l.Run)
}

// targets returns the names and addresses of peers for the clients in package dial.
func targets(peers []conf.Peer) []dial.Target {
	all := make([]dial.Target, 0, len(peers))
	for _, p := range peers {
		all = append(all, dial.Target{Name: string(p.Name), Address: p.Address})
	}
	return all
}

// rootCause removes the container's wrapping from an error, so that an operator sees only the cause.
func rootCause(err error) error {
	return dig.RootCause(err)
}
