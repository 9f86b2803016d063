package site

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/wire/guard"
)

// drainer runs the HTTP servers and shuts them down gracefully.
type drainer struct {
	membership  *member.Membership
	replica     *replica
	loop        *loop.Loop
	clock       clock.Clock
	logger      *zap.Logger
	gracePeriod time.Duration
	// draining is set once the shutdown has begun.
	draining atomic.Bool
	servers  []*http.Server
}

func newDrainer(settings conf.Site, m *member.Membership, r *replica, l *loop.Loop, c clock.Clock, logger *zap.Logger) *drainer {
	return &drainer{
		membership: m, replica: r, loop: l, clock: c, logger: logger,
		gracePeriod: time.Duration(settings.Bounds.GraceS * float64(time.Second)),
	}
}

// ready reports whether this process accepts new connections from callers: it can reach a leader and isn't shutting down.
func (d *drainer) ready() bool {
	route := d.membership.Route()
	return !d.draining.Load() && route.Reachable()
}

// served is an HTTP server to run.
type served struct {
	name     string
	listener net.Listener
	guard    *guard.Guard
	handler  http.Handler
	// commandLine is set for the operators' command line, which uses HTTP/2 without TLS.
	commandLine bool
}

const (
	// maxStreams bounds the requests in progress on one HTTP/2 connection; the command line makes one at a time.
	maxStreams = 16
	// connectionBufferBytes and streamBufferBytes bound what is received before a handler reads it; the first is close to
	// the least that HTTP/2 allows, 65,535.
	connectionBufferBytes, streamBufferBytes = 64 << 10, 32 << 10
)

// serve starts a server on a listener; it does nothing if the listener is nil.
func (d *drainer) serve(s served, g *tasks.Group) {
	if s.listener == nil {
		return
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(s.commandLine)
	server := &http.Server{
		Handler: s.handler, Protocols: protocols, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(d.logger),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: connectionBufferBytes, MaxReceiveBufferPerStream: streamBufferBytes,
		},
	}
	s.guard.Configure(server)
	d.servers = append(d.servers, server)
	g.Start("serve_"+s.name, func(context.Context) error {
		if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

const (
	// graceMargin is reserved at the end of the grace period for closing the servers.
	graceMargin = 1500 * time.Millisecond
	// handOverTimeout bounds the hand-over of the leadership before a shutdown.
	handOverTimeout = time.Second
)

// drain shuts the servers down: it fails the readiness check so that the load balancer sends no new connections, hands
// over the leadership, and gives calls in progress the rest of the grace period.
func (d *drainer) drain(ctx context.Context) {
	d.draining.Store(true)
	deadline := d.clock.Now().Add(d.gracePeriod - graceMargin)
	if d.replica.node != nil {
		handOverCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		if err := d.replica.node.HandOver(handOverCtx); err != nil {
			d.logger.Info("leadership_not_handed_over", zap.Error(err))
		}
		cancel()
	}
	// Callers keep using open connections. Disabling keep-alive closes each one once it is idle, so that callers open new
	// connections, which the load balancer sends to other processes.
	for _, s := range d.servers {
		s.SetKeepAlivesEnabled(false)
	}
	clock.Sleep(ctx, d.clock, deadline.Sub(d.clock.Now()))
	shutdownCtx, cancel := context.WithTimeout(ctx, graceMargin/2)
	defer cancel()
	for _, s := range d.servers {
		if err := s.Shutdown(shutdownCtx); err != nil {
			d.logger.Info("calls_aborted", zap.Error(err))
		}
	}
}
