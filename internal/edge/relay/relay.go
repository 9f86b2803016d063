package relay

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/fleet"
)

const (
	idleTimeout = 30 * time.Second
	// connectTimeout is short enough to leave time for another endpoint.
	connectTimeout = time.Second
	keepAlive      = 5 * time.Second
	// maxHeaderBytes limits the headers of an endpoint's response.
	maxHeaderBytes = 64 << 10
)

// Dialer opens connections to endpoints.
type Dialer interface {
	// DialContext opens a connection to an address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options configures a Relay.
type Options struct {
	// Connections is the maximum number of connections to one endpoint; 0 means no limit.
	Connections int
	// Dialer opens the connections; nil means a net.Dialer.
	Dialer Dialer
}

// Relay sends attempts to endpoints; it is safe for concurrent use.
type Relay struct {
	transport *http.Transport
}

// New returns a relay with an empty connection pool.
func New(o Options) *Relay {
	dialer := o.Dialer
	if dialer == nil {
		dialer = &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAlive}
	}
	return &Relay{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(c), nil
		},
		MaxConnsPerHost:        o.Connections,
		MaxIdleConnsPerHost:    o.Connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}
}

// Close closes idle connections.
func (r *Relay) Close() {
	r.transport.CloseIdleConnections()
}

// Send sends one attempt and returns its outcome; the transport never retries it.
func (r *Relay) Send(ctx context.Context, e fleet.Endpoint, a Attempt) Answer {
	s := &sendState{permit: a.Permit}
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok && used == nil {
			used = c
			c.attach(s)
		} else if ok {
			// A second connection for one attempt would be a hidden retry.
			retried := &sendState{}
			retried.abort()
			c.attach(retried)
		}
	}}
	response, err := r.transport.RoundTrip(newRequest(httptrace.WithClientTrace(ctx, trace), e, a)) //nolint:bodyclose // checkResponse and its caller close it
	if err != nil {
		return failure(ctx, s, errors.Wrap(err, "send to endpoint"))
	}
	return checkResponse(a, response, s, used)
}

// failure returns the outcome of an attempt without a response: not_run if no byte was written, which also prevents
// any later write, and unknown otherwise. err is whichever error the transport noticed first, such as that of reading from
// a connection which was closed for another reason; a reason that is known here goes before it.
func failure(ctx context.Context, s *sendState, err error) Answer {
	outcome := fleet.OutcomeUnknown
	if s.abort() {
		outcome = fleet.OutcomeNotRun
	}
	switch ended := ctx.Err(); {
	case s.notPermitted():
		err = errors.WithSecondaryError(ErrNotPermitted, err)
	case s.scan.unfinishedHeaderBytes() >= maxHeaderBytes:
		err = errors.WithSecondaryError(ErrHeaderTooLong, err)
	case ended != nil:
		err = errors.WithSecondaryError(errors.Wrap(ended, "send to endpoint"), err)
	}
	return Answer{Outcome: outcome, Err: err}
}

// checkResponse accepts a response that carries the attempt's ID and whose end can be detected.
func checkResponse(a Attempt, response *http.Response, s *sendState, used *conn) Answer {
	drop := func(outcome fleet.Outcome, err error) Answer {
		// The connection may already be back in the pool, so it is closed too.
		return Answer{Outcome: outcome, Err: errors.CombineErrors(err, errors.CombineErrors(response.Body.Close(), used.Close()))}
	}
	if response.Header.Get(HeaderAttempt) != a.ID {
		return drop(fleet.OutcomeUnknown, ErrWrongAttempt)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderDeclined) == "1" {
		return drop(fleet.OutcomeNotRun, ErrDeclined)
	}
	declared := declaredLength(a.Method, response)
	if isUnbounded(declared, response) {
		return drop(fleet.OutcomeUnknown, ErrUnbounded)
	}
	if declared != unknownLength && s.scan.bodyBytes() > declared {
		return drop(fleet.OutcomeUnknown, ErrTooLong)
	}
	response.Body = &body{ReadCloser: response.Body, scan: &s.scan, declared: declared, conn: used}
	return Answer{Outcome: fleet.OutcomeAnswered, Response: response}
}

// newRequest returns a request that the transport can't retry on its own, since it has a body without GetBody.
func newRequest(ctx context.Context, e fleet.Endpoint, a Attempt) *http.Request {
	header := maps.Clone(a.Header)
	if header == nil {
		header = http.Header{}
	}
	header[HeaderAttempt] = []string{a.ID}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	request := &http.Request{
		Method: a.Method, Host: e.Address, Header: header, ContentLength: a.Length,
		URL: &url.URL{Scheme: "http", Host: e.Address, Path: a.Path, RawPath: a.RawPath, RawQuery: a.RawQuery},
	}
	if a.Body == nil {
		// An empty body of unknown length and identity encoding sends neither a length header nor any bytes.
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(nil)), unknownLength
		request.TransferEncoding = []string{"identity"}
	} else {
		request.Body = io.NopCloser(a.Body)
	}
	return request.WithContext(ctx)
}
