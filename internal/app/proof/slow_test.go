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

// TestSlowCaller lets callers stop within their bodies. The entry's clock is behind the machine's, so that
// each limit is met at once: a short body ends the request before it takes a slot, a long one is not run whole.
func TestSlowCaller(t *testing.T) {
	s := newSiteAt(clock.NewManual(time.Now().Add(-time.Hour)), 1, 1)
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
			is.Equal(s.ran((*fakes.Worker).Total), 0)
		})
	}
}
