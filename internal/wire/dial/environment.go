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
	return forward(ctx, e.Control, q, environmentOf, peer.EnvironmentClient.Try)
}

// Promote forwards a call to the leader.
func (e *Environment) Promote(ctx context.Context, q *connect.Request[peer.PromoteRequest]) (*connect.Response[peer.PromoteResponse], error) {
	return forward(ctx, e.Control, q, environmentOf, peer.EnvironmentClient.Promote)
}

// Diff forwards a call to the leader.
func (e *Environment) Diff(ctx context.Context, q *connect.Request[peer.DiffRequest]) (*connect.Response[peer.DiffResponse], error) {
	return forward(ctx, e.Control, q, environmentOf, peer.EnvironmentClient.Diff)
}

// History forwards a call to the leader.
func (e *Environment) History(ctx context.Context, q *connect.Request[peer.HistoryRequest]) (*connect.Response[peer.HistoryResponse], error) {
	return forward(ctx, e.Control, q, environmentOf, peer.EnvironmentClient.History)
}

// Force forwards a call to the leader.
func (e *Environment) Force(ctx context.Context, q *connect.Request[peer.ForceRequest]) (*connect.Response[peer.ForceResponse], error) {
	return forward(ctx, e.Control, q, environmentOf, peer.EnvironmentClient.Force)
}

func environmentOf(r replica) peer.EnvironmentClient { return r.environment }

// forward makes a call of the leader for an operator.
func forward[C, Q, S any](ctx context.Context, c *Control, q *connect.Request[Q], clientOf func(replica) C, call clientCall[C, Q, S]) (*connect.Response[S], error) {
	response, err := askLeader(ctx, c, q, clientOf, call)
	if err != nil {
		return nil, operatorError(err)
	}
	return connect.NewResponse(response.Msg), nil
}

// operatorError keeps the code of a refusal and maps all other errors to CodeUnavailable, which tells the
// operator that the same call may be retried.
func operatorError(err error) error {
	if isRefusal(err) {
		return connect.NewError(connect.CodeOf(err), err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
