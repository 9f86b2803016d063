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
	// connectTimeout leaves time to try another endpoint.
	connectTimeout = time.Second
	keepAlive      = 5 * time.Second
	// answerHeadBytes is the most header bytes taken from an endpoint.
	answerHeadBytes = 64 << 10
)

// Options says how a relay reaches endpoints.
type Options struct {
	// Connections is the most connections to one endpoint.
	Connections int
}

// Relay sends attempts to endpoints; it is safe for concurrent use.
type Relay struct {
	transport *http.Transport
}

// New returns a relay without connections.
func New(o Options) *Relay {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAlive}
	return &Relay{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxConnsPerHost:        o.Connections,
		MaxIdleConnsPerHost:    o.Connections,
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
	s := &sending{permit: a.Permit}
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok && used == nil {
			used = c
			c.attach(s)
		} else if ok {
			// A second connection for one attempt would be a hidden retry.
			c.attach(&sending{permit: never})
		}
	}}
	response, err := r.transport.RoundTrip(newRequest(httptrace.WithClientTrace(ctx, trace), e, a)) //nolint:bodyclose // judge and its caller close it
	if err != nil {
		return failure(s, errors.Wrap(err, "send to endpoint"))
	}
	return judge(a, response, s, used)
}

// failure tells what came of an attempt without an answer. From here on no first byte is written.
func failure(s *sending, err error) Answer {
	if s.close() {
		return Answer{Outcome: fleet.OutcomeNotRun, Err: err}
	}
	return Answer{Outcome: fleet.OutcomeUnknown, Err: err}
}

// judge says whether the response is the attempt's own and can be told whole.
func judge(a Attempt, response *http.Response, s *sending, used *conn) Answer {
	drop := func(outcome fleet.Outcome, err error) Answer {
		// The connection may already be free for another attempt: it is ended whatever its state.
		return Answer{Outcome: outcome, Err: errors.CombineErrors(err, errors.CombineErrors(response.Body.Close(), used.Close()))}
	}
	if response.Header.Get(HeaderAttempt) != a.ID {
		return drop(fleet.OutcomeUnknown, ErrCrossed)
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

// newRequest returns a request that the transport can't send again on its own: its body has no GetBody.
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
		// An empty body of unknown length that is not sent in chunks: no header, no bytes.
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(nil)), unknownLength
		request.TransferEncoding = []string{"identity"}
	} else {
		request.Body = io.NopCloser(a.Body)
	}
	return request.WithContext(ctx)
}

func never() bool { return false }
