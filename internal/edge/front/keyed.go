package front

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

const (
	// maxPendingClaims is the most claims of one entry that wait for a quorum; further requests are refused at
	// once.
	maxPendingClaims = 256
	// claimTimeout limits the wait for one claim.
	claimTimeout = 1500 * time.Millisecond
)

// handleKeyed serves a request with an idempotency key. It is sent only under a claim that a quorum has committed.
func (f *Front) handleKeyed(ctx context.Context, c *call) *refusal {
	if c.stream != nil {
		return keyedBodyTooLongRefusal()
	}
	request := claim.Request{
		Service: c.service, Team: c.r.Header.Get(HeaderTeam), Key: c.key, Method: c.r.Method, Target: c.r.URL.RequestURI(), Body: c.body,
	}
	name, digest := request.Name(), request.Digest()
	recall := f.beginKey(ctx, name, digest)
	if recall.State != claim.StateAbsent {
		return f.replayRecalled(c, recall)
	}
	defer func() { f.options.Cache.End(name, recall) }()
	opening := record.ClaimChange{
		Key: name, Entry: f.options.Name, Attempt: f.ids.next(), Issued: c.issued, Step: record.ClaimOpen, Digest: digest,
	}
	result, refused := f.openClaim(ctx, c, opening)
	if refused != nil {
		return refused
	}
	if claim.Decide(result) == claim.StepSend {
		refused, recall = f.sendUnderClaim(ctx, c, opening)
		return refused
	}
	return f.handleUnclaimed(ctx, c, result, opening)
}

// beginKey marks a key as in progress at this entry and returns StateAbsent; the caller must end it in the cache. If the
// cache knows of an earlier request with the key, beginKey waits for its end and returns its result; it returns
// StateRunning if the context is done first.
func (f *Front) beginKey(ctx context.Context, name, digest string) claim.Recall {
	for {
		began, done := f.options.Cache.Begin(name, digest)
		if began {
			return claim.Recall{State: claim.StateAbsent}
		}
		recall, _ := f.options.Cache.Recall(name, digest)
		if recall.State == claim.StateRunning {
			select {
			case <-done:
				continue
			case <-ctx.Done():
			}
		}
		if recall.State != claim.StateAbsent {
			return recall
		}
	}
}

// handleUnclaimed serves a request whose claim was not granted: the key is already claimed, or the claim was refused.
func (f *Front) handleUnclaimed(ctx context.Context, c *call, result record.Result, opening record.ClaimChange) *refusal {
	switch claim.Decide(result) {
	case claim.StepRecall:
		return f.recallFromHolder(ctx, c, result, opening)
	case claim.StepUnknown:
		return mayHaveRunRefusal()
	case claim.StepDefer:
		return claimsFullRefusal(result)
	default:
		return claimRefusal(c, result)
	}
}

// openClaim commits a claim. Without a confirmation nothing is sent, and the claim is released, since it may still
// be committed.
func (f *Front) openClaim(ctx context.Context, c *call, opening record.ClaimChange) (record.Result, *refusal) {
	select {
	case f.pendingClaims <- struct{}{}:
	default:
		return record.Result{}, &refusal{
			status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeClaimsBusy,
			message: "too many claims wait for a quorum", safeRetry: true,
		}
	}
	defer func() { <-f.pendingClaims }()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	started := f.options.Clock.Now()
	result, err := f.options.Claims.Submit(ctx, record.Command{Claim: &opening})
	f.metrics.observeClaim(f.options.Clock.Now().Sub(started), err == nil)
	if err != nil {
		f.releaser.enqueue(opening)
		return result, &refusal{
			status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeNoQuorum,
			message: "the claim was not confirmed: " + err.Error(), safeRetry: true,
		}
	}
	// Expired and malformed keys are refused before the lookup.
	c.claimChecked = result.Code != record.CodeExpired && result.Code != record.CodeInvalid
	return result, nil
}

// sendUnderClaim sends a request under this entry's own claim, and returns what to remember of it. It goes on when
// the caller disconnects, because a resend of the request gets the response.
func (f *Front) sendUnderClaim(ctx context.Context, c *call, opening record.ClaimChange) (*refusal, claim.Recall) {
	check.That(c.claimChecked && c.stream == nil, "claim_is_committed_before_sending", zap.String("attempt", opening.Attempt))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.remainingTime(c))
	defer cancel()
	c.keepResponse = true
	refused := f.sendWithRetries(ctx, c)
	switch {
	case refused != nil && refused.outcome == fleet.OutcomeNotRun:
		// Nothing was sent and nothing will be: the key may be used again.
		f.releaser.releaseOrEnqueue(ctx, opening)
		return refused, claim.Recall{State: claim.StateAbsent}
	case refused == nil && c.hasKept:
		return nil, claim.Recall{State: claim.StateAnswered, Answer: c.kept}
	default:
		return refused, claim.Recall{State: claim.StateUnknown}
	}
}

// recallFromHolder replays the first response from the entry that holds the claim.
func (f *Front) recallFromHolder(ctx context.Context, c *call, existing record.Result, opening record.ClaimChange) *refusal {
	if existing.Entry == f.options.Name {
		// This entry holds the claim but knows nothing of it: the claim is from before its start, or was evicted
		// from the cache.
		return mayHaveRunRefusal()
	}
	recall, err := f.options.Peers.Recall(ctx, existing.Entry, opening.Key, opening.Digest)
	if err != nil {
		f.options.Logger.Debug("answer_not_recalled", zap.String("entry", existing.Entry), zap.Error(err))
		return mayHaveRunRefusal()
	}
	return f.replayRecalled(c, recall)
}

func (f *Front) replayRecalled(c *call, r claim.Recall) *refusal {
	switch r.State {
	case claim.StateAnswered:
		f.replay(c, r.Answer)
		return nil
	case claim.StateMismatch:
		return keyReusedRefusal()
	default:
		return mayHaveRunRefusal()
	}
}

func keyedBodyTooLongRefusal() *refusal {
	return &refusal{
		status: http.StatusRequestEntityTooLarge, outcome: fleet.OutcomeNotRun, code: codeBodyTooLong,
		message: "the body of a request with a key may hold 256 KiB at the most",
	}
}

func claimsFullRefusal(r record.Result) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeClaimsFull, message: r.Message, safeRetry: true,
	}
}

func mayHaveRunRefusal() *refusal {
	return &refusal{
		status: http.StatusConflict, outcome: fleet.OutcomeUnknown, code: codeMayHaveRun,
		message: "an earlier copy of the request may have run; its answer is not known here", final: true,
	}
}

func keyReusedRefusal() *refusal {
	return &refusal{status: http.StatusUnprocessableEntity, outcome: fleet.OutcomeNotRun, code: codeKeyReused, message: "the key stands for another request"}
}

func claimRefusal(c *call, r record.Result) *refusal {
	switch r.Code {
	case record.CodeMismatch:
		return keyReusedRefusal()
	case record.CodeExpired:
		return &refusal{status: http.StatusGone, outcome: fleet.OutcomeNotRun, code: codeKeyExpired, message: r.Message}
	default:
		c.claimChecked = false
		return &refusal{status: http.StatusBadRequest, outcome: fleet.OutcomeNotRun, code: codeBadKey, message: r.Message}
	}
}
