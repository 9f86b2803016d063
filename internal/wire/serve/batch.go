package serve

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Desk takes calls to the process that leads.
type Desk interface {
	// Do takes a call; the reply's code tells whether it may have run.
	Do(ctx context.Context, c *batch.Call) batch.Reply
}

// Batch serves operators of batch work.
type Batch struct {
	// Desk takes the calls.
	Desk Desk
}

// batchCodes are the codes of replies other than success.
var batchCodes = map[batch.Code]connect.Code{
	batch.CodeNotFound: connect.CodeNotFound, batch.CodeGone: connect.CodeNotFound, batch.CodeInvalid: connect.CodeInvalidArgument,
	batch.CodeNotRun: connect.CodeUnavailable, batch.CodeUnknown: connect.CodeUnknown,
}

// Inspect tells what the leader knows of a topic.
func (s *Batch) Inspect(ctx context.Context, r *connect.Request[peer.InspectRequest]) (*connect.Response[peer.InspectResponse], error) {
	reply := s.Desk.Do(ctx, &batch.Call{Inspect: codec.InspectRequestFromWire(r.Msg)})
	if err := replyError(reply); err != nil {
		return nil, err
	}
	return connect.NewResponse(codec.InspectionToWire(reply.Inspection)), nil
}

// CancelJob gives a job up.
func (s *Batch) CancelJob(ctx context.Context, r *connect.Request[peer.CancelJobRequest]) (*connect.Response[peer.CancelJobResponse], error) {
	if !batch.ValidID(r.Msg.GetJob()) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Newf("%q is no job's identity", r.Msg.GetJob()))
	}
	reply := s.Desk.Do(ctx, &batch.Call{Cancel: &batch.RequestTarget{Path: "/" + r.Msg.GetJob()}})
	if err := replyError(reply); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peer.CancelJobResponse{Phase: reply.Phase.String()}), nil
}

// replyError returns the error of a reply, nil for success.
func replyError(r batch.Reply) error {
	if r.Code == batch.CodeOK {
		return nil
	}
	return connect.NewError(batchCodes[r.Code], errors.New(r.Detail))
}
