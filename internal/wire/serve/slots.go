package serve

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/edge/slots"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Home is the part of an entry that grants slots, as the handlers use it.
type Home interface {
	HandleReport(context.Context, slots.Report) (slots.Answer, error)
	Wake(ctx context.Context, home string) error
}

// Slots serves what entries ask of one another about slots.
type Slots struct {
	// Home holds the grants.
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

// WakeSlots notes that a home wants a report.
func (s *Slots) WakeSlots(ctx context.Context, r *connect.Request[peer.WakeSlotsRequest]) (*connect.Response[peer.WakeSlotsResponse], error) {
	if err := s.Home.Wake(ctx, r.Msg.GetHome()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.WakeSlotsResponse{}), nil
}
