package dial

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/wire/peer"
)

// Environment forwards operators' calls about environment documents to the leader.
type Environment struct {
	// Control calls the leader.
	Control *Control
}

// Try forwards a call to the leader.
func (e *Environment) Try(ctx context.Context, q *connect.Request[peer.TryRequest]) (*connect.Response[peer.TryResponse], error) {
	return forwardEnvironment(ctx, e.Control, q, peer.EnvironmentClient.Try)
}

// Promote forwards a call to the leader.
func (e *Environment) Promote(ctx context.Context, q *connect.Request[peer.PromoteRequest]) (*connect.Response[peer.PromoteResponse], error) {
	return forwardEnvironment(ctx, e.Control, q, peer.EnvironmentClient.Promote)
}

// Diff forwards a call to the leader.
func (e *Environment) Diff(ctx context.Context, q *connect.Request[peer.DiffRequest]) (*connect.Response[peer.DiffResponse], error) {
	return forwardEnvironment(ctx, e.Control, q, peer.EnvironmentClient.Diff)
}

// History forwards a call to the leader.
func (e *Environment) History(ctx context.Context, q *connect.Request[peer.HistoryRequest]) (*connect.Response[peer.HistoryResponse], error) {
	return forwardEnvironment(ctx, e.Control, q, peer.EnvironmentClient.History)
}

// Force forwards a call to the leader.
func (e *Environment) Force(ctx context.Context, q *connect.Request[peer.ForceRequest]) (*connect.Response[peer.ForceResponse], error) {
	return forwardEnvironment(ctx, e.Control, q, peer.EnvironmentClient.Force)
}

// environmentCall is a method of peer.EnvironmentClient.
type environmentCall[Q, S any] func(peer.EnvironmentClient, context.Context, *connect.Request[Q]) (*connect.Response[S], error)

func forwardEnvironment[Q, S any](ctx context.Context, c *Control, q *connect.Request[Q], call environmentCall[Q, S]) (*connect.Response[S], error) {
	return forward(ctx, c, q, func(ctx context.Context, r replica, q *connect.Request[Q]) (*connect.Response[S], error) {
		return call(r.environment, ctx, q)
	})
}

// replicaCall is a method of one of a replica's clients.
type replicaCall[Q, S any] func(context.Context, replica, *connect.Request[Q]) (*connect.Response[S], error)

func forward[Q, S any](ctx context.Context, c *Control, q *connect.Request[Q], call replicaCall[Q, S]) (*connect.Response[S], error) {
	var response *connect.Response[S]
	err := c.callLeader(ctx, func(ctx context.Context, r replica) error {
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

// operatorError keeps the code of a refusal and maps all other errors to CodeUnavailable, which tells the
// operator that the same call may be retried.
func operatorError(err error) error {
	if isRefusal(err) {
		return connect.NewError(connect.CodeOf(err), err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
