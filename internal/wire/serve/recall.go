package serve

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Cache holds the first answers to requests with an idempotency key. The channel that Recall returns closes once a
// running request has its outcome.
type Cache interface {
	Recall(name, digest string) (claim.Recall, <-chan struct{})
}

// Recall serves the calls of other entries about requests with an idempotency key.
type Recall struct {
	// Cache holds this entry's stored answers.
	Cache Cache
}

// Recall returns the first answer to a request. If the request is still running, it waits for the outcome until the
// context ends.
func (s *Recall) Recall(ctx context.Context, r *connect.Request[peer.RecallRequest]) (*connect.Response[peer.RecallResponse], error) {
	recall, done := s.Cache.Recall(r.Msg.GetKey(), r.Msg.GetDigest())
	if recall.State == claim.StateRunning {
		select {
		case <-done:
			recall, _ = s.Cache.Recall(r.Msg.GetKey(), r.Msg.GetDigest())
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
	return connect.NewResponse(codec.RecallToWire(recall)), nil
}
