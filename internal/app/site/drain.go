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

// ready reports whether this process accepts new connections from callers: it knows a leader and isn't shutting down.
func (d *drainer) ready() bool {
	return !d.draining.Load() && d.membership.Route().Leader != ""
}

// serve starts a server on a listener; it does nothing if the listener is nil.
func (d *drainer) serve(name string, listener net.Listener, handler http.Handler, g *tasks.Group) {
	if listener == nil {
		return
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	// The operators' command line uses unencrypted HTTP/2.
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
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
