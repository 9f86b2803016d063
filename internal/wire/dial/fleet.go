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
	return forward(ctx, f.Control, q, fleetOf, peer.FleetClient.Show)
}

// Change forwards a call to the leader. The command's request ID is its idempotency key, so a retry is safe.
func (f *Fleet) Change(ctx context.Context, q *connect.Request[peer.ChangeRequest]) (*connect.Response[peer.ChangeResponse], error) {
	return forward(ctx, f.Control, q, fleetOf, peer.FleetClient.Change)
}

// Explain forwards a call to the leader.
func (f *Fleet) Explain(ctx context.Context, q *connect.Request[peer.ExplainRequest]) (*connect.Response[peer.ExplainResponse], error) {
	return forward(ctx, f.Control, q, fleetOf, peer.FleetClient.Explain)
}

func fleetOf(r replica) peer.FleetClient { return r.fleet }
