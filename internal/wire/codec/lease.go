package codec

import (
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
	"cowslipstack/internal/wire/peer"
)

// RenewalToWire encodes a renewal as a message.
func RenewalToWire(r grant.Renewal) *peer.RenewRequest {
	w := &peer.RenewRequest{
		Entry: r.Entry, Started: r.Incarnation, LeaseMs: r.Lease.Milliseconds(),
		Revision: r.Revision, Whole: r.WantDocument, Index: r.LogIndex, AllReports: r.AllReports, Version: r.EntriesVersion,
	}
	for _, u := range r.Usages {
		w.Usages = append(w.Usages, &peer.Usage{Vm: u.VM, Epoch: u.Epoch, InProgress: countToWire(u.InProgress)})
	}
	for _, p := range r.Reports {
		w.Reports = append(w.Reports, &peer.ServiceReport{
			Service: p.Service, Answered: p.Answered, NotRun: p.NotRun, Unknown: p.Unknown,
			InProgress: countToWire(p.InProgress), Queued: countToWire(p.Queued),
		})
	}
	return w
}

// RenewalFromWire decodes a renewal from a message.
func RenewalFromWire(w *peer.RenewRequest) grant.Renewal {
	r := grant.Renewal{
		Entry: w.GetEntry(), Incarnation: w.GetStarted(), Lease: time.Duration(w.GetLeaseMs()) * time.Millisecond,
		Revision: w.GetRevision(), WantDocument: w.GetWhole(), LogIndex: w.GetIndex(), AllReports: w.GetAllReports(), EntriesVersion: w.GetVersion(),
	}
	for _, u := range w.GetUsages() {
		r.Usages = append(r.Usages, fleet.VMUsage{VM: u.GetVm(), Epoch: u.GetEpoch(), InProgress: int(u.GetInProgress())})
	}
	for _, p := range w.GetReports() {
		r.Reports = append(r.Reports, fleet.ServiceReport{
			Service: p.GetService(), Answered: p.GetAnswered(), NotRun: p.GetNotRun(), Unknown: p.GetUnknown(),
			InProgress: int(p.GetInProgress()), Queued: int(p.GetQueued()),
		})
	}
	return r
}

// GrantToWire encodes a grant as a message.
func GrantToWire(g grant.Grant) *peer.RenewResponse {
	w := &peer.RenewResponse{Revision: g.Revision, Index: g.LogIndex, WantReports: g.WantReports, Version: g.EntriesVersion, Entries: g.Entries}
	if d := g.Document; d != nil {
		w.Digest = g.Digest
		w.Document = &peer.DocumentDelta{Base: d.Base, Prefix: uint64(d.Prefix), Suffix: uint64(d.Suffix), Middle: d.Middle}
	}
	for _, m := range g.VMs {
		w.Marks = append(w.Marks, &peer.Mark{Vm: m.VM, Epoch: m.Epoch, Phase: uint32(m.Phase)})
	}
	return w
}

// GrantFromWire decodes a grant from a message.
func GrantFromWire(w *peer.RenewResponse) grant.Grant {
	g := grant.Grant{Revision: w.GetRevision(), Digest: w.GetDigest(), LogIndex: w.GetIndex(), WantReports: w.GetWantReports(), EntriesVersion: w.GetVersion(), Entries: w.GetEntries()}
	if d := w.GetDocument(); d != nil {
		g.Document = &docs.Delta{Base: d.GetBase(), Prefix: int(d.GetPrefix()), Suffix: int(d.GetSuffix()), Middle: d.GetMiddle()}
	}
	for _, m := range w.GetMarks() {
		g.VMs = append(g.VMs, fleet.VMRoutingState{VM: m.GetVm(), Epoch: m.GetEpoch(), Phase: fleet.Phase(m.GetPhase())})
	}
	return g
}

func countToWire(n int) uint32 {
	return uint32(max(n, 0))
}
