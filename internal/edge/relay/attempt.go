package relay

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/fleet"
)

const (
	// HeaderAttempt carries the identity of an attempt; the endpoint echoes it.
	HeaderAttempt = "Cowslip-Attempt"
	// HeaderDeclined marks a 503 of an endpoint that declined before it began.
	HeaderDeclined = "Cowslip-Declined"
	// HeaderKey carries the caller's idempotency key to the endpoint; the usual name would
	// make HTTP libraries on the way send again on their own.
	HeaderKey = "Cowslip-Key"
)

var (
	// ErrCrossed says that an answer carried another attempt's identity.
	ErrCrossed = errors.New("the answer belongs to another attempt")
	// ErrDeclined says that the endpoint declined before it began.
	ErrDeclined = errors.New("the endpoint declined the request")
	// ErrUnbounded says that the end of an answer can't be told from a cut.
	ErrUnbounded = errors.New("the answer has no length and no chunks")
	// ErrTooLong says that an answer is longer than it declared.
	ErrTooLong = errors.New("the answer is longer than it declared")
	// ErrNotPermitted says that the right to send had ended before the first byte.
	ErrNotPermitted = errors.New("the entry may no longer send")
)

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	// ID is the attempt's identity, different for each sending.
	ID string
	// Method is the HTTP method.
	Method string
	// Path is the decoded path behind the service's name, starting with a slash.
	Path string
	// RawPath is the path as the caller wrote it, empty where Path says all.
	RawPath string
	// RawQuery is the query as the caller wrote it.
	RawQuery string
	// Header holds the headers to pass on.
	Header http.Header
	// Body is the body, nil where there is none.
	Body io.Reader
	// Length is the body's length, -1 where it is not known.
	Length int64
	// Permit is asked right before the first byte; where it says no, nothing is sent.
	Permit func() bool
}

// Answer is what came of an attempt.
type Answer struct {
	// Outcome is answered, not_run or unknown.
	Outcome fleet.Outcome
	// Response is the endpoint's answer where the outcome is answered; its body must be closed.
	Response *http.Response
	// Err tells why there is no answer.
	Err error
}
