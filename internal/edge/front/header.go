package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/edge/route"
)

const (
	// HeaderOutcome carries the outcome of the request to the caller.
	HeaderOutcome = "Cowslip-Outcome"
	// HeaderRequest carries the request's ID, which is generated if the caller sends none.
	HeaderRequest = "Cowslip-Request"
	// HeaderDeadline is the time that the request may take, in milliseconds.
	HeaderDeadline = "Cowslip-Deadline-Ms"
	// HeaderTeam names the caller's team.
	HeaderTeam = "Cowslip-Team"
	// HeaderClass names the request's priority class.
	HeaderClass = "Cowslip-Class"
	// HeaderKey is the idempotency key of a request that must run at most once, however often it is sent.
	HeaderKey = "Idempotency-Key"
	// HeaderKeyIssued is when the caller created the key.
	HeaderKeyIssued = "Cowslip-Key-Issued"
	// HeaderSending counts how often the caller has sent one key, from 1; without it, a request may be a resend.
	HeaderSending = "Cowslip-Sending"
	// HeaderReplayed marks a kept response that is replayed.
	HeaderReplayed = "Cowslip-Replayed"
	// HeaderSentOnce marks the response to a non-idempotent request without a key: it was sent at most once.
	HeaderSentOnce = "Cowslip-Sent-Once"

	// headerPrefix is the prefix of the project's own headers; most of them are not forwarded.
	headerPrefix = "Cowslip-"
)

// maxDeadlineMs is the longest deadline that a caller may set.
const maxDeadlineMs = 600_000

func requestDeadline(r *http.Request, s route.Service) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Duration(s.Settings.DeadlineMs) * time.Millisecond, nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms < 1 || ms > maxDeadlineMs {
		return 0, errors.Newf("%s is %q; allowed are 1 to %d", HeaderDeadline, text, maxDeadlineMs)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// pathAfterService returns the part of a path after the service's name; it starts with a slash unless the path is
// empty.
func pathAfterService(path, service string) string {
	if path == "" {
		return ""
	}
	if rest := strings.TrimPrefix(path, "/"+service); rest != "" {
		return rest
	}
	return "/"
}

// copyHeader copies the end-to-end headers, without those that concern one connection or the entry itself.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !isNotForwarded(name) && (!strings.HasPrefix(name, headerPrefix) || name == HeaderTeam || name == HeaderClass) {
			to[name] = values
		}
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// isNotForwarded reports whether a header concerns one connection, or would make an HTTP library retry on its own.
func isNotForwarded(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Idempotency-Key", "X-Idempotency-Key":
		return true
	default:
		return false
	}
}
