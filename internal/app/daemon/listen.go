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
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// stopMargin is the time that a shutdown may take in addition to the entry's drain.
	stopMargin = 10 * time.Second
)

// listeners are the listening sockets of a process, all opened before the first server starts. Those for callers and
// endpoints are nil without the entry role.
type listeners struct {
	callers   net.Listener
	endpoints net.Listener
	peers     net.Listener
	operators net.Listener
}

// newListeners opens the sockets that the settings' roles need. A nil source of certificates means no TLS.
func newListeners(settings conf.Daemon, source *certs.Source, lc fx.Lifecycle) (*listeners, error) {
	l := &listeners{}
	var config net.ListenConfig
	sockets := []struct {
		key     string
		address string
		target  *net.Listener
		enabled bool
	}{
		{"listen.peers", settings.Listen.Peers, &l.peers, true},
		{"listen.operators", settings.Listen.Operators, &l.operators, true},
		{"listen.callers", settings.Listen.Callers, &l.callers, settings.HasRole(conf.RoleEntry)},
		{"listen.endpoints", settings.Listen.Endpoints, &l.endpoints, settings.HasRole(conf.RoleEntry)},
	}
	for _, s := range sockets {
		if !s.enabled {
			continue
		}
		listener, err := config.Listen(context.Background(), "tcp", s.address)
		if err != nil {
			return nil, errors.Wrapf(err, "key %q: %q", s.key, s.address)
		}
		*s.target = listener
		lc.Append(fx.StopHook(func() { _ = listener.Close() }))
	}
	l.peers = dial.CountListener(l.peers)
	if source != nil {
		l.peers = tls.NewListener(l.peers, source.Server())
		l.operators = tls.NewListener(l.operators, source.Server())
	}
	return l, nil
}

// handlers are the HTTP handlers of a process; those of a role that the process does not have are nil.
type handlers struct {
	fx.In

	Callers   http.Handler `name:"callers" optional:"true"`
	Endpoints http.Handler `name:"endpoints" optional:"true"`
	Peers     http.Handler `name:"peers"`
	Operators http.Handler `name:"operators"`
}

// startServers starts an HTTP server for each listener and logs their addresses.
func startServers(lc fx.Lifecycle, settings conf.Daemon, l *listeners, h handlers, d *drainer, g *tasks.Group, logger *zap.Logger) {
	fields := []zap.Field{zap.String("data_centre", string(settings.DataCentre))}
	start := func(name string, listener net.Listener, handler http.Handler) {
		if listener == nil {
			return
		}
		fields = append(fields, zap.Stringer(name, listener.Addr()))
		server := newServer(handler, logger)
		if name == "callers" {
			d.callersServer = server
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

// newServer returns a server for HTTP/1.1, HTTP/2 and unencrypted HTTP/2.
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
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(logger),
	}
}

// stopTimeout returns the time limit of the shutdown after the drain.
func stopTimeout(settings conf.Daemon) time.Duration {
	return conf.Milliseconds(settings.Entry.DrainMs) + stopMargin
}
