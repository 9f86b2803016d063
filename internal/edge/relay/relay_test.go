package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/model/fleet"
)

// rawEndpoint answers requests with scripted raw bytes and keeps the requests that it read.
type rawEndpoint struct {
	listener net.Listener
	requests chan *http.Request
	answers  chan string
	// skipBodies means that it answers without reading the requests' bodies.
	skipBodies bool
}

func newRawEndpoint(t *testing.T, skipBodies bool) *rawEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := &rawEndpoint{
		listener: listener, requests: make(chan *http.Request, 16), answers: make(chan string, 16), skipBodies: skipBodies,
	}
	go e.run()
	t.Cleanup(func() { _ = listener.Close() })
	return e
}

func (e *rawEndpoint) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

// serve answers each request with the next scripted answer. An empty answer, or one that ends in {cut}, closes the
// connection; {id} stands for the attempt's ID, {long} for more bytes than the headers may hold.
func (e *rawEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !e.skipBodies {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		e.requests <- request
		answer := <-e.answers
		answer, cut := strings.CutSuffix(answer, "{cut}")
		answer = strings.ReplaceAll(strings.ReplaceAll(answer, "\n", "\r\n"), "{id}", request.Header.Get(relay.HeaderAttempt))
		answer = strings.ReplaceAll(answer, "{long}", strings.Repeat("x", 70_000))
		if _, err := io.WriteString(c, answer); err != nil || cut || answer == "" {
			return
		}
	}
}

func (e *rawEndpoint) endpoint() fleet.Endpoint {
	return fleet.Endpoint{Name: "raw", Service: "s", Address: e.listener.Addr().String()}
}

// watchedConn is a connection whose close can be awaited.
type watchedConn struct {
	net.Conn
	closed func()
	done   <-chan struct{}
	// afterWrite is called after each write, before it returns.
	afterWrite atomic.Pointer[func()]
}

func (c *watchedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if f := c.afterWrite.Load(); f != nil {
		(*f)()
	}
	return n, err
}

func (c *watchedConn) Close() error {
	defer c.closed()
	return c.Conn.Close()
}

// failReads makes the reads of the connection fail, and returns once it is closed for that.
func (c *watchedConn) failReads() {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.done
}

// watchedDialer keeps the last connection that it opened.
type watchedDialer struct {
	dialer net.Dialer
	last   atomic.Pointer[watchedConn]
}

func (d *watchedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	closed, cancel := context.WithCancel(context.Background())
	w := &watchedConn{Conn: c, closed: cancel, done: closed.Done()}
	d.last.Store(w)
	return w, nil
}

// permit returns the permission of a case. While it is asked for, or with after_write while the request is written and
// the endpoint has read it, the connection may fail and then the context end.
func permit(d *datadriven.TestData, dialer *watchedDialer, e *rawEndpoint, cancel context.CancelFunc) func() bool {
	disturb := func() {
		c := dialer.last.Load()
		if d.HasArg("reads_fail") {
			c.failReads()
		}
		if d.HasArg("cancelled") {
			cancel()
			<-c.done
		}
	}
	return func() bool {
		if !d.HasArg("after_write") {
			disturb()
			return !d.HasArg("not_permitted")
		}
		written := func() {
			e.requests <- <-e.requests
			disturb()
		}
		dialer.last.Load().afterWrite.Store(&written)
		return true
	}
}

// TestAnswers sends one attempt for each case, or several with times, and prints its outcome and how many requests the
// endpoint read.
func TestAnswers(t *testing.T) {
	defer goleak.VerifyNone(t)
	datadriven.Walk(t, "testdata/answers", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			times := 1
			d.MaybeScanArgs(t, "times", &times)
			text := sendOnce(t, d)
			for range times - 1 {
				if other := sendOnce(t, d); other != text {
					return text + "another time: " + other
				}
			}
			return text
		})
	})
}

// sendOnce sends the attempt of a case to an endpoint of its own.
func sendOnce(t *testing.T, d *datadriven.TestData) string {
	dialer := &watchedDialer{}
	r := relay.New(relay.Options{Connections: 1, Dialer: dialer})
	defer r.Close()
	e := newRawEndpoint(t, d.HasArg("skips_body"))
	defer func() { _ = e.listener.Close() }()
	var method, body string
	bodyBytes := 0
	d.MaybeScanArgs(t, "method", &method)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "body_bytes", &bodyBytes)
	body += strings.Repeat("x", bodyBytes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := relay.Attempt{ID: "a-1", Method: method, Path: "/", Header: http.Header{}, Permit: permit(d, dialer, e, cancel)}
	if body != "" {
		a.Body, a.Length = strings.NewReader(body), int64(len(body))
	}
	if d.HasArg("keep_alive") {
		// The first request leaves its connection in the pool for the second.
		e.answers <- "HTTP/1.1 200 OK\nCowslip-Attempt: {id}\nContent-Length: 0\n\n"
		first := r.Send(ctx, e.endpoint(), relay.Attempt{ID: "a-0", Method: "GET", Path: "/", Permit: func() bool { return true }})
		is.New(t).NoErr(errors.CombineErrors(first.Err, first.Response.Body.Close()))
		<-e.requests
	}
	if d.HasArg("refused") {
		_ = e.listener.Close()
	}
	if d.HasArg("late") {
		go func() { e.requests <- <-e.requests; cancel() }()
	} else {
		e.answers <- strings.TrimSuffix(d.Input, "{end}")
	}
	text := describe(r.Send(ctx, e.endpoint(), a))
	if d.HasArg("late") {
		e.answers <- d.Input
	}
	return fmt.Sprintf("%s\nrequests read by the endpoint: %d\n", text, len(e.requests))
}

func describe(a relay.Answer) string {
	if a.Outcome != fleet.OutcomeAnswered {
		for _, known := range []error{
			relay.ErrWrongAttempt, relay.ErrDeclined, relay.ErrUnbounded, relay.ErrTooLong, relay.ErrHeaderTooLong, relay.ErrNotPermitted, context.Canceled,
		} {
			if errors.Is(a.Err, known) {
				return a.Outcome.String() + ": " + known.Error()
			}
		}
		return a.Outcome.String()
	}
	data, err := io.ReadAll(a.Response.Body)
	_ = a.Response.Body.Close()
	text := "answered " + strconv.Itoa(a.Response.StatusCode) + " " + strconv.Quote(string(data))
	if err != nil {
		text += ": " + err.Error()
	}
	return text
}
