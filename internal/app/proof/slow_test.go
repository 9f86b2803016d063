package proof_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipstack/internal/app/fakes"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/front"
)

// TestSlowCaller checks that a caller that stops sending in the middle of its body can't hold up the entry: a request
// with a short body ends before it takes a slot, and one with a long body does not run. The entry's clock is an hour
// behind the system clock, so that each read deadline has passed at once.
func TestSlowCaller(t *testing.T) {
	s := newSystemWithClock(clock.NewManual(time.Now().Add(-time.Hour)), 1, 1)
	defer s.close()
	for name, c := range map[string]struct {
		declared, sent int
		outcome        string
	}{
		"short": {declared: 10, sent: 5, outcome: "not_run"},
		"long":  {declared: 1 << 20, sent: 300 << 10, outcome: "not_run"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connection, err := net.Dial("tcp", s.entries[0].server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = connection.Close() }()
			_, err = fmt.Fprintf(connection, "POST /%s/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", serviceName, c.declared, strings.Repeat("x", c.sent))
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.Header.Get(front.HeaderOutcome), c.outcome)
			is.Equal(s.executions((*fakes.Handler).TotalRuns), 0)
		})
	}
}
