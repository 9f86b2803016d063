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
	// defaultTrialEnvironment is the trial environment if the request names none.
	defaultTrialEnvironment = "trial"
	// defaultHistoryLimit is the number of revisions returned if the request sets no limit.
	defaultHistoryLimit = 20
)

// Environment serves operators' calls about environment documents, on the leader.
type Environment struct {
	// Node gives access to the replicated state.
	Node Node
	// Keeper knows which revision is in force on each entry.
	Keeper LeaseKeeper
	// Clock provides the time of commands and of lease ages.
	Clock clock.Clock
	// LeaseDurationMS is the longest duration of a lease, in milliseconds.
	LeaseDurationMS int64
}

// fleetState is the part of the replicated state that a document is previewed against.
type fleetState struct {
	document state.Document
	// vms is the number of VMs by pool.
	vms map[string]int
}

// Try validates a document and returns a preview of its effects. Unless it is a dry run, it records the trial.
func (s *Environment) Try(ctx context.Context, r *connect.Request[peer.TryRequest]) (*connect.Response[peer.TryResponse], error) {
	text := r.Msg.GetDocument()
	to, err := docs.Parse("document", text)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	current, err := s.readState(ctx)
	if err != nil {
		return nil, err
	}
	preview, err := previewDocument(current, to)
	if err != nil {
		return nil, err
	}
	base := current.document.Revision
	if r.Msg.BaseRevision != nil {
		base = r.Msg.GetBaseRevision()
	}
	digest := docs.Digest(text)
	if !r.Msg.GetDryRun() {
		c := record.Command{RequestID: r.Msg.GetRequestId(), Trial: &record.TrialChange{
			Environment: orDefault(r.Msg.GetEnvironment(), defaultTrialEnvironment), BaseRevision: base, Text: text,
		}}
		result, err := s.submit(ctx, c)
		if err != nil {
			return nil, err
		}
		if err := checkSameDocument(c.RequestID, result, digest); err != nil {
			return nil, err
		}
		base = result.Revision
	}
	return connect.NewResponse(&peer.TryResponse{Digest: digest, BaseRevision: base, Preview: codec.PreviewToWire(preview)}), nil
}

// Promote puts a tried document, named by its digest, into force in production.
func (s *Environment) Promote(ctx context.Context, r *connect.Request[peer.PromoteRequest]) (*connect.Response[peer.PromoteResponse], error) {
	if r.Msg.GetDryRun() {
		return s.previewPromote(ctx, r.Msg)
	}
	result, err := s.submit(ctx, record.Command{RequestID: r.Msg.GetRequestId(), Promote: &record.PromoteChange{
		BaseRevision: r.Msg.GetBaseRevision(), Digest: r.Msg.GetDigest(), UseTrialBase: r.Msg.BaseRevision == nil,
	}})
	if err != nil {
		return nil, err
	}
	if err := checkSameDocument(r.Msg.GetRequestId(), result, r.Msg.GetDigest()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peer.PromoteResponse{Revision: result.Revision, Digest: result.Digest}), nil
}

func (s *Environment) previewPromote(ctx context.Context, r *peer.PromoteRequest) (*connect.Response[peer.PromoteResponse], error) {
	var trial state.Trial
	var found bool
	current, err := s.readState(ctx, func(st *state.State) { trial, found = st.Trial(r.GetDigest()) })
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
	if base != current.document.Revision {
		return nil, connect.NewError(connect.CodeAborted,
			fmt.Errorf("the change builds on revision %d, but revision %d is in force", base, current.document.Revision))
	}
	to, err := docs.Parse("trial", trial.Text)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	preview, err := previewDocument(current, to)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peer.PromoteResponse{
		Revision: current.document.Revision, Digest: trial.Digest, Preview: codec.PreviewToWire(preview),
	}), nil
}

// Diff returns the changes between two documents, by default from production to the latest trial.
func (s *Environment) Diff(ctx context.Context, r *connect.Request[peer.DiffRequest]) (*connect.Response[peer.DiffResponse], error) {
	from, to := orDefault(r.Msg.GetFrom(), state.Production), r.Msg.GetTo()
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

// readState returns the state that documents are previewed against, after a quorum has confirmed that this replica
// leads. The functions in reads see the same state.
func (s *Environment) readState(ctx context.Context, reads ...func(*state.State)) (fleetState, error) {
	if err := s.Node.Confirm(ctx); err != nil {
		return fleetState{}, controlError(err)
	}
	fs := fleetState{vms: map[string]int{}}
	read := func(st *state.State) {
		fs.document = st.Document
		for _, vm := range st.VMs {
			fs.vms[vm.Pool]++
		}
		for _, fn := range reads {
			fn(st)
		}
	}
	if err := s.Node.View(ctx, read); err != nil {
		return fleetState{}, controlError(err)
	}
	return fs, nil
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

// previewDocument returns the effects that a document would have on the fleet.
func previewDocument(fs fleetState, to docs.Environment) (docs.Preview, error) {
	var from docs.Environment
	if fs.document.Revision > 0 {
		var err error
		if from, err = docs.Parse(state.Production, fs.document.Text); err != nil {
			return docs.Preview{}, connect.NewError(connect.CodeInternal, err)
		}
	}
	return docs.NewPreview(from, to, fs.vms), nil
}

// checkSameDocument fails if the request ID was used before for another document.
func checkSameDocument(request string, result record.Result, digest string) error {
	if result.Digest == digest {
		return nil
	}
	return connect.NewError(connect.CodeInvalidArgument,
		fmt.Errorf("request %q was made for another document, with digest %s", request, result.Digest))
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
