package daemon

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/edge/admit"
	"cowslipstack/internal/edge/stats"
)

// ErrRequestsCut is returned when the shutdown cut requests in progress.
var ErrRequestsCut = errors.New("requests in progress were cut")

// drainParams are the dependencies of a drainer; Admit and Counter are nil on a process without the entry role.
type drainParams struct {
	fx.In

	Settings conf.Daemon
	Clock    clock.Clock
	Logger   *zap.Logger
	Admit    *admit.Controller `optional:"true"`
	Counter  *stats.Counter    `optional:"true"`
}

// drainer shuts an entry down gracefully: it lets the requests in progress end.
type drainer struct {
	params drainParams
	// callersServer is nil on a process without the entry role.
	callersServer *http.Server
	// draining makes the readiness check fail.
	draining atomic.Bool
}

func newDrainer(params drainParams) *drainer {
	return &drainer{params: params}
}

// run makes the readiness check fail and serves for entry.balancer_ms more, so that the load balancer can notice. Then
// it refuses new requests and waits for those in progress. A second signal, or the end of entry.drain_ms, cuts the
// remaining requests. Without the entry role it returns at once.
func (d *drainer) run(ctx context.Context) error {
	if d.callersServer == nil || d.params.Admit == nil {
		return nil
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	d.draining.Store(true)
	d.params.Logger.Info("drain_began", zap.Int("balancer_ms", d.params.Settings.Entry.BalancerMs))
	if !d.sleep(signals, conf.Milliseconds(d.params.Settings.Entry.BalancerMs)) {
		return d.abort("second signal")
	}
	d.params.Admit.Drain()
	d.params.Logger.Info("drain_refuses", zap.Int("in_progress", d.inProgress()))
	shutdownCtx, cancel := context.WithTimeout(ctx, conf.Milliseconds(d.params.Settings.Entry.DrainMs))
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.callersServer.Shutdown(shutdownCtx) }()
	select {
	case err := <-done:
		if err != nil {
			return d.abort("drain_ms is over")
		}
	case <-signals:
		return d.abort("second signal")
	}
	d.params.Logger.Info("drain_ended")
	return nil
}

// sleep waits for the duration; it returns false if a signal arrives first.
func (d *drainer) sleep(signals <-chan os.Signal, duration time.Duration) bool {
	timer := d.params.Clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-signals:
		return false
	case <-timer.C():
		return true
	}
}

// abort closes all callers' connections and logs the requests that this cuts, by service. It returns ErrRequestsCut if
// there are any.
func (d *drainer) abort(reason string) error {
	d.params.Admit.Drain()
	count := 0
	for _, r := range d.params.Counter.Reports() {
		if remaining := r.InProgress + r.Queued; remaining > 0 {
			count += remaining
			d.params.Logger.Warn("requests_cut", zap.String("reason", reason), zap.String("service", r.Service),
				zap.Int("in_progress", r.InProgress), zap.Int("queued", r.Queued))
		}
	}
	if err := d.callersServer.Close(); err != nil {
		d.params.Logger.Debug("callers_not_closed", zap.Error(err))
	}
	if count == 0 {
		return nil
	}
	return errors.Wrapf(ErrRequestsCut, "%s: %d", reason, count)
}

// inProgress returns the number of requests in progress over all services.
func (d *drainer) inProgress() int {
	count := 0
	for _, r := range d.params.Counter.Reports() {
		count += r.InProgress
	}
	return count
}
