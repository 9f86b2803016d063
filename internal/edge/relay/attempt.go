package relay

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/fleet"
)

const (
	// HeaderAttempt carries the ID of an attempt; the endpoint echoes it in its response.
	HeaderAttempt = "Cowslip-Attempt"
	// HeaderDeclined marks a 503 response of an endpoint that declined the request before it ran any of it.
	HeaderDeclined = "Cowslip-Declined"
	// HeaderKey carries the caller's idempotency key to the endpoint. The usual Idempotency-Key header would
	// make HTTP libraries on the path, such as net/http, retry the request on their own.
	HeaderKey = "Cowslip-Key"
)

var (
	// ErrWrongAttempt means that the response carried no attempt ID or that of another attempt.
	ErrWrongAttempt = errors.New("the answer belongs to another attempt")
	// ErrDeclined means that the endpoint declined the request before it ran any of it.
	ErrDeclined = errors.New("the endpoint declined the request")
	// ErrUnbounded means that a complete response can't be distinguished from a truncated one.
	ErrUnbounded = errors.New("the answer has no length and no chunks")
	// ErrTooLong means that the endpoint sent more bytes than the response declared.
	ErrTooLong = errors.New("the answer is longer than it declared")
	// ErrHeaderTooLong means that the headers of the response, with those of interim ones, exceeded the limit.
	ErrHeaderTooLong = errors.New("the answer's headers are too long")
	// ErrNotPermitted means that the permission to send ended before the first byte was written.
	ErrNotPermitted = errors.New("the entry may no longer send")
)

// Attempt is one transmission of a request to an endpoint.
type Attempt struct {
	// ID is unique to the attempt.
	ID string
	// Method is the HTTP method.
	Method string
	// Path is the decoded path after the service's name, starting with a slash.
	Path string
	// RawPath is the path as the caller encoded it; empty where the default encoding of Path is the same.
	RawPath string
	// RawQuery is the query as the caller encoded it.
	RawQuery string
	// Header holds the headers to forward; nil is allowed.
	Header http.Header
	// Body is the request body, nil if there is none.
	Body io.Reader
	// Length is the body's length in bytes, -1 if it is not known.
	Length int64
	// Permit is called right before the first byte is written; if it returns false, nothing is sent. A nil Permit
	// allows the attempt.
	Permit func() bool
}

// Answer is the outcome of an attempt.
type Answer struct {
	// Outcome is answered, not_run or unknown.
	Outcome fleet.Outcome
	// Response is set where the outcome is answered; the caller must close its body.
	Response *http.Response
	// Err is the reason for any other outcome, and nil where the outcome is answered.
	Err error
}
