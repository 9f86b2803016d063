package opcli

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"cowslipstack/internal/base/clock"
)

const (
	retryFirst = 100 * time.Millisecond
	retryMost  = 2 * time.Second
)

// retryUnavailable returns an interceptor that tries a call again until its context ends. Each call
// carries its request identity, so that a change which was made already is not made twice.
func retryUnavailable(c clock.Clock) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			for pause := retryFirst; ; pause = min(2*pause, retryMost) {
				response, err := next(ctx, request)
				if connect.CodeOf(err) != connect.CodeUnavailable || !sleep(ctx, c, pause) {
					return response, err
				}
			}
		}
	}
}

// sleep waits and says whether the context has time left.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(c.Now()) <= d {
		return false
	}
	return clock.Sleep(ctx, c, d)
}
