package serve

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Cache holds first answers; the channel closes once a running request has its outcome.
type Cache interface {
	Recall(name, digest string) (claim.Recall, <-chan struct{})
}

// Recall serves what entries ask of one another about requests with keys.
type Recall struct {
	// Cache holds this entry's answers.
	Cache Cache
}

// Recall gives the first answer, once there is one.
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
