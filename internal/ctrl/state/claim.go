package state

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/model/record"
)

const (
	// ClaimWindow is how long after its issue an idempotency key may be used.
	ClaimWindow = 10 * time.Minute
	// MaxClaimSkew is how far a key's time of issue may lie ahead of the state's time.
	MaxClaimSkew = time.Minute
	// MaxClaims bounds the number of claims that are kept.
	MaxClaims = 131072
	// maxClaimFieldBytes bounds the length of each text field of a claim.
	maxClaimFieldBytes = 128
)

// Claim reserves an idempotency key for one attempt: only that attempt of that entry may send the key's request.
type Claim struct {
	// Key identifies the request: its service, its team and the caller's key.
	Key string
	// Entry is the entry that sends the request.
	Entry string
	// Attempt identifies the entry's attempt to send the request.
	Attempt string
	// Issued is when the caller made the key.
	Issued time.Time
	// Step is whether the claim is open, or how the request ended.
	Step record.ClaimStep
	// Digest is the digest of the request, by which another request under the same key is refused.
	Digest string
}

// Claims holds the claims of recent keys; MaxClaims bounds them.
type Claims struct {
	// Floor is the time of issue up to which keys are refused; it never decreases.
	Floor time.Time
	// List are the claims, in the order in which their keys were first seen.
	List []Claim
}

// claimIndex finds claims by key. Positions count all claims since the index was built, also those that were dropped: a
// claim is at its position minus dropped in Claims.List.
type claimIndex struct {
	dropped   int
	positions map[string]int
}

func newClaimIndex(kept []Claim) claimIndex {
	x := claimIndex{positions: make(map[string]int, len(kept))}
	for i, c := range kept {
		x.positions[c.Key] = i
	}
	return x
}

// applyClaim opens or settles a claim, after dropping the expired ones.
func (m *Machine) applyClaim(c record.ClaimChange) record.Result {
	m.expireClaims()
	if !validClaim(c) {
		return record.Result{Code: record.CodeInvalid, Message: "a text of the claim is empty or too long, or its step is not known"}
	}
	if !c.Issued.After(m.state.Claims.Floor) {
		return record.Result{Code: record.CodeExpired, Message: fmt.Sprintf("keys are good for %s after their issue", ClaimWindow)}
	}
	if c.Issued.After(m.state.Time.Add(MaxClaimSkew)) {
		return record.Result{Code: record.CodeInvalid, Message: "the key's time of issue is in the future"}
	}
	held := m.findClaim(c.Key)
	switch {
	case held == nil:
		return m.addClaim(c)
	case held.Digest != c.Digest || !held.Issued.Equal(c.Issued):
		return record.Result{Code: record.CodeMismatch, Message: "the key stands for another request", Entry: held.Entry, Step: held.Step}
	case c.Step == record.ClaimOpen:
		return openClaim(held, c)
	default:
		return settleClaim(held, c)
	}
}

// addClaim adds a claim for a key that is not known.
func (m *Machine) addClaim(c record.ClaimChange) record.Result {
	// A release may be applied before the opening that it belongs to. Its claim is kept, so that the late opening is
	// refused.
	if c.Step != record.ClaimOpen && c.Step != record.ClaimNotRun {
		return record.Result{Code: record.CodeNotFound, Message: "no claim holds the key"}
	}
	if len(m.state.Claims.List) >= MaxClaims {
		return record.Result{Code: record.CodeFull, Message: fmt.Sprintf("%d claims are kept already", MaxClaims)}
	}
	m.claims.positions[c.Key] = m.claims.dropped + len(m.state.Claims.List)
	m.state.Claims.List = append(m.state.Claims.List, Claim{
		Key: c.Key, Entry: c.Entry, Attempt: c.Attempt, Issued: c.Issued, Step: c.Step, Digest: c.Digest,
	})
	return claimResult(record.CodeOK, c.Entry, c.Step)
}

// openClaim gives a released key to another attempt. It also succeeds if the attempt holds the key already.
func openClaim(held *Claim, c record.ClaimChange) record.Result {
	own := held.Entry == c.Entry && held.Attempt == c.Attempt
	switch {
	case own && held.Step == record.ClaimOpen:
		return claimResult(record.CodeOK, held.Entry, held.Step)
	case !own && held.Step == record.ClaimNotRun:
		held.Entry, held.Attempt, held.Step = c.Entry, c.Attempt, record.ClaimOpen
		return claimResult(record.CodeOK, held.Entry, held.Step)
	default:
		return claimResult(record.CodeKeyTaken, held.Entry, held.Step)
	}
}

// settleClaim ends an open claim; only the attempt that holds the key may do so.
func settleClaim(held *Claim, c record.ClaimChange) record.Result {
	own := held.Entry == c.Entry && held.Attempt == c.Attempt
	if !own || (held.Step != record.ClaimOpen && held.Step != c.Step) {
		return claimResult(record.CodeKeyTaken, held.Entry, held.Step)
	}
	held.Step = c.Step
	return claimResult(record.CodeOK, held.Entry, held.Step)
}

// expireClaims raises the floor with the state's time. It drops claims in order of opening, up to the first whose key
// is still accepted.
func (m *Machine) expireClaims() {
	claims := &m.state.Claims
	if floor := m.state.Time.Add(-ClaimWindow); floor.After(claims.Floor) {
		claims.Floor = floor
	}
	expired := 0
	for expired < len(claims.List) && !claims.List[expired].Issued.After(claims.Floor) {
		delete(m.claims.positions, claims.List[expired].Key)
		expired++
	}
	claims.List = claims.List[expired:]
	m.claims.dropped += expired
}

func (m *Machine) findClaim(key string) *Claim {
	position, ok := m.claims.positions[key]
	if !ok {
		return nil
	}
	held := &m.state.Claims.List[position-m.claims.dropped]
	check.That(held.Key == key, "claim_is_found_by_its_key", zap.String("key", key), zap.String("found", held.Key))
	return held
}

// validClaim reports whether each text field of c has a valid length and its step is known.
func validClaim(c record.ClaimChange) bool {
	for _, text := range []string{c.Key, c.Entry, c.Attempt, c.Digest} {
		if text == "" || len(text) > maxClaimFieldBytes {
			return false
		}
	}
	return c.Step >= record.ClaimOpen && c.Step <= record.ClaimUnknown
}

func claimResult(code record.Code, entry string, step record.ClaimStep) record.Result {
	r := record.Result{Code: code, Entry: entry, Step: step}
	if code == record.CodeKeyTaken {
		r.Message = "the key is held by another attempt: " + step.String()
	}
	return r
}
