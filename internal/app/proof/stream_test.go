package proof_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipstack/internal/edge/front"
	"cowslipstack/internal/edge/relay"
)

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestStreams checks that bodies and answers of 100 MB are streamed, not buffered, with and without a declared length.
func TestStreams(t *testing.T) {
	const size = 100 << 20
	is := is.New(t)
	s := newSystem(1, 0)
	defer s.close()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		w.Header().Set(relay.HeaderAttempt, r.Header.Get(relay.HeaderAttempt))
		w.Header().Set("Received", strconv.FormatInt(n, 10))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("Declared") != "" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		_, _ = io.Copy(w, io.LimitReader(zeros{}, size))
	}))
	defer endpoint.Close()
	s.setEndpoint(endpoint, time.Minute)
	for _, declared := range []string{"", "1"} {
		request, err := http.NewRequest(http.MethodPost, s.entries[0].server.URL+"/"+serviceName+"/x", io.LimitReader(zeros{}, size))
		is.NoErr(err)
		request.Header.Set("Declared", declared)
		if declared != "" {
			request.ContentLength = size
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		response, err := s.client.Transport.RoundTrip(request)
		is.NoErr(err)
		got, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		runtime.ReadMemStats(&after)
		is.Equal(response.Header.Get(front.HeaderOutcome), "answered")
		is.Equal(response.Header.Get("Received"), strconv.Itoa(size))
		is.Equal(got, int64(size))
		// The sum of all allocations by caller, entry and endpoint together during the request.
		is.True(after.TotalAlloc-before.TotalAlloc < 8<<20)
	}
}
