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

// ErrCut says that requests in progress were cut by the stop.
var ErrCut = errors.New("requests in progress were cut")

// drainParts are what a drain works with; the admission and the counter are nil on a process that is no entry.
type drainParts struct {
	fx.In

	Settings conf.Daemon
	Clock    clock.Clock
	Logger   *zap.Logger
	Admit    *admit.Controller `optional:"true"`
	Tally    *stats.Counter    `optional:"true"`
}

// drainer stops an entry so that no request in progress is cut.
type drainer struct {
	parts    drainParts
	callers  *http.Server
	draining atomic.Bool
}

func newDrainer(parts drainParts) *drainer {
	return &drainer{parts: parts}
}

// run fails the health check, serves on until the balancer had time to see it, then refuses new requests and
// waits for those in progress. A second signal, or the limit, cuts what is left.
func (d *drainer) run(ctx context.Context) error {
	if d.callers == nil || d.parts.Admit == nil {
		return nil
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	d.draining.Store(true)
	d.parts.Logger.Info("drain_began", zap.Int("balancer_ms", d.parts.Settings.Entry.BalancerMs))
	if !d.pause(signals, conf.Milliseconds(d.parts.Settings.Entry.BalancerMs)) {
		return d.cut("second signal")
	}
	d.parts.Admit.Drain()
	d.parts.Logger.Info("drain_refuses", zap.Int("in_progress", d.inProgress()))
	limit, cancel := context.WithTimeout(ctx, conf.Milliseconds(d.parts.Settings.Entry.DrainMs))
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- d.callers.Shutdown(limit) }()
	select {
	case err := <-ended:
		if err != nil {
			return d.cut("drain_ms is over")
		}
	case <-signals:
		return d.cut("second signal")
	}
	d.parts.Logger.Info("drain_ended")
	return nil
}

// pause waits, and returns false where a signal comes first.
func (d *drainer) pause(signals <-chan os.Signal, length time.Duration) bool {
	timer := d.parts.Clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-signals:
		return false
	case <-timer.C():
		return true
	}
}

// cut ends all callers' connections and says what was in progress.
func (d *drainer) cut(reason string) error {
	d.parts.Admit.Drain()
	count := 0
	for _, r := range d.parts.Tally.Reports() {
		if left := r.InProgress + r.Queued; left > 0 {
			count += left
			d.parts.Logger.Warn("requests_cut", zap.String("reason", reason), zap.String("service", r.Service),
				zap.Int("in_progress", r.InProgress), zap.Int("queued", r.Queued))
		}
	}
	if err := d.callers.Close(); err != nil {
		d.parts.Logger.Debug("callers_not_closed", zap.Error(err))
	}
	if count == 0 {
		return nil
	}
	return errors.Wrapf(ErrCut, "%s: %d", reason, count)
}

func (d *drainer) inProgress() int {
	count := 0
	for _, r := range d.parts.Tally.Reports() {
		count += r.InProgress
	}
	return count
}
