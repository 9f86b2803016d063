package dial

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/wire/peer"
)

// List forwards a call to the leader.
func (c *Control) List(ctx context.Context, q *connect.Request[peer.MembersListRequest]) (*connect.Response[peer.MembersListResponse], error) {
	return askLeader(ctx, c, q, membersOf, peer.MembersClient.List)
}

// Change forwards a call to the leader.
func (c *Control) Change(ctx context.Context, q *connect.Request[peer.MembersChangeRequest]) (*connect.Response[peer.MembersChangeResponse], error) {
	return askLeader(ctx, c, q, membersOf, peer.MembersClient.Change)
}

// Transfer forwards a call to the leader.
func (c *Control) Transfer(ctx context.Context, q *connect.Request[peer.MembersTransferRequest]) (*connect.Response[peer.MembersTransferResponse], error) {
	return askLeader(ctx, c, q, membersOf, peer.MembersClient.Transfer)
}

func membersOf(r replica) peer.MembersClient { return r.members }
