package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/fleet"
)

// HeaderAttempt carries the identity of an attempt; the endpoint echoes it.
const HeaderAttempt = "Cowslip-Attempt"

const (
	idleTimeout = 30 * time.Second
	// answerHeadBytes is the most header bytes taken from an endpoint.
	answerHeadBytes = 64 << 10
	// connectionsPerEndpoint is below an endpoint's 64 for each entry of a fleet.
	connectionsPerEndpoint = 5
)

// ErrCrossed says that an answer carried another attempt's identity.
var ErrCrossed = errors.New("the answer belongs to another attempt")

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	// ID is the attempt's identity.
	ID string
	// Method is the HTTP method.
	Method string
	// Path is the path and query behind the service's name, starting with a slash.
	Path string
	// Header holds the headers to pass on.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Answer is what came of an attempt.
type Answer struct {
	// Outcome is answered, not_run or unknown.
	Outcome fleet.Outcome
	// Response is the endpoint's answer where the outcome is answered; its body must be closed.
	Response *http.Response
	// Err tells why there is no answer.
	Err error
}

// Relay sends attempts to endpoints; it is safe for concurrent use.
type Relay struct {
	transport *http.Transport
}

// New returns a relay without connections.
func New() *Relay {
	return &Relay{transport: &http.Transport{
		MaxConnsPerHost:        connectionsPerEndpoint,
		MaxIdleConnsPerHost:    connectionsPerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: answerHeadBytes,
		DisableCompression:     true,
	}}
}

// Close ends idle connections.
func (r *Relay) Close() {
	r.transport.CloseIdleConnections()
}

// Send sends one attempt and returns what came of it; the transport never sends it a second time.
func (r *Relay) Send(ctx context.Context, e fleet.Endpoint, a Attempt) Answer {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), a.Method, "http://"+e.Address+a.Path, nil)
	if err != nil {
		return Answer{Outcome: fleet.OutcomeNotRun, Err: errors.Wrap(err, "make request")}
	}
	request.Header = a.Header.Clone()
	request.Header.Set(HeaderAttempt, a.ID)
	// A body without GetBody keeps the transport from sending again on its own.
	request.Body = io.NopCloser(bytes.NewReader(a.Body))
	request.ContentLength = int64(len(a.Body))
	response, err := r.transport.RoundTrip(request)
	if err != nil {
		return Answer{Outcome: unsentOutcome(written.Load()), Err: errors.Wrap(err, "send to endpoint")}
	}
	if response.Header.Get(HeaderAttempt) != a.ID {
		return Answer{Outcome: fleet.OutcomeUnknown, Err: errors.CombineErrors(ErrCrossed, response.Body.Close())}
	}
	return Answer{Outcome: fleet.OutcomeAnswered, Response: response}
}

func unsentOutcome(written bool) fleet.Outcome {
	if written {
		return fleet.OutcomeUnknown
	}
	return fleet.OutcomeNotRun
}
