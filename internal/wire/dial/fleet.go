package dial

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/wire/peer"
)

// Fleet forwards operators' calls about VMs, pools, waves and jobs to the leader.
type Fleet struct {
	// Control calls the leader.
	Control *Control
}

// Show forwards a call to the leader.
func (f *Fleet) Show(ctx context.Context, q *connect.Request[peer.ShowRequest]) (*connect.Response[peer.ShowResponse], error) {
	return forwardFleet(ctx, f.Control, q, peer.FleetClient.Show)
}

// Change forwards a call to the leader. The command's request ID is its idempotency key, so a retry is safe.
func (f *Fleet) Change(ctx context.Context, q *connect.Request[peer.ChangeRequest]) (*connect.Response[peer.ChangeResponse], error) {
	return forwardFleet(ctx, f.Control, q, peer.FleetClient.Change)
}

// Explain forwards a call to the leader.
func (f *Fleet) Explain(ctx context.Context, q *connect.Request[peer.ExplainRequest]) (*connect.Response[peer.ExplainResponse], error) {
	return forwardFleet(ctx, f.Control, q, peer.FleetClient.Explain)
}

// fleetCall is a method of peer.FleetClient.
type fleetCall[Q, S any] func(peer.FleetClient, context.Context, *connect.Request[Q]) (*connect.Response[S], error)

func forwardFleet[Q, S any](ctx context.Context, c *Control, q *connect.Request[Q], call fleetCall[Q, S]) (*connect.Response[S], error) {
	return forward(ctx, c, q, func(ctx context.Context, r replica, q *connect.Request[Q]) (*connect.Response[S], error) {
		return call(r.fleet, ctx, q)
	})
}
