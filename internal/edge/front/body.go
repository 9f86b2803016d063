package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/budget"
	"cowslipstack/internal/model/fleet"
)

// MaxKeptBodyBytes is the longest request body that is read whole into memory. A longer one is streamed, and is
// sent once.
const MaxKeptBodyBytes = 256 << 10

const (
	// maxTotalBodyBytes limits the bodies in memory of all requests together.
	maxTotalBodyBytes = 64 << 20
	// callerIOTimeout is the longest wait for a caller to send or to read the next bytes.
	callerIOTimeout = 10 * time.Second
)

// readBody reads a short body whole, before the request takes a slot; a long one is left as a stream.
func (f *Front) readBody(c *call) *refusal {
	if c.r.ContentLength > f.options.BodyLimit {
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: fleet.OutcomeNotRun, code: codeBodyTooLong, message: "the body is too long"}
	}
	if c.r.ContentLength == 0 || c.r.Body == nil {
		return nil
	}
	if f.bodyBytes.Load() > maxTotalBodyBytes {
		return &refusal{status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeBusy, message: "too many bodies are being read", safeRetry: true}
	}
	// The body is read before admission, so slow callers hold no slot. Setting a deadline fails only in tests,
	// whose connections have none.
	_ = c.control.SetReadDeadline(c.deadline)
	limited := http.MaxBytesReader(c.w, c.r.Body, f.options.BodyLimit)
	size := int64(MaxKeptBodyBytes)
	if c.r.ContentLength > 0 {
		size = min(size, c.r.ContentLength)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, min(size, MaxKeptBodyBytes)+bytes.MinRead))
	_, err := buffer.ReadFrom(io.LimitReader(limited, MaxKeptBodyBytes+1))
	if err != nil {
		return badBodyRefusal(err)
	}
	if buffer.Len() <= MaxKeptBodyBytes {
		_ = c.control.SetReadDeadline(time.Time{})
		c.body, c.length = buffer.Bytes(), int64(buffer.Len())
		f.bodyBytes.Add(c.length)
		return nil
	}
	c.stream = io.MultiReader(buffer, &deadlineReader{front: f, call: c, body: limited})
	c.length = c.r.ContentLength
	return nil
}

func badBodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: fleet.OutcomeNotRun, code: codeBodyTooLong, message: "the body is too long"}
	}
	if errors.Is(err, budget.ErrExhausted) || errors.Is(err, budget.ErrDropped) || errors.Is(err, budget.ErrTooLarge) {
		return &refusal{status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeBusy, message: err.Error(), safeRetry: true}
	}
	return &refusal{status: http.StatusBadRequest, outcome: fleet.OutcomeNotRun, code: codeBadBody, message: "the body was cut: " + err.Error()}
}

// deadlineReader fails where the caller lets the entry wait too long for the next bytes of the body.
type deadlineReader struct {
	front *Front
	call  *call
	body  io.Reader
}

// Read reads the next bytes, and fails after callerIOTimeout without any.
func (d *deadlineReader) Read(p []byte) (int, error) {
	_ = d.call.control.SetReadDeadline(d.front.options.Clock.Now().Add(callerIOTimeout))
	n, err := d.body.Read(p)
	if err != nil {
		// Nothing more is read. A deadline left in place would end the request while an endpoint serves it.
		_ = d.call.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
