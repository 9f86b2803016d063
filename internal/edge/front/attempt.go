package front

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

// maxAttempts is the most times that one request is sent.
const maxAttempts = 3

// sendWithRetries sends the request until it has a response. It retries only where that is safe and the retry
// budget allows it, and returns the refusal of the last attempt.
func (f *Front) sendWithRetries(ctx context.Context, c *call) *refusal {
	var tried []fleet.Endpoint
	var lastRefusal *refusal
	for {
		ticket, err := f.options.Dispatcher.Acquire(ctx, route.Request{
			Service: c.service, Team: c.r.Header.Get(HeaderTeam), Class: c.r.Header.Get(HeaderClass), Deadline: c.deadline, Tried: tried,
		})
		if err != nil && lastRefusal != nil {
			return lastRefusal
		}
		if err != nil {
			return notAdmittedRefusal(err)
		}
		refused := f.sendAttempt(ctx, c, ticket)
		if refused == nil || c.aborted {
			return nil
		}
		if lastRefusal != nil && lastRefusal.outcome == fleet.OutcomeUnknown {
			// An earlier attempt may have run, whatever the outcome of this one.
			refused.outcome, refused.sent = fleet.OutcomeUnknown, true
		}
		lastRefusal = refused
		tried = append(tried, ticket.Endpoint)
		if !c.mayRetry(refused) || len(tried) >= maxAttempts || ctx.Err() != nil || !f.retries.Take(c.service) {
			return lastRefusal
		}
		c.retries++
	}
}

// mayRetry reports whether the request may be sent again after the refusal.
func (c *call) mayRetry(r *refusal) bool {
	if c.stream != nil || r.final {
		return false
	}
	return c.idempotent() || !r.sent
}

// sendAttempt sends the request to one endpoint and forwards the response, or returns a refusal. It releases the
// ticket.
func (f *Front) sendAttempt(ctx context.Context, c *call, ticket route.Ticket) *refusal {
	sent := f.options.Clock.Now()
	result := route.Result{Outcome: fleet.OutcomeUnknown}
	defer func() {
		result.Elapsed = f.options.Clock.Now().Sub(sent)
		result.Aborted = c.aborted || errors.Is(ctx.Err(), context.Canceled)
		c.endpointTime += result.Elapsed
		f.options.Dispatcher.Release(ticket, result)
	}()
	if ticket.Timeout > 0 {
		attemptCtx, cancel := context.WithTimeout(ctx, ticket.Timeout)
		defer cancel()
		ctx = attemptCtx
	}
	answer := f.options.Relay.Send(ctx, ticket.Endpoint, f.newAttempt(c, ticket.Endpoint))
	result.Outcome = answer.Outcome
	result.Declined = errors.Is(answer.Err, relay.ErrDeclined)
	if answer.Outcome != fleet.OutcomeNotRun {
		c.mayHaveRun = true
	}
	if c.mayHaveRun || result.Declined {
		c.sendCount++
	}
	check.That(c.sendCount <= 1 || c.idempotent(), "non_idempotent_request_is_sent_once",
		zap.String("request", c.requestID), zap.Int("sendings", c.sendCount))
	if answer.Outcome != fleet.OutcomeAnswered {
		return noAnswerRefusal(answer)
	}
	result.Status = answer.Response.StatusCode
	refused := f.forwardResponse(c, answer.Response)
	if refused != nil || c.aborted {
		result.Outcome = fleet.OutcomeUnknown
	}
	return refused
}

// noAnswerRefusal returns the refusal for an attempt that got no response.
func noAnswerRefusal(a relay.Answer) *refusal {
	r := &refusal{status: http.StatusBadGateway, outcome: a.Outcome, code: codeNoAnswer, message: a.Err.Error(), sent: true}
	switch {
	case errors.Is(a.Err, relay.ErrNotPermitted):
		return &refusal{
			status: http.StatusServiceUnavailable, outcome: a.Outcome, code: codeNoLease, message: "this entry may no longer send to the endpoint", safeRetry: true,
		}
	case errors.Is(a.Err, relay.ErrDeclined):
		r.status, r.code, r.safeRetry = http.StatusServiceUnavailable, codeDeclined, true
	case a.Outcome == fleet.OutcomeNotRun:
		r.status, r.code, r.safeRetry, r.sent = http.StatusServiceUnavailable, codeNotReached, true, false
	case errors.Is(a.Err, context.DeadlineExceeded):
		r.status, r.code = http.StatusGatewayTimeout, codeTimeout
	case errors.Is(a.Err, relay.ErrUnbounded), errors.Is(a.Err, relay.ErrTooLong), errors.Is(a.Err, relay.ErrHeaderTooLong),
		errors.Is(a.Err, relay.ErrWrongAttempt):
		r.code = codeBadAnswer
	}
	return r
}

// newAttempt returns an attempt with a new ID that forwards the caller's request to the endpoint.
func (f *Front) newAttempt(c *call, e fleet.Endpoint) relay.Attempt {
	u := c.r.URL
	a := relay.Attempt{
		ID: f.ids.next(), Method: c.r.Method, RawQuery: u.RawQuery, Permit: func() bool { return f.sendPermitted(e) }, Length: c.length,
		Path: pathAfterService(u.Path, c.service), RawPath: pathAfterService(u.RawPath, c.service),
		Header: make(http.Header, len(c.r.Header)+4),
	}
	copyHeader(a.Header, c.r.Header)
	a.Header[HeaderRequest] = []string{c.requestID}
	a.Header[HeaderDeadline] = []string{strconv.FormatInt(max(1, f.remainingTime(c).Milliseconds()), 10)}
	if c.key != "" {
		a.Header[relay.HeaderKey] = []string{c.key}
	}
	switch {
	case c.stream != nil:
		a.Body = c.stream
	case len(c.body) > 0:
		a.Body = bytes.NewReader(c.body)
	}
	return a
}
