package serve

import (
	"cmp"
	"context"
	"fmt"

	"connectrpc.com/connect"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// defaultTrialEnvironment is the trial environment if the request names none.
const defaultTrialEnvironment = "trial"

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
			Environment: cmp.Or(r.Msg.GetEnvironment(), defaultTrialEnvironment), BaseRevision: base, Text: text,
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
