package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/edge/route"
)

const (
	// HeaderOutcome tells the caller what came of its request.
	HeaderOutcome = "Cowslip-Outcome"
	// HeaderRequest carries the request's identity, made here where the caller gave none.
	HeaderRequest = "Cowslip-Request"
	// HeaderDeadline is the time that the request may take, in milliseconds.
	HeaderDeadline = "Cowslip-Deadline-Ms"
	// HeaderTeam names the caller's team.
	HeaderTeam = "Cowslip-Team"
	// HeaderClass names the request's class.
	HeaderClass = "Cowslip-Class"
)

func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequest); id != "" {
		return id
	}
	return uuid.NewString()
}

func requestDeadline(r *http.Request, s route.Service) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Duration(s.Settings.DeadlineMs) * time.Millisecond, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 1 || count > maxDeadlineMs {
		return 0, errors.Newf("%s is %q; allowed are 1 to %d", HeaderDeadline, text, maxDeadlineMs)
	}
	return time.Duration(count) * time.Millisecond, nil
}

// maxDeadlineMs is the longest time that a request may take.
const maxDeadlineMs = 600_000

func attemptOf(r *http.Request, service string, body []byte) relay.Attempt {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+service)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := http.Header{}
	for name, values := range r.Header {
		if !isHop(name) {
			header[name] = values
		}
	}
	return relay.Attempt{ID: uuid.NewString(), Method: r.Method, Path: path, Header: header, Body: body}
}

// isHop says whether a header belongs to one connection, or must not reach an endpoint.
func isHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Idempotency-Key", "X-Idempotency-Key", relay.HeaderAttempt:
		return true
	default:
		return false
	}
}
