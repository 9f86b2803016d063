package serve

import (
	"context"
	"slices"

	"connectrpc.com/connect"

	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Group is a replica as other replicas and operators reach it.
type Group interface {
	Deliver(context.Context, string, []quorum.Message) ([]quorum.Message, error)
	Hello(context.Context) (node.ReplicaInfo, error)
	Agree(context.Context, []quorum.Member) error
	MemberStatuses(context.Context) ([]quorum.MemberStatus, error)
	Change(context.Context, quorum.Change) error
	Transfer(context.Context, quorum.ReplicaID) error
}

// Replica serves what replicas ask of one another.
type Replica struct {
	// Group is this process's replica.
	Group Group
	// Names are the control processes of the settings; only these can be members.
	Names []string
}

// Deliver hands messages to the replica and returns its answers.
func (s *Replica) Deliver(ctx context.Context, r *connect.Request[peer.DeliverRequest]) (*connect.Response[peer.DeliverResponse], error) {
	messages := codec.MessagesFromWire(r.Msg.GetMessages())
	if len(messages) == 0 {
		return connect.NewResponse(&peer.DeliverResponse{}), nil
	}
	answers, err := s.Group.Deliver(ctx, r.Msg.GetName(), messages)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.DeliverResponse{Messages: codec.MessagesToWire(answers)}), nil
}

// Hello tells who the replica is.
func (s *Replica) Hello(ctx context.Context, _ *connect.Request[peer.HelloRequest]) (*connect.Response[peer.HelloResponse], error) {
	g, err := s.Group.Hello(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.HelloResponse{
		Self: codec.MembersToWire([]quorum.Member{g.Self})[0], HasState: g.HasState, Members: codec.MembersToWire(g.Members),
	}), nil
}

// Agree syncs the first members of a group.
func (s *Replica) Agree(ctx context.Context, r *connect.Request[peer.AgreeRequest]) (*connect.Response[peer.AgreeResponse], error) {
	if err := s.Group.Agree(ctx, codec.MembersFromWire(r.Msg.GetMembers())); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&peer.AgreeResponse{}), nil
}

// List tells who the members are and how far each has come.
func (s *Replica) List(ctx context.Context, _ *connect.Request[peer.MembersListRequest]) (*connect.Response[peer.MembersListResponse], error) {
	statuses, err := s.Group.MemberStatuses(ctx)
	if err != nil {
		return nil, controlError(err)
	}
	response := &peer.MembersListResponse{}
	for _, st := range statuses {
		response.Members = append(response.Members, &peer.MemberStatus{
			Member: codec.MembersToWire([]quorum.Member{st.Member})[0], Leader: st.Leader,
			Synced: st.Synced, CaughtUp: st.CaughtUp, Heard: st.Heard,
		})
	}
	return connect.NewResponse(response), nil
}

// Change makes one change of the members.
func (s *Replica) Change(ctx context.Context, r *connect.Request[peer.MembersChangeRequest]) (*connect.Response[peer.MembersChangeResponse], error) {
	w := r.Msg.GetMember()
	c := quorum.Change{
		Kind:   quorum.ChangeKind(r.Msg.GetKind()),
		Member: quorum.Member{ID: quorum.ReplicaID(w.GetId()), Name: w.GetName()},
	}
	if c.Kind == quorum.ChangeAdd && !slices.Contains(s.Names, c.Member.Name) {
		return nil, connect.NewError(connect.CodeInvalidArgument, quorum.ErrMembers)
	}
	if err := s.Group.Change(ctx, c); err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(&peer.MembersChangeResponse{}), nil
}

// Transfer hands the leadership to another member.
func (s *Replica) Transfer(ctx context.Context, r *connect.Request[peer.MembersTransferRequest]) (*connect.Response[peer.MembersTransferResponse], error) {
	if err := s.Group.Transfer(ctx, quorum.ReplicaID(r.Msg.GetId())); err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(&peer.MembersTransferResponse{}), nil
}
