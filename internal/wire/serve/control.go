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

// Node is the replicated state as the handlers use it.
type Node interface {
	Submit(context.Context, record.Command) (record.Result, error)
	Confirm(context.Context) error
	View(context.Context, func(*state.State)) error
	Leader(context.Context) (string, error)
}

// Keeper grants leases to entries.
type Keeper interface {
	Renew(context.Context, grant.Renewal) (grant.Grant, error)
	// Refresh looks at the state, so that the snapshot is no older.
	Refresh(context.Context) error
	Snapshot() *lease.Snapshot
}

// Control serves what entries and operators' processes ask of the control role.
type Control struct {
	// Node holds the replicated state.
	Node Node
	// Keeper grants leases.
	Keeper Keeper
	// Clock gives the time.
	Clock clock.Clock
}

// Submit proposes a command and waits for its result.
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

// State tells the replicated state, confirmed by a quorum.
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

// controlError says by its code whether the call had no effect, and names the leader where it is another.
func controlError(err error) error {
	var other *node.NotLeaderError
	switch {
	case errors.As(err, &other):
		answer := connect.NewError(connect.CodeFailedPrecondition, err)
		answer.Meta().Set(dial.LeaderHeader, other.Leader)
		return answer
	case errors.Is(err, quorum.ErrBusy):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.Is(err, quorum.ErrMembers), errors.Is(err, lease.ErrUnknownEntry), errors.Is(err, lease.ErrLeaseTooLong):
		return connect.NewError(connect.CodeInvalidArgument, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}
