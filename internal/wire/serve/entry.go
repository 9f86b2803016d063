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

// Agent is the control part of an entry, which holds the announced endpoints.
type Agent interface {
	Receive(context.Context, agent.Gossip) error
	Endpoints(context.Context) ([]fleet.Endpoint, error)
	Compare(ctx context.Context, root uint64) ([]uint64, error)
	Exchange(ctx context.Context, buckets []int, theirs []fleet.Endpoint) ([]fleet.Endpoint, error)
}

// Entry serves the calls of other entries about announced endpoints.
type Entry struct {
	// Agent holds the announced endpoints.
	Agent Agent
	// Clock converts between relative times on the wire and absolute ones.
	Clock clock.Clock
}

// Share receives gossip: announcements and refreshes that another entry received directly.
func (s *Entry) Share(ctx context.Context, r *connect.Request[peer.ShareRequest]) (*connect.Response[peer.ShareResponse], error) {
	gossip := agent.Gossip{
		Endpoints: codec.EndpointsFromWire(r.Msg.GetAnnouncements(), s.Clock.Now()),
		Refreshes: codec.RefreshesFromWire(r.Msg.GetRefreshes()),
	}
	if err := s.Agent.Receive(ctx, gossip); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.ShareResponse{}), nil
}

// Learn returns all announcements that the entry holds.
func (s *Entry) Learn(ctx context.Context, _ *connect.Request[peer.LearnRequest]) (*connect.Response[peer.LearnResponse], error) {
	endpoints, err := s.Agent.Endpoints(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.LearnResponse{Announcements: codec.EndpointsToWire(endpoints, s.Clock.Now())}), nil
}

// Compare compares the digest of the sender's announcements with the entry's own. If they differ, it returns the
// digests of the entry's buckets.
func (s *Entry) Compare(ctx context.Context, r *connect.Request[peer.CompareRequest]) (*connect.Response[peer.CompareResponse], error) {
	buckets, err := s.Agent.Compare(ctx, r.Msg.GetRoot())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.CompareResponse{Buckets: buckets}), nil
}

// Exchange merges the sender's announcements of some buckets and returns those that the entry holds there.
func (s *Entry) Exchange(ctx context.Context, r *connect.Request[peer.ExchangeRequest]) (*connect.Response[peer.ExchangeResponse], error) {
	theirs := codec.EndpointsFromWire(r.Msg.GetAnnouncements(), s.Clock.Now())
	own, err := s.Agent.Exchange(ctx, codec.BucketsFromWire(r.Msg.GetBuckets()), theirs)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.ExchangeResponse{Announcements: codec.EndpointsToWire(own, s.Clock.Now())}), nil
}
