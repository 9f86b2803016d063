package serve

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/lease"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/grant"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/dial"
	"cowslipstack/internal/wire/peer"
)

// Node gives access to the replicated state.
type Node interface {
	Submit(context.Context, record.Command) (record.Result, error)
	Confirm(context.Context) error
	View(context.Context, func(*state.State)) error
	Leader(context.Context) (string, error)
}

// LeaseKeeper grants leases to entries.
type LeaseKeeper interface {
	Renew(context.Context, grant.Renewal) (grant.Grant, error)
	// Refresh reads the replicated state, so that the next Snapshot is at least as recent as this call.
	Refresh(context.Context) error
	Snapshot() *lease.Snapshot
}

// Control serves the calls of entries and operators to the control processes.
type Control struct {
	// Node gives access to the replicated state.
	Node Node
	// Keeper grants the leases.
	Keeper LeaseKeeper
	// Clock provides the time of commands and of lease ages.
	Clock clock.Clock
}

// Submit stamps a command with the present time, proposes it and waits for its result.
func (s *Control) Submit(ctx context.Context, r *connect.Request[peer.SubmitRequest]) (*connect.Response[peer.SubmitResponse], error) {
	c := codec.CommandFromWire(r.Msg.GetCommand())
	c.Time = s.Clock.Now()
	result, err := s.Node.Submit(ctx, c)
	if err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(&peer.SubmitResponse{Result: codec.ResultToWire(result)}), nil
}

// Renew renews an entry's lease.
func (s *Control) Renew(ctx context.Context, r *connect.Request[peer.RenewRequest]) (*connect.Response[peer.RenewResponse], error) {
	g, err := s.Keeper.Renew(ctx, codec.RenewalFromWire(r.Msg))
	if err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(codec.GrantToWire(g)), nil
}

// State returns the replicated state, after a quorum has confirmed that this replica leads.
func (s *Control) State(ctx context.Context, _ *connect.Request[peer.StateRequest]) (*connect.Response[peer.StateResponse], error) {
	if err := s.Node.Confirm(ctx); err != nil {
		return nil, controlError(err)
	}
	leader, err := s.Node.Leader(ctx)
	if err != nil {
		return nil, controlError(err)
	}
	response := &peer.StateResponse{Leader: leader}
	read := func(st *state.State) {
		response.Revision, response.Digest = st.Document.Revision, st.Document.Digest
		response.Environment, response.Document = st.Document.Environment, st.Document.Text
		response.Applied = st.Applied
	}
	if err := s.Node.View(ctx, read); err != nil {
		return nil, controlError(err)
	}
	now := s.Clock.Now()
	for _, h := range s.Keeper.Snapshot().Holders {
		if h.Renewed.IsZero() {
			continue
		}
		response.Entries = append(response.Entries, &peer.EntryState{
			Name: h.Name, Revision: h.Revision, RenewedMs: now.Sub(h.Renewed).Milliseconds(),
		})
	}
	return connect.NewResponse(response), nil
}

// controlError returns an error whose code tells whether the call certainly had no effect. If another process
// leads, the header dial.LeaderHeader names it.
func controlError(err error) error {
	var other *node.NotLeaderError
	switch {
	case errors.As(err, &other):
		answer := connect.NewError(connect.CodeFailedPrecondition, err)
		answer.Meta().Set(dial.LeaderHeader, other.Leader)
		return answer
	case errors.Is(err, quorum.ErrBusy):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.Is(err, quorum.ErrInvalidMembers), errors.Is(err, lease.ErrUnknownEntry), errors.Is(err, lease.ErrLeaseTooLong):
		return connect.NewError(connect.CodeInvalidArgument, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}
