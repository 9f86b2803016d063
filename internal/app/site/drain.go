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

// drain serves HTTP, and ends it without losing what has begun.
type drain struct {
	roster   *member.Membership
	replica  *replica
	loop     *loop.Loop
	clock    clock.Clock
	logger   *zap.Logger
	grace    time.Duration
	draining atomic.Bool
	servers  []*http.Server
}

func newDrain(settings conf.Site, r *member.Membership, p *replica, l *loop.Loop, c clock.Clock, logger *zap.Logger) *drain {
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
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	// The command line speaks this one.
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
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
