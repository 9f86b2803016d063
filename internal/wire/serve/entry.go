package serve

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Agent is the control part of an entry as the handlers use it.
type Agent interface {
	Hear(context.Context, []fleet.Endpoint) error
	Endpoints(context.Context) ([]fleet.Endpoint, error)
}

// Entry serves what entries ask of one another.
type Entry struct {
	// Agent holds the announced endpoints.
	Agent Agent
	// Clock gives the time.
	Clock clock.Clock
}

// Share takes announcements that another entry passes on.
func (s *Entry) Share(ctx context.Context, r *connect.Request[peer.ShareRequest]) (*connect.Response[peer.ShareResponse], error) {
	endpoints := codec.EndpointsFromWire(r.Msg.GetAnnouncements(), s.Clock.Now())
	if err := s.Agent.Hear(ctx, endpoints); err != nil {
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
