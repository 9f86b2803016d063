package dial

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/wire/peer"
)

// List forwards a call to the leader.
func (c *Control) List(ctx context.Context, q *connect.Request[peer.MembersListRequest]) (*connect.Response[peer.MembersListResponse], error) {
	var response *connect.Response[peer.MembersListResponse]
	err := c.callLeader(ctx, func(ctx context.Context, r replica) error {
		var err error
		response, err = r.members.List(ctx, connect.NewRequest(q.Msg))
		return err
	})
	return response, err
}

// Change forwards a call to the leader.
func (c *Control) Change(ctx context.Context, q *connect.Request[peer.MembersChangeRequest]) (*connect.Response[peer.MembersChangeResponse], error) {
	var response *connect.Response[peer.MembersChangeResponse]
	err := c.callLeader(ctx, func(ctx context.Context, r replica) error {
		var err error
		response, err = r.members.Change(ctx, connect.NewRequest(q.Msg))
		return err
	})
	return response, err
}

// Transfer forwards a call to the leader.
func (c *Control) Transfer(ctx context.Context, q *connect.Request[peer.MembersTransferRequest]) (*connect.Response[peer.MembersTransferResponse], error) {
	var response *connect.Response[peer.MembersTransferResponse]
	err := c.callLeader(ctx, func(ctx context.Context, r replica) error {
		var err error
		response, err = r.members.Transfer(ctx, connect.NewRequest(q.Msg))
		return err
	})
	return response, err
}
