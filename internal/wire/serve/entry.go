package serve

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/agent"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Agent is the control part of an entry as the handlers use it.
type Agent interface {
	Receive(context.Context, agent.Gossip) error
	Endpoints(context.Context) ([]fleet.Endpoint, error)
	Compare(ctx context.Context, root uint64) ([]uint64, error)
	Exchange(ctx context.Context, buckets []int, theirs []fleet.Endpoint) ([]fleet.Endpoint, error)
}

// Entry serves what entries ask of one another.
type Entry struct {
	// Agent holds the announced endpoints.
	Agent Agent
	// Clock gives the time.
	Clock clock.Clock
}

// Share takes what another entry was the first to hear.
func (s *Entry) Share(ctx context.Context, r *connect.Request[peer.ShareRequest]) (*connect.Response[peer.ShareResponse], error) {
	g := agent.Gossip{
		Endpoints: codec.EndpointsFromWire(r.Msg.GetAnnouncements(), s.Clock.Now()),
		Refreshes: codec.RefreshesFromWire(r.Msg.GetRefreshes()),
	}
	if err := s.Agent.Receive(ctx, g); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.ShareResponse{}), nil
}

// Learn gives all announcements that the entry holds.
func (s *Entry) Learn(ctx context.Context, _ *connect.Request[peer.LearnRequest]) (*connect.Response[peer.LearnResponse], error) {
	endpoints, err := s.Agent.Endpoints(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.LearnResponse{Announcements: codec.EndpointsToWire(endpoints, s.Clock.Now())}), nil
}

// Compare tells whether the entry holds what the sender does.
func (s *Entry) Compare(ctx context.Context, r *connect.Request[peer.CompareRequest]) (*connect.Response[peer.CompareResponse], error) {
	buckets, err := s.Agent.Compare(ctx, r.Msg.GetRoot())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.CompareResponse{Buckets: buckets}), nil
}

// Exchange takes and gives the announcements of some buckets.
func (s *Entry) Exchange(ctx context.Context, r *connect.Request[peer.ExchangeRequest]) (*connect.Response[peer.ExchangeResponse], error) {
	theirs := codec.EndpointsFromWire(r.Msg.GetAnnouncements(), s.Clock.Now())
	own, err := s.Agent.Exchange(ctx, codec.BucketsFromWire(r.Msg.GetBuckets()), theirs)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.ExchangeResponse{Announcements: codec.EndpointsToWire(own, s.Clock.Now())}), nil
}
