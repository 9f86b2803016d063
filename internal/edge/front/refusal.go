package front

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

// Codes of the refusals; they are part of the interface to callers and don't change.
const (
	codeNoLease     = "no_lease"
	codeNoService   = "no_service"
	codeBadDeadline = "bad_deadline"
	codeBadBody     = "bad_body"
	codeBodyTooLong = "body_too_long"
	codeBusy        = "busy"
	codeNoAnswer    = "no_answer"
	codeNotReached  = "not_reached"
	codeDeclined    = "declined"
	codeTimeout     = "timeout"
	codeBadAnswer   = "bad_answer"
	codeBadKey      = "bad_key"
	codeKeyExpired  = "key_expired"
	codeKeyReused   = "key_reused"
	codeClaimsBusy  = "claims_busy"
	codeClaimsFull  = "claims_full"
	codeNoQuorum    = "no_quorum"
	codeMayHaveRun  = "may_have_run"
)

// refusal is a response by the entry itself instead of an endpoint.
type refusal struct {
	status  int
	outcome fleet.Outcome
	code    string
	message string
	// safeRetry means that sending the request again is safe and may help.
	safeRetry bool
	// sent means that a byte of the request may have reached an endpoint.
	sent bool
	// final means that another attempt through this entry can't help.
	final bool
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome   string `json:"outcome"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	Request   string `json:"request"`
	Sent      bool   `json:"sent"`
	SafeRetry bool   `json:"safe_retry"`
}

// notAdmittedRefusal returns the refusal for a request that the dispatcher did not admit.
func notAdmittedRefusal(err error) *refusal {
	r := refusal{status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, safeRetry: true}
	var refused *route.Refusal
	if errors.As(err, &refused) {
		r.code, r.message = refused.Reason.String(), refused.Message
	} else {
		r.code, r.message = route.ReasonTooLate.String(), err.Error()
	}
	return &r
}

// writeRefusal writes a refusal. A request with a key may be a resend whose first copy ran through another entry,
// so it is not_run only if the claims were consulted, or if the caller asserts that this is the first sending.
func (f *Front) writeRefusal(c *call, r refusal) {
	if c.key != "" && !c.idempotent() {
		if r.outcome == fleet.OutcomeNotRun && !c.claimChecked && !c.firstSending {
			r.outcome = fleet.OutcomeUnknown
		}
		r.safeRetry = r.safeRetry || r.outcome == fleet.OutcomeUnknown
	}
	r.safeRetry = r.safeRetry || r.outcome == fleet.OutcomeUnknown && c.idempotent()
	check.That(r.outcome != fleet.OutcomeNotRun || !c.mayHaveRun, "not_run_did_not_run",
		zap.String("request", c.requestID), zap.String("code", r.code), zap.Int("sendings", c.sendCount))
	c.outcome, c.code = r.outcome, r.code
	header := c.w.Header()
	header.Set(HeaderOutcome, r.outcome.String())
	header.Set("Content-Type", "application/json")
	if c.key == "" && r.sent && !c.idempotent() {
		header.Set(HeaderSentOnce, "1")
	}
	c.w.WriteHeader(r.status)
	body := refusalBody{
		Outcome: r.outcome.String(), Code: r.code, Message: r.message, Request: c.requestID, Sent: r.sent, SafeRetry: r.safeRetry,
	}
	if err := json.NewEncoder(c.w).Encode(body); err != nil {
		f.options.Logger.Debug("refusal_not_written", zap.Error(err))
	}
}
