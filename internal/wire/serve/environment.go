package serve

import (
	"context"
	"fmt"
	"slices"

	"connectrpc.com/connect"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

const (
	// defaultTrial names the trial environment where the operator names none.
	defaultTrial = "trial"
	// historyDefault is how many revisions are told where the operator names no limit.
	historyDefault = 20
)

// Environment serves operators' calls on environment documents, on the leader.
type Environment struct {
	// Node holds the replicated state.
	Node Node
	// Keeper knows what is in force on the entries.
	Keeper Keeper
	// Clock gives the time.
	Clock clock.Clock
	// LeaseMs is how long a lease may last.
	LeaseMs int64
}

// fleetView is what a document is looked at against.
type fleetView struct {
	document state.Document
	vms      map[string]int
}

// Try checks a document, tells what it would do and records the trial.
func (s *Environment) Try(ctx context.Context, r *connect.Request[peer.TryRequest]) (*connect.Response[peer.TryResponse], error) {
	text := r.Msg.GetDocument()
	to, err := docs.Parse("document", text)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	view, err := s.view(ctx)
	if err != nil {
		return nil, err
	}
	preview, err := look(view, to)
	if err != nil {
		return nil, err
	}
	base := view.document.Revision
	if r.Msg.BaseRevision != nil {
		base = r.Msg.GetBaseRevision()
	}
	digest := docs.Digest(text)
	if !r.Msg.GetDryRun() {
		c := record.Command{RequestID: r.Msg.GetRequestId(), Trial: &record.TrialChange{
			Environment: orDefault(r.Msg.GetEnvironment(), defaultTrial), BaseRevision: base, Text: text,
		}}
		result, err := s.submit(ctx, c)
		if err != nil {
			return nil, err
		}
		if err := sameDocument(c.RequestID, result, digest); err != nil {
			return nil, err
		}
		base = result.Revision
	}
	return connect.NewResponse(&peer.TryResponse{Digest: digest, BaseRevision: base, Preview: codec.PreviewToWire(preview)}), nil
}

// Promote puts exactly what was tried into production.
func (s *Environment) Promote(ctx context.Context, r *connect.Request[peer.PromoteRequest]) (*connect.Response[peer.PromoteResponse], error) {
	if r.Msg.GetDryRun() {
		return s.promoteDry(ctx, r.Msg)
	}
	result, err := s.submit(ctx, record.Command{RequestID: r.Msg.GetRequestId(), Promote: &record.PromoteChange{
		BaseRevision: r.Msg.GetBaseRevision(), Digest: r.Msg.GetDigest(), UseTrialBase: r.Msg.BaseRevision == nil,
	}})
	if err != nil {
		return nil, err
	}
	if err := sameDocument(r.Msg.GetRequestId(), result, r.Msg.GetDigest()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peer.PromoteResponse{Revision: result.Revision, Digest: result.Digest}), nil
}

func (s *Environment) promoteDry(ctx context.Context, r *peer.PromoteRequest) (*connect.Response[peer.PromoteResponse], error) {
	var trial state.Trial
	var found bool
	view, err := s.view(ctx, func(st *state.State) { trial, found = st.Trial(r.GetDigest()) })
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no trial has the digest %q", r.GetDigest()))
	}
	base := trial.BaseRevision
	if r.BaseRevision != nil {
		base = r.GetBaseRevision()
	}
	if base != view.document.Revision {
		return nil, connect.NewError(connect.CodeAborted,
			fmt.Errorf("the change builds on revision %d, but revision %d is in force", base, view.document.Revision))
	}
	to, err := docs.Parse("trial", trial.Text)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	preview, err := look(view, to)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peer.PromoteResponse{
		Revision: view.document.Revision, Digest: trial.Digest, Preview: codec.PreviewToWire(preview),
	}), nil
}

// Diff compares two documents.
func (s *Environment) Diff(ctx context.Context, r *connect.Request[peer.DiffRequest]) (*connect.Response[peer.DiffResponse], error) {
	from, to := orDefault(r.Msg.GetFrom(), state.Production), r.Msg.GetTo()
	var texts [2][]byte
	var found [2]bool
	_, err := s.view(ctx, func(st *state.State) {
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

// History tells the accepted revisions and the trials, the latest first.
func (s *Environment) History(ctx context.Context, r *connect.Request[peer.HistoryRequest]) (*connect.Response[peer.HistoryResponse], error) {
	limit := int(r.Msg.GetLimit())
	if limit == 0 {
		limit = historyDefault
	}
	response := &peer.HistoryResponse{}
	_, err := s.view(ctx, func(st *state.State) {
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

// Force tells which revision is in force on each entry, and since when the latest ones are everywhere.
func (s *Environment) Force(ctx context.Context, _ *connect.Request[peer.ForceRequest]) (*connect.Response[peer.ForceResponse], error) {
	view, err := s.view(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.Keeper.Refresh(ctx); err != nil {
		return nil, controlError(err)
	}
	d := view.document
	response := &peer.ForceResponse{Environment: d.Environment, Revision: d.Revision, Digest: d.Digest}
	known := s.Keeper.Snapshot()
	now := s.Clock.Now()
	for _, h := range known.Holders {
		e := &peer.EntryForce{Name: h.Name, Revision: h.Revision, RenewedMs: -1}
		if !h.Renewed.IsZero() {
			e.RenewedMs = now.Sub(h.Renewed).Milliseconds()
			e.Lease = e.GetRenewedMs() < s.LeaseMs
		}
		response.Entries = append(response.Entries, e)
	}
	for _, f := range known.Revisions {
		w := &peer.RevisionForce{Revision: f.Revision, Everywhere: f.Everywhere, ElapsedMs: -1, Waiting: f.Waiting}
		if f.Measured {
			w.ElapsedMs = f.Elapsed.Milliseconds()
		}
		response.Revisions = append(response.Revisions, w)
	}
	return connect.NewResponse(response), nil
}

// view returns what documents are looked at against, confirmed by a quorum; more is read with it.
func (s *Environment) view(ctx context.Context, more ...func(*state.State)) (fleetView, error) {
	if err := s.Node.Confirm(ctx); err != nil {
		return fleetView{}, controlError(err)
	}
	v := fleetView{vms: map[string]int{}}
	read := func(st *state.State) {
		v.document = st.Document
		for _, vm := range st.VMs {
			v.vms[vm.Pool]++
		}
		for _, m := range more {
			m(st)
		}
	}
	if err := s.Node.View(ctx, read); err != nil {
		return fleetView{}, controlError(err)
	}
	return v, nil
}

func (s *Environment) submit(ctx context.Context, c record.Command) (record.Result, error) {
	c.Time = s.Clock.Now()
	result, err := s.Node.Submit(ctx, c)
	if err != nil {
		return result, controlError(err)
	}
	if err := result.Err(); err != nil {
		return result, connect.NewError(resultCode(result.Code), err)
	}
	return result, nil
}

// look returns what a document would do to the fleet.
func look(v fleetView, to docs.Environment) (docs.Preview, error) {
	var from docs.Environment
	if v.document.Revision > 0 {
		var err error
		if from, err = docs.Parse(state.Production, v.document.Text); err != nil {
			return docs.Preview{}, connect.NewError(connect.CodeInternal, err)
		}
	}
	return docs.NewPreview(from, to, v.vms), nil
}

// sameDocument fails where a request identity was used before for another document.
func sameDocument(request string, result record.Result, digest string) error {
	if result.Digest == digest {
		return nil
	}
	return connect.NewError(connect.CodeInvalidArgument,
		fmt.Errorf("request %q was made for another document, with digest %s", request, result.Digest))
}

func orDefault(text, other string) string {
	if text == "" {
		return other
	}
	return text
}
