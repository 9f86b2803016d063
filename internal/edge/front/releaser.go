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
	// maxPendingReleases is the most keys queued for release; a key beyond it stays taken until it expires.
	maxPendingReleases = 4096
	releaseTimeout     = time.Second
	releaseRetryDelay  = 200 * time.Millisecond
)

// claimReleaser releases the keys of requests that were certainly not sent.
type claimReleaser struct {
	claims  Claims
	clock   clock.Clock
	logger  *zap.Logger
	pending chan record.ClaimChange
}

func newClaimReleaser(claims Claims, c clock.Clock, logger *zap.Logger) *claimReleaser {
	return &claimReleaser{claims: claims, clock: c, logger: logger, pending: make(chan record.ClaimChange, maxPendingReleases)}
}

// enqueue releases a key later, even if its claim is committed only after that; if the queue is full, the release
// is dropped.
func (r *claimReleaser) enqueue(opening record.ClaimChange) {
	select {
	case r.pending <- opening:
	default:
		metrics.GetOrCreateCounter("cowslip_claim_releases_lost_total").Inc()
	}
}

// releaseOrEnqueue releases a key before its caller gets the response, or later if that fails.
func (r *claimReleaser) releaseOrEnqueue(ctx context.Context, opening record.ClaimChange) {
	if !r.release(context.WithoutCancel(ctx), opening) {
		r.enqueue(opening)
	}
}

// run releases keys until the context ends; one at a time, because failures come together.
func (r *claimReleaser) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case opening := <-r.pending:
			for !r.release(ctx, opening) {
				if !r.waitForRetry(ctx) {
					return nil
				}
			}
		}
	}
}

// release commits that a claim's request was not run. Any result of the commit is final; only an error is retried.
func (r *claimReleaser) release(ctx context.Context, opening record.ClaimChange) bool {
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

func (r *claimReleaser) waitForRetry(ctx context.Context) bool {
	return clock.Sleep(ctx, r.clock, releaseRetryDelay)
}
