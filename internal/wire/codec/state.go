package codec

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/peer"
)

// EncodeState encodes the state as a snapshot; equal states give equal bytes.
func (Codec) EncodeState(s *state.State) ([]byte, error) {
	w := &peer.State{
		Applied: s.Applied, TimeNs: timeToWire(s.Time),
		Environments: environmentsToWire(s),
		Vms:          vmsToWire(s.VMs),
		Requests:     requestsToWire(s.Requests),
		Plan:         planStateToWire(s),
		Claims:       claimsToWire(s.Claims),
		Batch:        batchStateToWire(&s.Batch),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(w)
	return data, errors.Wrap(err, "encode state")
}

// DecodeState decodes the state from a snapshot.
func (Codec) DecodeState(data []byte) (state.State, error) {
	var w peer.State
	if err := proto.Unmarshal(data, &w); err != nil {
		return state.State{}, errors.Wrap(err, "decode state")
	}
	s := state.State{
		Applied: w.GetApplied(), Time: timeFromWire(w.GetTimeNs()),
		VMs:      vmsFromWire(w.GetVms()),
		Requests: requestsFromWire(w.GetRequests()),
	}
	environmentsFromWire(w.GetEnvironments(), &s)
	planStateFromWire(w.GetPlan(), &s)
	s.Claims = claimsFromWire(w.GetClaims())
	s.Batch = batchStateFromWire(w.GetBatch())
	return s, nil
}

func environmentsToWire(s *state.State) *peer.Environments {
	w := &peer.Environments{Production: &peer.DocumentState{
		Environment: s.Document.Environment, Revision: s.Document.Revision,
		Digest: s.Document.Digest, Text: s.Document.Text,
	}}
	for _, t := range s.Trials {
		w.Trials = append(w.Trials, &peer.TrialState{
			Environment: t.Environment, BaseRevision: t.BaseRevision, Digest: t.Digest, Text: t.Text, TimeNs: timeToWire(t.Time),
		})
	}
	for _, r := range s.History {
		w.History = append(w.History, &peer.RevisionState{
			Revision: r.Revision, Digest: r.Digest, TimeNs: timeToWire(r.Time), RequestId: r.RequestID, Text: r.Text,
		})
	}
	return w
}

func environmentsFromWire(w *peer.Environments, s *state.State) {
	p := w.GetProduction()
	s.Document = state.Document{
		Environment: p.GetEnvironment(), Revision: p.GetRevision(), Digest: p.GetDigest(), Text: p.GetText(),
	}
	for _, t := range w.GetTrials() {
		s.Trials = append(s.Trials, state.Trial{
			Environment: t.GetEnvironment(), BaseRevision: t.GetBaseRevision(), Digest: t.GetDigest(),
			Text: t.GetText(), Time: timeFromWire(t.GetTimeNs()),
		})
	}
	for _, r := range w.GetHistory() {
		s.History = append(s.History, state.Revision{
			Revision: r.GetRevision(), Digest: r.GetDigest(), Time: timeFromWire(r.GetTimeNs()),
			RequestID: r.GetRequestId(), Text: r.GetText(),
		})
	}
}

func vmsToWire(vms map[string]fleet.VM) []*peer.VmState {
	wire := make([]*peer.VmState, 0, len(vms))
	for _, name := range slices.Sorted(maps.Keys(vms)) {
		wire = append(wire, VMToWire(vms[name]))
	}
	return wire
}

func vmsFromWire(wire []*peer.VmState) map[string]fleet.VM {
	vms := make(map[string]fleet.VM, len(wire))
	for _, w := range wire {
		vms[w.GetName()] = VMFromWire(w)
	}
	return vms
}

func requestsToWire(requests []state.RequestResult) []*peer.KeptRequest {
	wire := make([]*peer.KeptRequest, 0, len(requests))
	for _, r := range requests {
		wire = append(wire, &peer.KeptRequest{Id: r.ID, Result: ResultToWire(r.Result)})
	}
	return wire
}

func requestsFromWire(wire []*peer.KeptRequest) []state.RequestResult {
	requests := make([]state.RequestResult, 0, len(wire))
	for _, w := range wire {
		requests = append(requests, state.RequestResult{ID: w.GetId(), Result: ResultFromWire(w.GetResult())})
	}
	return requests
}
