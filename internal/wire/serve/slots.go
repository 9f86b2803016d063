package serve

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/edge/slots"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Home is the part of an entry that grants slots of its runners and reports to other homes.
type Home interface {
	HandleReport(context.Context, slots.Report) (slots.Answer, error)
	Wake(ctx context.Context, home string) error
}

// Slots serves the calls of other entries about slots.
type Slots struct {
	// Home grants the slots.
	Home Home
}

// ReportSlots answers another entry's report.
func (s *Slots) ReportSlots(ctx context.Context, r *connect.Request[peer.ReportSlotsRequest]) (*connect.Response[peer.ReportSlotsResponse], error) {
	answer, err := s.Home.HandleReport(ctx, codec.SlotsReportFromWire(r.Msg))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(codec.SlotsAnswerToWire(answer)), nil
}

// WakeSlots records that a home entry requests a report.
func (s *Slots) WakeSlots(ctx context.Context, r *connect.Request[peer.WakeSlotsRequest]) (*connect.Response[peer.WakeSlotsResponse], error) {
	if err := s.Home.Wake(ctx, r.Msg.GetHome()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.WakeSlotsResponse{}), nil
}
