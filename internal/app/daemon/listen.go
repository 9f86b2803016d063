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

	"cowslipstack/internal/base/build"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/wire/certs"
	"cowslipstack/internal/wire/dial"
	"cowslipstack/internal/wire/guard"
)

const (
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
func newListeners(settings conf.Daemon, source *certs.Source, gs *guards, lc fx.Lifecycle) (*listeners, error) {
	l := &listeners{}
	var config net.ListenConfig
	sockets := []struct {
		key     string
		address string
		target  *net.Listener
		guard   *guard.Guard
		enabled bool
	}{
		{"listen.peers", settings.Listen.Peers, &l.peers, gs.peers, true},
		{"listen.operators", settings.Listen.Operators, &l.operators, gs.operators, true},
		{"listen.callers", settings.Listen.Callers, &l.callers, gs.callers, settings.HasRole(conf.RoleEntry)},
		{"listen.endpoints", settings.Listen.Endpoints, &l.endpoints, gs.endpoints, settings.HasRole(conf.RoleEntry)},
	}
	for _, s := range sockets {
		if !s.enabled {
			continue
		}
		listener, err := config.Listen(context.Background(), "tcp", s.address)
		if err != nil {
			return nil, errors.Wrapf(err, "key %q: %q", s.key, s.address)
		}
		if s.guard == gs.peers {
			listener = dial.CountListener(listener)
		}
		*s.target = s.guard.Listener(listener)
		lc.Append(fx.StopHook(func() { _ = listener.Close() }))
	}
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
func startServers(lc fx.Lifecycle, settings conf.Daemon, l *listeners, gs *guards, h handlers, d *drainer, g *tasks.Group, logger *zap.Logger) {
	fields := []zap.Field{zap.String("data_centre", string(settings.DataCentre))}
	start := func(name string, listener net.Listener, handler http.Handler, gd *guard.Guard) {
		if listener == nil {
			return
		}
		fields = append(fields, zap.Stringer(name, listener.Addr()))
		server := newServer(handler, gd, gd == gs.peers || gd == gs.operators, logger)
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
	start("peers", l.peers, h.Peers, gs.peers)
	start("operators", l.operators, h.Operators, gs.operators)
	start("endpoints", l.endpoints, h.Endpoints, gs.endpoints)
	start("callers", l.callers, h.Callers, gs.callers)
	lc.Append(fx.StartHook(func() {
		build.Register()
		logger.Info("started", append(fields, zap.String("version", build.Version()))...)
	}))
}

const (
	// connectionBufferBytes and streamBufferBytes bound what an HTTP/2 connection receives before a handler reads it.
	connectionBufferBytes, streamBufferBytes = 256 << 10, 64 << 10
)

// newServer returns a server for HTTP/1.1 and, with http2 set, for HTTP/2 with and without TLS.
func newServer(handler http.Handler, g *guard.Guard, http2 bool, logger *zap.Logger) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(http2)
	protocols.SetUnencryptedHTTP2(http2)
	server := &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(logger),
		HTTP2: &http.HTTP2Config{MaxReceiveBufferPerConnection: connectionBufferBytes, MaxReceiveBufferPerStream: streamBufferBytes},
	}
	g.Configure(server)
	return server
}

// stopTimeout returns the time limit of the shutdown after the drain.
func stopTimeout(settings conf.Daemon) time.Duration {
	return conf.Milliseconds(settings.Entry.DrainMs) + stopMargin
}
