package front

import (
	"bytes"
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

// attemptOf returns the attempt that passes the caller's request on.
func attemptOf(r *http.Request, service string, body []byte) relay.Attempt {
	a := relay.Attempt{
		ID: uuid.NewString(), Method: r.Method, RawQuery: r.URL.RawQuery, Header: http.Header{},
		Path: behind(r.URL.Path, service), RawPath: behind(r.URL.RawPath, service),
	}
	for name, values := range r.Header {
		if !isHop(name) {
			a.Header[name] = values
		}
	}
	if len(body) > 0 {
		a.Body, a.Length = bytes.NewReader(body), int64(len(body))
	}
	return a
}

// behind returns what follows the service's name in a path.
func behind(path, service string) string {
	if path == "" {
		return ""
	}
	if rest := strings.TrimPrefix(path, "/"+service); rest != "" {
		return rest
	}
	return "/"
}

// isHop says whether a header belongs to one connection, or must not reach an endpoint.
func isHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Idempotency-Key", "X-Idempotency-Key", relay.HeaderAttempt:
		return true
	default:
		return false
	}
}
