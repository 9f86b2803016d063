package state

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/model/record"
)

const (
	// ClaimWindow is how long after its issue a key may be used.
	ClaimWindow = 10 * time.Minute
	// ClaimAhead is how far ahead of the state's time a key may have been issued.
	ClaimAhead = time.Minute
	// ClaimLimit bounds the claims that are kept.
	ClaimLimit = 131072
	// claimFieldBytes bounds each text of a claim.
	claimFieldBytes = 128
)

// Claim is the right of one attempt of one entry to send the request that a key stands for.
type Claim struct {
	// Key names the request: its service, its team and the caller's key.
	Key string
	// Entry is the entry that sends the request.
	Entry string
	// Attempt is the identity of the sending.
	Attempt string
	// Issued is when the caller made the key.
	Issued time.Time
	// Step is how far the claim has come.
	Step record.ClaimStep
	// Digest is the digest of the request.
	Digest string
}

// Claims are the claims that are kept, in the order of their first opening.
type Claims struct {
	// Floor is the time up to which issued keys are refused; it only rises.
	Floor time.Time
	// Kept are the claims.
	Kept []Claim
}

// claimIndex finds claims by key; positions count from the first claim ever kept.
type claimIndex struct {
	first    int
	position map[string]int
}

func newClaimIndex(kept []Claim) claimIndex {
	x := claimIndex{position: make(map[string]int, len(kept))}
	for i, c := range kept {
		x.position[c.Key] = i
	}
	return x
}

// applyClaim opens or settles a claim.
func (m *Machine) applyClaim(c record.ClaimChange) record.Result {
	m.expireClaims()
	if !wellFormed(c) {
		return record.Result{Code: record.CodeInvalid, Message: "a text of the claim is empty or too long, or its step is not known"}
	}
	if !c.Issued.After(m.state.Claims.Floor) {
		return record.Result{Code: record.CodeExpired, Message: fmt.Sprintf("keys are good for %s after their issue", ClaimWindow)}
	}
	if c.Issued.After(m.state.Time.Add(ClaimAhead)) {
		return record.Result{Code: record.CodeInvalid, Message: "the key's time of issue is in the future"}
	}
	held := m.findClaim(c.Key)
	switch {
	case held == nil:
		return m.newClaim(c)
	case held.Digest != c.Digest || !held.Issued.Equal(c.Issued):
		return record.Result{Code: record.CodeMismatch, Message: "the key stands for another request", Entry: held.Entry, Step: held.Step}
	case c.Step == record.ClaimOpen:
		return openClaim(held, c)
	default:
		return settleClaim(held, c)
	}
}

// newClaim keeps the claim of a key that is not known.
func (m *Machine) newClaim(c record.ClaimChange) record.Result {
	// A key may be set free before its opening arrives: the mark left here refuses that opening.
	if c.Step != record.ClaimOpen && c.Step != record.ClaimNotRun {
		return record.Result{Code: record.CodeNotFound, Message: "no claim holds the key"}
	}
	if len(m.state.Claims.Kept) >= ClaimLimit {
		return record.Result{Code: record.CodeFull, Message: fmt.Sprintf("%d claims are kept already", ClaimLimit)}
	}
	m.claims.position[c.Key] = m.claims.first + len(m.state.Claims.Kept)
	m.state.Claims.Kept = append(m.state.Claims.Kept, Claim{
		Key: c.Key, Entry: c.Entry, Attempt: c.Attempt, Issued: c.Issued, Step: c.Step, Digest: c.Digest,
	})
	return claimResult(record.CodeOK, c.Entry, c.Step)
}

// openClaim gives a key to an attempt where it is free, or has it already.
func openClaim(held *Claim, c record.ClaimChange) record.Result {
	own := held.Entry == c.Entry && held.Attempt == c.Attempt
	switch {
	case own && held.Step == record.ClaimOpen:
		return claimResult(record.CodeOK, held.Entry, held.Step)
	case !own && held.Step == record.ClaimNotRun:
		held.Entry, held.Attempt, held.Step = c.Entry, c.Attempt, record.ClaimOpen
		return claimResult(record.CodeOK, held.Entry, held.Step)
	default:
		return claimResult(record.CodeTaken, held.Entry, held.Step)
	}
}

// settleClaim ends an open claim; only the attempt that holds it does.
func settleClaim(held *Claim, c record.ClaimChange) record.Result {
	own := held.Entry == c.Entry && held.Attempt == c.Attempt
	if !own || (held.Step != record.ClaimOpen && held.Step != c.Step) {
		return claimResult(record.CodeTaken, held.Entry, held.Step)
	}
	held.Step = c.Step
	return claimResult(record.CodeOK, held.Entry, held.Step)
}

// expireClaims raises the floor and drops claims whose keys it refuses.
func (m *Machine) expireClaims() {
	claims := &m.state.Claims
	if floor := m.state.Time.Add(-ClaimWindow); floor.After(claims.Floor) {
		claims.Floor = floor
	}
	expired := 0
	for expired < len(claims.Kept) && !claims.Kept[expired].Issued.After(claims.Floor) {
		delete(m.claims.position, claims.Kept[expired].Key)
		expired++
	}
	claims.Kept = claims.Kept[expired:]
	m.claims.first += expired
}

func (m *Machine) findClaim(key string) *Claim {
	position, ok := m.claims.position[key]
	if !ok {
		return nil
	}
	held := &m.state.Claims.Kept[position-m.claims.first]
	check.That(held.Key == key, "claim_is_found_by_its_key", zap.String("key", key), zap.String("found", held.Key))
	return held
}

func wellFormed(c record.ClaimChange) bool {
	for _, text := range []string{c.Key, c.Entry, c.Attempt, c.Digest} {
		if text == "" || len(text) > claimFieldBytes {
			return false
		}
	}
	return c.Step >= record.ClaimOpen && c.Step <= record.ClaimUnknown
}

func claimResult(code record.Code, entry string, step record.ClaimStep) record.Result {
	r := record.Result{Code: code, Entry: entry, Step: step}
	if code == record.CodeTaken {
		r.Message = "the key is held by another attempt: " + step.String()
	}
	return r
}
