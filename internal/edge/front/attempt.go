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

// attemptsMost is how often one request is sent at the most.
const attemptsMost = 3

// run sends the request, again where that is safe and the budget allows it, until it has an answer.
func (f *Front) run(ctx context.Context, c *call) *refusal {
	var tried []fleet.Endpoint
	var last *refusal
	for {
		ticket, err := f.options.Dispatcher.Acquire(ctx, route.Request{
			Service: c.service, Team: c.r.Header.Get(HeaderTeam), Class: c.r.Header.Get(HeaderClass), Deadline: c.deadline, Tried: tried,
		})
		if err != nil && last != nil {
			return last
		}
		if err != nil {
			return notAdmitted(err)
		}
		refused := f.attempt(ctx, c, ticket)
		if refused == nil || c.aborted {
			return nil
		}
		if last != nil && last.outcome == fleet.OutcomeUnknown {
			// An earlier attempt may have run, whatever came of this one.
			refused.outcome, refused.sent = fleet.OutcomeUnknown, true
		}
		last = refused
		tried = append(tried, ticket.Endpoint)
		if !c.mayRetry(refused) || len(tried) >= attemptsMost || ctx.Err() != nil || !f.retries.Take(c.service) {
			return last
		}
		c.retries++
	}
}

// mayRetry says whether the request may be sent once more.
func (c *call) mayRetry(r *refusal) bool {
	if c.stream != nil || r.final {
		return false
	}
	return c.idempotent() || !r.sent
}

// attempt sends the request to one endpoint and passes its answer on.
func (f *Front) attempt(ctx context.Context, c *call, ticket route.Ticket) *refusal {
	sent := f.options.Clock.Now()
	result := route.Result{Outcome: fleet.OutcomeUnknown}
	defer func() {
		result.Elapsed = f.options.Clock.Now().Sub(sent)
		result.Aborted = c.aborted || errors.Is(ctx.Err(), context.Canceled)
		c.endpoint += result.Elapsed
		f.options.Dispatcher.Release(ticket, result)
	}()
	if ticket.Most > 0 {
		limited, cancel := context.WithTimeout(ctx, ticket.Most)
		defer cancel()
		ctx = limited
	}
	answer := f.options.Relay.Send(ctx, ticket.Endpoint, f.attemptOf(c, ticket.Endpoint))
	result.Outcome = answer.Outcome
	result.Declined = errors.Is(answer.Err, relay.ErrDeclined)
	if answer.Outcome != fleet.OutcomeNotRun {
		c.mayHaveRun = true
	}
	if c.mayHaveRun || result.Declined {
		c.sendings++
	}
	check.That(c.sendings <= 1 || c.idempotent(), "non_idempotent_request_is_sent_once",
		zap.String("request", c.request), zap.Int("sendings", c.sendings))
	if answer.Outcome != fleet.OutcomeAnswered {
		return notAnswered(answer)
	}
	result.Status = answer.Response.StatusCode
	refused := f.deliver(c, answer.Response)
	if refused != nil || c.aborted {
		result.Outcome = fleet.OutcomeUnknown
	}
	return refused
}

// notAnswered returns the refusal of a request whose attempt gave no answer.
func notAnswered(a relay.Answer) *refusal {
	r := &refusal{status: http.StatusBadGateway, outcome: a.Outcome, code: codeNoAnswer, message: a.Err.Error(), sent: true}
	switch {
	case errors.Is(a.Err, relay.ErrNotPermitted):
		return &refusal{
			status: http.StatusServiceUnavailable, outcome: a.Outcome, code: codeNoLease, message: "this entry may no longer send to the endpoint", retry: true,
		}
	case errors.Is(a.Err, relay.ErrDeclined):
		r.status, r.code, r.retry = http.StatusServiceUnavailable, codeDeclined, true
	case a.Outcome == fleet.OutcomeNotRun:
		r.status, r.code, r.retry, r.sent = http.StatusServiceUnavailable, codeNotReached, true, false
	case errors.Is(a.Err, context.DeadlineExceeded):
		r.status, r.code = http.StatusGatewayTimeout, codeTimeout
	case errors.Is(a.Err, relay.ErrUnbounded), errors.Is(a.Err, relay.ErrTooLong), errors.Is(a.Err, relay.ErrCrossed):
		r.code = codeBadAnswer
	}
	return r
}

// attemptOf returns the attempt that passes the caller's request on, with an identity of its own.
func (f *Front) attemptOf(c *call, e fleet.Endpoint) relay.Attempt {
	u := c.r.URL
	a := relay.Attempt{
		ID: f.ids.next(), Method: c.r.Method, RawQuery: u.RawQuery, Permit: func() bool { return f.permit(e) }, Length: c.length,
		Path: behind(u.Path, c.service), RawPath: behind(u.RawPath, c.service),
		Header: make(http.Header, len(c.r.Header)+4),
	}
	copyHeader(a.Header, c.r.Header)
	a.Header[HeaderRequest] = []string{c.request}
	a.Header[HeaderDeadline] = []string{strconv.FormatInt(max(1, f.remaining(c).Milliseconds()), 10)}
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
