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

// Group is the replica of this process in the quorum group.
type Group interface {
	Deliver(context.Context, string, []quorum.Message) ([]quorum.Message, error)
	Hello(context.Context) (node.ReplicaInfo, error)
	Agree(context.Context, []quorum.Member) error
	MemberStatuses(context.Context) ([]quorum.MemberStatus, error)
	Change(context.Context, quorum.Change) error
	Transfer(context.Context, quorum.ReplicaID) error
}

// Replica serves the calls of other replicas and operators' calls about the members.
type Replica struct {
	// Group is this process's replica.
	Group Group
	// Names are the control processes in the settings. Only these can become members.
	Names []string
}

// Deliver passes messages to the replica and returns the messages it sends back.
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

// Hello returns the identity and members of the replica.
func (s *Replica) Hello(ctx context.Context, _ *connect.Request[peer.HelloRequest]) (*connect.Response[peer.HelloResponse], error) {
	info, err := s.Group.Hello(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.HelloResponse{
		Self: codec.MembersToWire([]quorum.Member{info.Self})[0], HasState: info.HasState, Members: codec.MembersToWire(info.Members),
	}), nil
}

// Agree syncs the initial members of a group to disk.
func (s *Replica) Agree(ctx context.Context, r *connect.Request[peer.AgreeRequest]) (*connect.Response[peer.AgreeResponse], error) {
	if err := s.Group.Agree(ctx, codec.MembersFromWire(r.Msg.GetMembers())); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&peer.AgreeResponse{}), nil
}

// List returns the members and their replication status.
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

// Change makes one membership change. Only a process named in the settings can be added.
func (s *Replica) Change(ctx context.Context, r *connect.Request[peer.MembersChangeRequest]) (*connect.Response[peer.MembersChangeResponse], error) {
	w := r.Msg.GetMember()
	c := quorum.Change{
		Kind:   quorum.ChangeKind(r.Msg.GetKind()),
		Member: quorum.Member{ID: quorum.ReplicaID(w.GetId()), Name: w.GetName()},
	}
	if c.Kind == quorum.ChangeAdd && !slices.Contains(s.Names, c.Member.Name) {
		return nil, connect.NewError(connect.CodeInvalidArgument, quorum.ErrInvalidMembers)
	}
	if err := s.Group.Change(ctx, c); err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(&peer.MembersChangeResponse{}), nil
}

// Transfer transfers the leadership to another member.
func (s *Replica) Transfer(ctx context.Context, r *connect.Request[peer.MembersTransferRequest]) (*connect.Response[peer.MembersTransferResponse], error) {
	if err := s.Group.Transfer(ctx, quorum.ReplicaID(r.Msg.GetId())); err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(&peer.MembersTransferResponse{}), nil
}
