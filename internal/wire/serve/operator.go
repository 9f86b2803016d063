package serve

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/peer"
)

// ControlClient calls the leader of the control processes, which may be another process.
type ControlClient interface {
	Submit(context.Context, record.Command) (record.Result, error)
	State(context.Context) (*peer.StateResponse, error)
}

// Operator serves the calls of the operators' command line.
type Operator struct {
	// Control calls the leader.
	Control ControlClient
	// Agent holds the announced endpoints. It is nil if the process is not an entry.
	Agent Agent
}

// Apply validates a document and puts it into force.
func (s *Operator) Apply(ctx context.Context, r *connect.Request[peer.ApplyRequest]) (*connect.Response[peer.ApplyResponse], error) {
	environment, err := docs.Parse("document", r.Msg.GetDocument())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	result, err := s.Control.Submit(ctx, record.Command{
		RequestID: r.Msg.GetRequestId(),
		Document: &record.DocumentChange{
			Environment: string(environment.Environment), BaseRevision: r.Msg.GetBaseRevision(), Text: r.Msg.GetDocument(),
		},
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err := result.Err(); err != nil {
		return nil, connect.NewError(resultCode(result.Code), err)
	}
	if err := checkSameDocument(r.Msg.GetRequestId(), result, docs.Digest(r.Msg.GetDocument())); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peer.ApplyResponse{Revision: result.Revision, Digest: result.Digest}), nil
}

// Status returns the state of the fleet: the leader's replicated state and the endpoints that this process holds.
func (s *Operator) Status(ctx context.Context, _ *connect.Request[peer.StatusRequest]) (*connect.Response[peer.StatusResponse], error) {
	st, err := s.Control.State(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &peer.StatusResponse{
		Environment: st.GetEnvironment(), Revision: st.GetRevision(), Digest: st.GetDigest(), Leader: st.GetLeader(),
	}
	for _, e := range st.GetEntries() {
		response.Entries = append(response.Entries, &peer.EntryStatus{
			Name: e.GetName(), Revision: e.GetRevision(), RenewedMs: e.GetRenewedMs(),
		})
	}
	if st.GetRevision() == 0 {
		return connect.NewResponse(response), nil
	}
	if response.Services, err = s.services(ctx, st.GetDocument()); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(response), nil
}

// services returns the services of a document with the endpoints that are not leaving.
func (s *Operator) services(ctx context.Context, document []byte) ([]*peer.ServiceStatus, error) {
	environment, err := docs.Parse("document", document)
	if err != nil {
		return nil, err
	}
	var endpoints []fleet.Endpoint
	if s.Agent != nil {
		if endpoints, err = s.Agent.Endpoints(ctx); err != nil {
			return nil, errors.Wrap(err, "read endpoints")
		}
	}
	services := make([]*peer.ServiceStatus, 0, len(environment.Services))
	for _, sv := range environment.Services {
		status := &peer.ServiceStatus{Name: string(sv.Name), Pool: string(sv.Pool)}
		for _, e := range endpoints {
			if e.Service == status.GetName() && !e.Leaving {
				status.Endpoints = append(status.Endpoints, &peer.EndpointStatus{
					Name: e.Name, Address: e.Address, Vm: e.VM, Slots: uint32(max(e.Slots, 0)),
				})
			}
		}
		services = append(services, status)
	}
	return services, nil
}

func resultCode(c record.Code) connect.Code {
	switch c {
	case record.CodeConflict:
		return connect.CodeAborted
	case record.CodeNotFound:
		return connect.CodeNotFound
	default:
		return connect.CodeInvalidArgument
	}
}
