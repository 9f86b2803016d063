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
	// claimsWaiting is the most claims of one entry that wait for a quorum; beyond it requests are refused at once.
	claimsWaiting = 256
	// claimTimeout bounds the wait for one claim.
	claimTimeout = 1500 * time.Millisecond
)

// answerOnce serves a request with a key: it is sent only under a claim that a quorum has committed.
func (f *Front) answerOnce(ctx context.Context, c *call) *refusal {
	if c.stream != nil {
		return &refusal{
			status: http.StatusRequestEntityTooLarge, outcome: fleet.OutcomeNotRun, code: codeBodyTooLong,
			message: "the body of a request with a key may hold 256 KiB at the most",
		}
	}
	request := claim.Request{
		Service: c.service, Team: c.r.Header.Get(HeaderTeam), Key: c.key, Method: c.r.Method, Target: c.r.URL.RequestURI(), Body: c.body,
	}
	name, digest := request.Name(), request.Digest()
	for {
		began, done := f.options.Memory.Begin(name, digest)
		if began {
			break
		}
		recall, _ := f.options.Memory.Recall(name, digest)
		if recall.State == claim.StateRunning {
			select {
			case <-done:
				continue
			case <-ctx.Done():
			}
		}
		if recall.State != claim.StateAbsent {
			return f.answerRecalled(c, recall)
		}
	}
	recall := claim.Recall{State: claim.StateAbsent}
	defer func() { f.options.Memory.End(name, recall) }()
	opening := record.ClaimChange{
		Key: name, Entry: f.options.Name, Attempt: f.ids.next(), Issued: c.issued, Step: record.ClaimOpen, Digest: digest,
	}
	result, refused := f.open(ctx, c, opening)
	if refused != nil {
		return refused
	}
	switch claim.Decide(result) {
	case claim.StepSend:
		refused, recall = f.sendClaimed(ctx, c, opening)
		return refused
	case claim.StepRecall:
		return f.recallFirst(ctx, c, result, opening)
	case claim.StepUnknown:
		return mayHaveRun()
	case claim.StepDefer:
		return &refusal{
			status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeClaimsFull, message: result.Message, retry: true,
		}
	default:
		return refusedKey(c, result)
	}
}

// open commits a claim. Where that is not confirmed, nothing is sent, and the claim, which may still
// be committed, is set free.
func (f *Front) open(ctx context.Context, c *call, opening record.ClaimChange) (record.Result, *refusal) {
	select {
	case f.claiming <- struct{}{}:
	default:
		return record.Result{}, &refusal{
			status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeClaimsBusy,
			message: "too many claims wait for a quorum", retry: true,
		}
	}
	defer func() { <-f.claiming }()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	began := f.options.Clock.Now()
	result, err := f.options.Claims.Submit(ctx, record.Command{Claim: &opening})
	f.series.claim(f.options.Clock.Now().Sub(began), err == nil)
	if err != nil {
		f.releases.add(opening)
		return result, &refusal{
			status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeNoQuorum,
			message: "the claim was not confirmed: " + err.Error(), retry: true,
		}
	}
	// An expired or ill-formed key was refused before it was looked up.
	c.consulted = result.Code != record.CodeExpired && result.Code != record.CodeInvalid
	return result, nil
}

// sendClaimed sends a request whose claim is this entry's own, and tells what to remember of it.
// The sending goes on where the caller is lost: its resend gets the answer.
func (f *Front) sendClaimed(ctx context.Context, c *call, opening record.ClaimChange) (*refusal, claim.Recall) {
	check.That(c.consulted && c.stream == nil, "claim_is_committed_before_sending", zap.String("attempt", opening.Attempt))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.remaining(c))
	defer cancel()
	c.keep = true
	refused := f.run(ctx, c)
	switch {
	case refused != nil && refused.outcome == fleet.OutcomeNotRun:
		// Nothing was sent and nothing will be: the key can be tried again.
		f.releases.now(ctx, opening)
		return refused, claim.Recall{State: claim.StateAbsent}
	case refused == nil && c.isKept:
		return nil, claim.Recall{State: claim.StateAnswered, Answer: c.kept}
	default:
		return refused, claim.Recall{State: claim.StateUnknown}
	}
}

// recallFirst gets the first answer from the entry that holds the claim.
func (f *Front) recallFirst(ctx context.Context, c *call, held record.Result, opening record.ClaimChange) *refusal {
	if held.Entry == f.options.Name {
		// This entry remembers nothing of the claim: it is one from before its start, or was forgotten for room.
		return mayHaveRun()
	}
	recall, err := f.options.Others.Recall(ctx, held.Entry, opening.Key, opening.Digest)
	if err != nil {
		f.options.Logger.Debug("answer_not_recalled", zap.String("entry", held.Entry), zap.Error(err))
		return mayHaveRun()
	}
	return f.answerRecalled(c, recall)
}

func (f *Front) answerRecalled(c *call, r claim.Recall) *refusal {
	switch r.State {
	case claim.StateAnswered:
		f.replay(c, r.Answer)
		return nil
	case claim.StateMismatch:
		return keyReused()
	default:
		return mayHaveRun()
	}
}

func mayHaveRun() *refusal {
	return &refusal{
		status: http.StatusConflict, outcome: fleet.OutcomeUnknown, code: codeMayHaveRun,
		message: "an earlier copy of the request may have run; its answer is not known here", final: true,
	}
}

func keyReused() *refusal {
	return &refusal{status: http.StatusUnprocessableEntity, outcome: fleet.OutcomeNotRun, code: codeKeyReused, message: "the key stands for another request"}
}

func refusedKey(c *call, r record.Result) *refusal {
	switch r.Code {
	case record.CodeMismatch:
		return keyReused()
	case record.CodeExpired:
		return &refusal{status: http.StatusGone, outcome: fleet.OutcomeNotRun, code: codeKeyExpired, message: r.Message}
	default:
		c.consulted = false
		return &refusal{status: http.StatusBadRequest, outcome: fleet.OutcomeNotRun, code: codeBadKey, message: r.Message}
	}
}
