package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/wire/certs"
	"cowslipstack/internal/wire/dial"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
	// stopMargin is the time for a stop beyond the entry's drain.
	stopMargin = 10 * time.Second
)

// listeners are all of a process's listening sockets, opened before anything else starts.
type listeners struct {
	callers   net.Listener
	endpoints net.Listener
	peers     net.Listener
	operators net.Listener
}

func newListeners(settings conf.Daemon, source *certs.Source, lc fx.Lifecycle) (*listeners, error) {
	l := &listeners{}
	var config net.ListenConfig
	wanted := []struct {
		key     string
		address string
		target  *net.Listener
		used    bool
	}{
		{"listen.peers", settings.Listen.Peers, &l.peers, true},
		{"listen.operators", settings.Listen.Operators, &l.operators, true},
		{"listen.callers", settings.Listen.Callers, &l.callers, settings.HasRole(conf.RoleEntry)},
		{"listen.endpoints", settings.Listen.Endpoints, &l.endpoints, settings.HasRole(conf.RoleEntry)},
	}
	for _, w := range wanted {
		if !w.used {
			continue
		}
		listener, err := config.Listen(context.Background(), "tcp", w.address)
		if err != nil {
			return nil, errors.Wrapf(err, "key %q: %q", w.key, w.address)
		}
		*w.target = listener
		lc.Append(fx.StopHook(func() { _ = listener.Close() }))
	}
	l.peers = dial.CountListener(l.peers)
	if source != nil {
		l.peers = tls.NewListener(l.peers, source.Server())
		l.operators = tls.NewListener(l.operators, source.Server())
	}
	return l, nil
}

// handlers are the HTTP handlers of a process; nil where a role is not played.
type handlers struct {
	fx.In

	Callers   http.Handler `name:"callers" optional:"true"`
	Endpoints http.Handler `name:"endpoints" optional:"true"`
	Peers     http.Handler `name:"peers"`
	Operators http.Handler `name:"operators"`
}

func startServers(lc fx.Lifecycle, settings conf.Daemon, l *listeners, h handlers, d *drainer, g *tasks.Group, logger *zap.Logger) {
	fields := []zap.Field{zap.String("data_centre", string(settings.DataCentre))}
	start := func(name string, listener net.Listener, handler http.Handler) {
		if listener == nil {
			return
		}
		fields = append(fields, zap.Stringer(name, listener.Addr()))
		server := newServer(handler, logger)
		if name == "callers" {
			d.callers = server
		}
		lc.Append(fx.StopHook(func(ctx context.Context) error { return server.Shutdown(ctx) }))
		g.Start("serve_"+name, func(context.Context) error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	start("peers", l.peers, h.Peers)
	start("operators", l.operators, h.Operators)
	start("endpoints", l.endpoints, h.Endpoints)
	start("callers", l.callers, h.Callers)
	lc.Append(fx.StartHook(func() { logger.Info("started", fields...) }))
}

// newServer returns a server for HTTP/1.1 and unencrypted HTTP/2.
func newServer(handler http.Handler, logger *zap.Logger) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          zap.NewStdLog(logger),
	}
}

func stopTimeout(settings conf.Daemon) time.Duration {
	return conf.Milliseconds(settings.Entry.DrainMs) + stopMargin
}
