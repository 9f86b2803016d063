package codec

import (
	"time"

	"cowslipstack/internal/edge/slots"
	"cowslipstack/internal/wire/peer"
)

// SlotsReportToWire encodes an entry's report as a message.
func SlotsReportToWire(r slots.Report) *peer.ReportSlotsRequest {
	wire := &peer.ReportSlotsRequest{
		Holder: r.Holder, Incarnation: r.Incarnation, Number: r.Number, Version: r.MembersVersion,
		Home: r.HomeIncarnation, Answer: r.LastAnswer, Full: r.Full,
	}
	for _, c := range r.Claims {
		wire.Claims = append(wire.Claims, &peer.SlotsClaim{Key: uint64(c.Key), Granted: uint32(c.Granted), InUse: uint32(c.InUse)})
	}
	for _, d := range r.Demands {
		wire.Demands = append(wire.Demands, &peer.SlotsDemand{Service: d.Service, Count: uint32(d.Count)})
	}
	return wire
}

// SlotsReportFromWire decodes an entry's report from a message.
func SlotsReportFromWire(wire *peer.ReportSlotsRequest) slots.Report {
	r := slots.Report{
		Holder: wire.GetHolder(), Incarnation: wire.GetIncarnation(), Number: wire.GetNumber(), MembersVersion: wire.GetVersion(),
		HomeIncarnation: wire.GetHome(), LastAnswer: wire.GetAnswer(), Full: wire.GetFull(),
	}
	for _, c := range wire.GetClaims() {
		r.Claims = append(r.Claims, slots.Claim{Key: slots.Key(c.GetKey()), Granted: int(c.GetGranted()), InUse: int(c.GetInUse())})
	}
	for _, d := range wire.GetDemands() {
		r.Demands = append(r.Demands, slots.Demand{Service: d.GetService(), Count: int(d.GetCount())})
	}
	return r
}

// SlotsAnswerToWire encodes a home's answer as a message.
func SlotsAnswerToWire(a slots.Answer) *peer.ReportSlotsResponse {
	wire := &peer.ReportSlotsResponse{Home: a.HomeIncarnation, Number: a.Number, Resend: a.NeedFull, ValidMs: uint32(a.GrantDuration.Milliseconds())}
	for _, g := range a.Grants {
		wire.Grants = append(wire.Grants, &peer.SlotsGrant{Key: uint64(g.Key), Slots: uint32(g.Slots)})
	}
	return wire
}

// SlotsAnswerFromWire decodes a home's answer from a message.
func SlotsAnswerFromWire(wire *peer.ReportSlotsResponse) slots.Answer {
	a := slots.Answer{
		HomeIncarnation: wire.GetHome(), Number: wire.GetNumber(), NeedFull: wire.GetResend(),
		GrantDuration: time.Duration(wire.GetValidMs()) * time.Millisecond,
	}
	for _, g := range wire.GetGrants() {
		a.Grants = append(a.Grants, slots.Grant{Key: slots.Key(g.GetKey()), Slots: int(g.GetSlots())})
	}
	return a
}
