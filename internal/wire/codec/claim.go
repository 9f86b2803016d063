package codec

import (
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/peer"
)

// RecallToWire encodes a recall as a message.
func RecallToWire(r claim.Recall) *peer.RecallResponse {
	w := &peer.RecallResponse{State: uint32(r.State), Status: uint32(r.Answer.Status), Body: r.Answer.Body}
	for _, h := range r.Answer.Header {
		w.Headers = append(w.Headers, &peer.AnswerHeader{Name: h.Name, Values: h.Values})
	}
	return w
}

// RecallFromWire decodes a recall from a message.
func RecallFromWire(w *peer.RecallResponse) claim.Recall {
	r := claim.Recall{State: claim.State(w.GetState())}
	r.Answer.Status, r.Answer.Body = int(w.GetStatus()), w.GetBody()
	for _, h := range w.GetHeaders() {
		r.Answer.Header = append(r.Answer.Header, claim.Header{Name: h.GetName(), Values: h.GetValues()})
	}
	return r
}

func claimsToWire(c state.Claims) *peer.ClaimsState {
	w := &peer.ClaimsState{FloorNs: timeToWire(c.Floor)}
	for _, k := range c.List {
		w.Claims = append(w.Claims, &peer.ClaimState{
			Key: k.Key, Entry: k.Entry, Attempt: k.Attempt, IssuedNs: timeToWire(k.Issued), Step: uint32(k.Step), Digest: k.Digest,
		})
	}
	return w
}

func claimsFromWire(w *peer.ClaimsState) state.Claims {
	c := state.Claims{Floor: timeFromWire(w.GetFloorNs())}
	for _, k := range w.GetClaims() {
		c.List = append(c.List, state.Claim{
			Key: k.GetKey(), Entry: k.GetEntry(), Attempt: k.GetAttempt(), Issued: timeFromWire(k.GetIssuedNs()),
			Step: record.ClaimStep(k.GetStep()), Digest: k.GetDigest(),
		})
	}
	return c
}
