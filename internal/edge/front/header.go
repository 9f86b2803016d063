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
	// HeaderKey names a request that must run at most once, over all its sendings.
	HeaderKey = "Idempotency-Key"
	// HeaderKeyIssued is when the caller made the key.
	HeaderKeyIssued = "Cowslip-Key-Issued"
	// HeaderSending counts the caller's sendings of one key from 1; without it, a sending may be a resend.
	HeaderSending = "Cowslip-Sending"
	// HeaderReplayed marks an answer that was given before.
	HeaderReplayed = "Cowslip-Replayed"
	// HeaderOnce marks an answer to a non-idempotent request without a key: it was sent once at the most.
	HeaderOnce = "Cowslip-Sent-Once"

	// ownPrefix starts the headers that are between the entry and one side.
	ownPrefix = "Cowslip-"
)

// maxDeadlineMs is the longest time that a request may take.
const maxDeadlineMs = 600_000

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

// copyHeader copies what belongs to the request or answer, and not to one connection or to the entry.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !isHop(name) && (!strings.HasPrefix(name, ownPrefix) || name == HeaderTeam || name == HeaderClass) {
			to[name] = values
		}
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// isHop says whether a header belongs to one connection, or would let a library send again on its own.
func isHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Idempotency-Key", "X-Idempotency-Key":
		return true
	default:
		return false
	}
}
