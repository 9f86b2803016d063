package proof_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/front"
	"cowslipstack/internal/edge/relay"
)

// TestLostCaller checks that a caller that disconnects in the middle of a long answer gets that answer whole when it
// resends, and that the request runs only once.
func TestLostCaller(t *testing.T) {
	is := is.New(t)
	s := newSystem(1, 0)
	defer s.close()
	const size = 200 << 10
	lost, ran := make(chan struct{}), atomic.Int64{}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		w.Header().Set(relay.HeaderAttempt, r.Header.Get(relay.HeaderAttempt))
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(bytes.Repeat([]byte("a"), size/2))
		_ = http.NewResponseController(w).Flush()
		<-lost
		_, _ = w.Write(bytes.Repeat([]byte("b"), size/2))
	}))
	defer endpoint.Close()
	s.setEndpoint(endpoint, 30*time.Second)
	issued := strconv.FormatInt(clock.System{}.Now().UnixMilli(), 10)
	post := func() *http.Response {
		request := newRequest(http.MethodPost, s.entries[0].server.URL+"/"+serviceName+"/x")
		request.Header.Set(front.HeaderKey, "k")
		request.Header.Set(front.HeaderKeyIssued, issued)
		response, err := s.client.Transport.RoundTrip(request)
		is.NoErr(err)
		return response
	}
	first := post()
	is.Equal(first.Header.Get(front.HeaderOutcome), "answered")
	is.NoErr(first.Body.Close())
	close(lost)
	second := post()
	body, err := io.ReadAll(second.Body)
	is.NoErr(err)
	is.NoErr(second.Body.Close())
	is.Equal(second.Header.Get(front.HeaderReplayed), "1")
	is.Equal(len(body), size)
	is.Equal(ran.Load(), int64(1))
}
