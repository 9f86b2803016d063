package opcli

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/clock"
)

const (
	retryInitialDelay = 100 * time.Millisecond
	retryMaxDelay     = 2 * time.Second
)

// retryUnavailable returns an interceptor that retries a call while the server is unavailable, until the context ends.
// Each retry carries the same request identity, so that a change is not made twice. A refused certificate isn't retried.
func retryUnavailable(c clock.Clock) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			for pause := retryInitialDelay; ; pause = min(2*pause, retryMaxDelay) {
				response, err := next(ctx, request)
				if connect.CodeOf(err) != connect.CodeUnavailable || certificateRefused(err) || !sleep(ctx, c, pause) {
					return response, err
				}
			}
		}
	}
}

// tlsAlertOp is the operation of the net.OpError by which crypto/tls reports an alert of the other side.
const tlsAlertOp = "remote error"

// certificateRefused reports whether a call failed because one side refused the other's certificate.
func certificateRefused(err error) bool {
	var verification *tls.CertificateVerificationError
	var operation *net.OpError
	return errors.As(err, &verification) || (errors.As(err, &operation) && operation.Op == tlsAlertOp)
}

// sleep waits for d and returns true. It returns false if the context ends first, at once if its deadline is within d.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(c.Now()) <= d {
		return false
	}
	return clock.Sleep(ctx, c, d)
}
