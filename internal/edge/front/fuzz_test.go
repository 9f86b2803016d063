package front_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/edge/front"
	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// fakeEntry is an entry whose endpoint answers everything and whose claims are all granted.
type fakeEntry struct{ sent []relay.Attempt }

func (s *fakeEntry) View() *route.View {
	return &route.View{
		Lease:    route.Lease{Start: clock.System{}.Now(), Length: time.Minute},
		Services: map[string]route.Service{"s": {Settings: docs.Service{Name: "s", DeadlineMs: 1000}}},
	}
}

func (s *fakeEntry) Acquire(context.Context, route.Request) (route.Ticket, error) {
	return route.Ticket{Endpoint: fleet.Endpoint{Service: "s", Name: "e"}}, nil
}

func (s *fakeEntry) Release(route.Ticket, route.Result) {}

func (s *fakeEntry) Submit(context.Context, record.Command) (record.Result, error) {
	return record.Result{Code: record.CodeOK}, nil
}

func (s *fakeEntry) Recall(context.Context, string, string, string) (claim.Recall, error) {
	return claim.Recall{}, errors.New("not asked for")
}

func (s *fakeEntry) Send(_ context.Context, _ fleet.Endpoint, a relay.Attempt) relay.Answer {
	s.sent = append(s.sent, a)
	return relay.Answer{Outcome: fleet.OutcomeAnswered, Response: &http.Response{
		StatusCode: http.StatusOK, ContentLength: 2, Body: io.NopCloser(bytes.NewReader([]byte("ok"))), Header: http.Header{},
	}}
}

// FuzzCaller sends any request that net/http parses, and checks that it gets one outcome. The forwarded request
// must have a path below the service's and no header that makes an HTTP library retry.
func FuzzCaller(f *testing.F) {
	for _, seed := range []string{
		"GET /s/x?y=1 HTTP/1.1\r\nHost: h\r\n\r\n", "GET /s HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /s//x%2f.. HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", "POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab",
		"POST /s/x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nCowslip-Key-Issued: 1\r\n\r\n",
		"POST /s/x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n\r\n", "GET /s HTTP/1.1\r\nHost: h\r\nCowslip-Deadline-Ms: -1\r\n\r\n",
		"POST /s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: x\r\nX: y\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "CONNECT s:1 HTTP/1.1\r\nHost: s:1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			t.Skip()
		}
		s := &fakeEntry{}
		handler := front.New(front.Options{
			Name: "one", Views: s, Dispatcher: s, Relay: s, Claims: s, Peers: s, Cache: claim.NewCache(1 << 20),
			Clock: clock.System{}, Logger: zap.NewNop(), BodyLimit: 1 << 20,
		}).Handler()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, request)
		switch outcome := w.Header().Get(front.HeaderOutcome); outcome {
		case "answered":
			if len(s.sent) != 1 || w.Body.String() != "ok" {
				t.Fatalf("answered %q after %d attempts", w.Body, len(s.sent))
			}
		case "not_run", "unknown":
			if len(s.sent) > 0 || !json.Valid(w.Body.Bytes()) {
				t.Fatalf("%s after %d attempts: %q", outcome, len(s.sent), w.Body)
			}
		default:
			t.Fatalf("outcome %q, status %d", outcome, w.Code)
		}
		for _, a := range s.sent {
			if a.Path == "" || a.Path[0] != '/' || a.Header.Get("Idempotency-Key") != "" || a.Header.Get("Connection") != "" {
				t.Fatalf("passed on: %+v", a)
			}
		}
	})
}
