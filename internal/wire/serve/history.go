package serve

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"connectrpc.com/connect"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// defaultHistoryLimit is the number of revisions returned if the request sets no limit.
const defaultHistoryLimit = 20

// Diff returns the changes between two documents, by default from production to the latest trial.
func (s *Environment) Diff(ctx context.Context, r *connect.Request[peer.DiffRequest]) (*connect.Response[peer.DiffResponse], error) {
	from, to := cmp.Or(r.Msg.GetFrom(), state.Production), r.Msg.GetTo()
	var texts [2][]byte
	var found [2]bool
	_, err := s.readState(ctx, func(st *state.State) {
		if to == "" && len(st.Trials) > 0 {
			to = st.Trials[len(st.Trials)-1].Digest
		}
		texts[0], found[0] = st.Text(from)
		texts[1], found[1] = st.Text(to)
	})
	if err != nil {
		return nil, err
	}
	var parsed [2]docs.Environment
	for i, name := range []string{from, to} {
		if !found[i] {
			return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no text is kept of %q; see cowslip env history", name))
		}
		if parsed[i], err = docs.Parse(name, texts[i]); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	return connect.NewResponse(&peer.DiffResponse{
		FromDigest: docs.Digest(texts[0]), ToDigest: docs.Digest(texts[1]),
		Changes: codec.ChangesToWire(docs.Compare(parsed[0], parsed[1])),
	}), nil
}

// History returns the accepted revisions and the trials, latest first.
func (s *Environment) History(ctx context.Context, r *connect.Request[peer.HistoryRequest]) (*connect.Response[peer.HistoryResponse], error) {
	limit := int(r.Msg.GetLimit())
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	response := &peer.HistoryResponse{}
	_, err := s.readState(ctx, func(st *state.State) {
		for _, h := range slices.Backward(st.History[max(0, len(st.History)-limit):]) {
			response.Revisions = append(response.Revisions, &peer.RevisionInfo{
				Revision: h.Revision, Digest: h.Digest, TimeMs: h.Time.UnixMilli(), RequestId: h.RequestID, TextKept: h.Text != nil,
			})
		}
		for _, t := range slices.Backward(st.Trials) {
			response.Trials = append(response.Trials, &peer.TrialInfo{
				Environment: t.Environment, BaseRevision: t.BaseRevision, Digest: t.Digest, TimeMs: t.Time.UnixMilli(),
			})
		}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// Force returns the revision in force on each entry, and for the latest revisions how long they took to be in
// force on all entries.
func (s *Environment) Force(ctx context.Context, _ *connect.Request[peer.ForceRequest]) (*connect.Response[peer.ForceResponse], error) {
	current, err := s.readState(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.Keeper.Refresh(ctx); err != nil {
		return nil, controlError(err)
	}
	d := current.document
	response := &peer.ForceResponse{Environment: d.Environment, Revision: d.Revision, Digest: d.Digest}
	leases := s.Keeper.Snapshot()
	now := s.Clock.Now()
	for _, h := range leases.Holders {
		e := &peer.EntryForce{Name: h.Name, Revision: h.Revision, RenewedMs: -1}
		if !h.Renewed.IsZero() {
			e.RenewedMs = now.Sub(h.Renewed).Milliseconds()
			e.Lease = e.GetRenewedMs() < s.LeaseDurationMS
		}
		response.Entries = append(response.Entries, e)
	}
	for _, f := range leases.Revisions {
		w := &peer.RevisionForce{Revision: f.Revision, Everywhere: f.Everywhere, ElapsedMs: -1, Waiting: f.Waiting}
		if f.Measured {
			w.ElapsedMs = f.Elapsed.Milliseconds()
		}
		response.Revisions = append(response.Revisions, w)
	}
	return connect.NewResponse(response), nil
}
