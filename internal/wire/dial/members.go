package dial

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/wire/peer"
)

// List passes a call on to the leader.
func (c *Control) List(ctx context.Context, q *connect.Request[peer.MembersListRequest]) (*connect.Response[peer.MembersListResponse], error) {
	var response *connect.Response[peer.MembersListResponse]
	err := c.each(ctx, func(ctx context.Context, r replica) error {
		var err error
		response, err = r.members.List(ctx, connect.NewRequest(q.Msg))
		return err
	})
	return response, err
}

// Change passes a call on to the leader.
func (c *Control) Change(ctx context.Context, q *connect.Request[peer.MembersChangeRequest]) (*connect.Response[peer.MembersChangeResponse], error) {
	var response *connect.Response[peer.MembersChangeResponse]
	err := c.each(ctx, func(ctx context.Context, r replica) error {
		var err error
		response, err = r.members.Change(ctx, connect.NewRequest(q.Msg))
		return err
	})
	return response, err
}

// Transfer passes a call on to the leader.
func (c *Control) Transfer(ctx context.Context, q *connect.Request[peer.MembersTransferRequest]) (*connect.Response[peer.MembersTransferResponse], error) {
	var response *connect.Response[peer.MembersTransferResponse]
	err := c.each(ctx, func(ctx context.Context, r replica) error {
		var err error
		response, err = r.members.Transfer(ctx, connect.NewRequest(q.Msg))
		return err
	})
	return response, err
}
