package serve

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// Proxy forwards calls to the leader.
type Proxy interface {
	// Do runs a call on the leader. The code of the reply tells whether the call may have run.
	Do(ctx context.Context, c *batch.Call) batch.Reply
}

// Batch serves operators' calls about batch jobs.
type Batch struct {
	// Proxy forwards the calls to the leader.
	Proxy Proxy
	// Decode decodes a configuration in the format of the site's platform. Its error is a *batch.TextError.
	Decode func(text []byte) (*batch.Configuration, error)
	// Logger receives the outcomes of checks.
	Logger *zap.Logger
}

// batchCodes maps reply codes other than CodeOK to Connect codes.
var batchCodes = map[batch.Code]connect.Code{
	batch.CodeNotFound: connect.CodeNotFound, batch.CodeGone: connect.CodeNotFound, batch.CodeInvalid: connect.CodeInvalidArgument,
	batch.CodeNotRun: connect.CodeUnavailable, batch.CodeUnknown: connect.CodeUnknown, batch.CodeOverloaded: connect.CodeUnavailable,
	batch.CodeRefused: connect.CodeResourceExhausted,
}

// Inspect returns the leader's state of a topic.
func (s *Batch) Inspect(ctx context.Context, r *connect.Request[peer.InspectRequest]) (*connect.Response[peer.InspectResponse], error) {
	reply := s.Proxy.Do(ctx, &batch.Call{Inspect: codec.InspectRequestFromWire(r.Msg)})
	if err := replyError(reply); err != nil {
		return nil, err
	}
	return connect.NewResponse(codec.InspectionToWire(reply.Inspection)), nil
}

// CancelJob cancels a job.
func (s *Batch) CancelJob(ctx context.Context, r *connect.Request[peer.CancelJobRequest]) (*connect.Response[peer.CancelJobResponse], error) {
	if !batch.ValidID(r.Msg.GetJob()) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Newf("%q is no job's identity", r.Msg.GetJob()))
	}
	reply := s.Proxy.Do(ctx, &batch.Call{Operator: true, Cancel: &batch.RequestTarget{Path: "/" + r.Msg.GetJob()}})
	if err := replyError(reply); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peer.CancelJobResponse{Phase: reply.Phase.String()}), nil
}

// replyError returns the error of a reply, or nil if it succeeded.
func replyError(r batch.Reply) error {
	if r.Code == batch.CodeOK {
		return nil
	}
	return connect.NewError(batchCodes[r.Code], errors.New(r.Detail))
}
