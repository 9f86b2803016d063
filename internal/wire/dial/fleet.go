package dial

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/wire/peer"
)

// Fleet passes operators' calls on VMs, pools, waves and jobs on to the leader.
type Fleet struct {
	// Control reaches the leader.
	Control *Control
}

// Show passes a call on to the leader.
func (f *Fleet) Show(ctx context.Context, q *connect.Request[peer.ShowRequest]) (*connect.Response[peer.ShowResponse], error) {
	return forwardFleet(ctx, f.Control, q, peer.FleetClient.Show)
}

// Change passes a call on to the leader; the command's request identity makes a second try safe.
func (f *Fleet) Change(ctx context.Context, q *connect.Request[peer.ChangeRequest]) (*connect.Response[peer.ChangeResponse], error) {
	return forwardFleet(ctx, f.Control, q, peer.FleetClient.Change)
}

// Explain passes a call on to the leader.
func (f *Fleet) Explain(ctx context.Context, q *connect.Request[peer.ExplainRequest]) (*connect.Response[peer.ExplainResponse], error) {
	return forwardFleet(ctx, f.Control, q, peer.FleetClient.Explain)
}

// fleetCall is one method of the client.
type fleetCall[Q, S any] func(peer.FleetClient, context.Context, *connect.Request[Q]) (*connect.Response[S], error)

func forwardFleet[Q, S any](ctx context.Context, c *Control, q *connect.Request[Q], call fleetCall[Q, S]) (*connect.Response[S], error) {
	return forwardTo(ctx, c, q, func(ctx context.Context, r replica, q *connect.Request[Q]) (*connect.Response[S], error) {
		return call(r.fleet, ctx, q)
	})
}
