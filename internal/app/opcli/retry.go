package opcli

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"cowslipstack/internal/base/clock"
)

const (
	retryInitialDelay = 100 * time.Millisecond
	retryMaxDelay     = 2 * time.Second
)

// retryUnavailable returns an interceptor that retries a call while the server is unavailable, until the context ends.
// Each retry carries the same request identity, so that a change is not made twice.
func retryUnavailable(c clock.Clock) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			for pause := retryInitialDelay; ; pause = min(2*pause, retryMaxDelay) {
				response, err := next(ctx, request)
				if connect.CodeOf(err) != connect.CodeUnavailable || !sleep(ctx, c, pause) {
					return response, err
				}
			}
		}
	}
}

// sleep waits for d and returns true. It returns false if the context ends first, at once if its deadline is within d.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(c.Now()) <= d {
		return false
	}
	return clock.Sleep(ctx, c, d)
}
