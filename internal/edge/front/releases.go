package front

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/model/record"
)

const (
	// releasesWaiting is the most keys that wait to be set free; beyond it a key stays taken until it expires.
	releasesWaiting = 4096
	releaseTimeout  = time.Second
	releaseRetry    = 200 * time.Millisecond
)

// releases sets keys free whose requests were provably not sent.
type releases struct {
	claims  Claims
	clock   clock.Clock
	logger  *zap.Logger
	waiting chan record.ClaimChange
}

func newReleases(claims Claims, c clock.Clock, logger *zap.Logger) *releases {
	return &releases{claims: claims, clock: c, logger: logger, waiting: make(chan record.ClaimChange, releasesWaiting)}
}

// add sets a key free later, also where its opening is committed later still.
func (r *releases) add(opening record.ClaimChange) {
	select {
	case r.waiting <- opening:
	default:
		metrics.GetOrCreateCounter("cowslip_claim_releases_lost_total").Inc()
	}
}

// now sets a key free before its caller is told, or later where that fails.
func (r *releases) now(ctx context.Context, opening record.ClaimChange) {
	if !r.release(context.WithoutCancel(ctx), opening) {
		r.add(opening)
	}
}

// run sets keys free until the context ends; one at a time, since failures come together.
func (r *releases) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case opening := <-r.waiting:
			for !r.release(ctx, opening) {
				if !r.pause(ctx) {
					return nil
				}
			}
		}
	}
}

// release commits that a claim's request was not run; any result is the last word on it.
func (r *releases) release(ctx context.Context, opening record.ClaimChange) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	opening.Step = record.ClaimNotRun
	result, err := r.claims.Submit(ctx, record.Command{Claim: &opening})
	if err != nil {
		return false
	}
	r.logger.Debug("claim_released", zap.String("attempt", opening.Attempt), zap.Stringer("code", result.Code))
	return true
}

func (r *releases) pause(ctx context.Context) bool {
	return clock.Sleep(ctx, r.clock, releaseRetry)
}
