package dial

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/wire/peer"
)

// Environment passes operators' calls on environment documents on to the leader.
type Environment struct {
	// Control reaches the leader.
	Control *Control
}

// Try passes a call on to the leader.
func (e *Environment) Try(ctx context.Context, q *connect.Request[peer.TryRequest]) (*connect.Response[peer.TryResponse], error) {
	return forward(ctx, e.Control, q, peer.EnvironmentClient.Try)
}

// Promote passes a call on to the leader.
func (e *Environment) Promote(ctx context.Context, q *connect.Request[peer.PromoteRequest]) (*connect.Response[peer.PromoteResponse], error) {
	return forward(ctx, e.Control, q, peer.EnvironmentClient.Promote)
}

// Diff passes a call on to the leader.
func (e *Environment) Diff(ctx context.Context, q *connect.Request[peer.DiffRequest]) (*connect.Response[peer.DiffResponse], error) {
	return forward(ctx, e.Control, q, peer.EnvironmentClient.Diff)
}

// History passes a call on to the leader.
func (e *Environment) History(ctx context.Context, q *connect.Request[peer.HistoryRequest]) (*connect.Response[peer.HistoryResponse], error) {
	return forward(ctx, e.Control, q, peer.EnvironmentClient.History)
}

// Force passes a call on to the leader.
func (e *Environment) Force(ctx context.Context, q *connect.Request[peer.ForceRequest]) (*connect.Response[peer.ForceResponse], error) {
	return forward(ctx, e.Control, q, peer.EnvironmentClient.Force)
}

// environmentCall is one method of the client.
type environmentCall[Q, S any] func(peer.EnvironmentClient, context.Context, *connect.Request[Q]) (*connect.Response[S], error)

func forward[Q, S any](ctx context.Context, c *Control, q *connect.Request[Q], call environmentCall[Q, S]) (*connect.Response[S], error) {
	return forwardTo(ctx, c, q, func(ctx context.Context, r replica, q *connect.Request[Q]) (*connect.Response[S], error) {
		return call(r.environment, ctx, q)
	})
}

// replicaCall is one method of a replica's clients.
type replicaCall[Q, S any] func(context.Context, replica, *connect.Request[Q]) (*connect.Response[S], error)

func forwardTo[Q, S any](ctx context.Context, c *Control, q *connect.Request[Q], call replicaCall[Q, S]) (*connect.Response[S], error) {
	var response *connect.Response[S]
	err := c.each(ctx, func(ctx context.Context, r replica) error {
		answer, err := call(ctx, r, connect.NewRequest(q.Msg))
		if err != nil {
			return err
		}
		response = connect.NewResponse(answer.Msg)
		return nil
	})
	if err != nil {
		return nil, operatorError(err)
	}
	return response, nil
}

// operatorError returns an error whose code says whether the same call may be made again.
func operatorError(err error) error {
	if refused(err) {
		return connect.NewError(connect.CodeOf(err), err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
