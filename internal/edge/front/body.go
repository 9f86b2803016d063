package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/fleet"
)

const (
	// keptBodyBytes is the longest body that is kept whole; a longer one is passed on as it comes and is sent once.
	keptBodyBytes = 256 << 10
	// bufferedBytes bounds the bodies in memory of all requests together.
	bufferedBytes = 64 << 20
	// slowTimeout is the longest time that a caller may let the entry wait for the next bytes, or to take them.
	slowTimeout = 10 * time.Second
)

// takeBody reads a short body whole, before the request takes a slot, and leaves a long one as a stream.
func (f *Front) takeBody(c *call) *refusal {
	if c.r.ContentLength > f.options.BodyLimit {
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: fleet.OutcomeNotRun, code: codeBodyTooLong, message: "the body is too long"}
	}
	if c.r.ContentLength == 0 || c.r.Body == nil {
		return nil
	}
	if f.buffered.Load() > bufferedBytes {
		return &refusal{status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeBusy, message: "too many bodies are being read", retry: true}
	}
	// Slow callers take no slot; those that can't set deadlines (in tests) have none.
	_ = c.control.SetReadDeadline(c.deadline)
	limited := http.MaxBytesReader(c.w, c.r.Body, f.options.BodyLimit)
	room := int64(keptBodyBytes)
	if c.r.ContentLength > 0 {
		room = min(room, c.r.ContentLength)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, min(room, keptBodyBytes)+bytes.MinRead))
	_, err := buffer.ReadFrom(io.LimitReader(limited, keptBodyBytes+1))
	if err != nil {
		return badBody(err)
	}
	if buffer.Len() <= keptBodyBytes {
		_ = c.control.SetReadDeadline(time.Time{})
		c.body, c.length = buffer.Bytes(), int64(buffer.Len())
		f.buffered.Add(c.length)
		return nil
	}
	c.stream = io.MultiReader(buffer, &slowReader{front: f, call: c, next: limited})
	c.length = c.r.ContentLength
	return nil
}

func badBody(err error) *refusal {
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: fleet.OutcomeNotRun, code: codeBodyTooLong, message: "the body is too long"}
	}
	return &refusal{status: http.StatusBadRequest, outcome: fleet.OutcomeNotRun, code: codeBadBody, message: "the body was cut: " + err.Error()}
}

// slowReader ends a body whose caller lets the entry wait.
type slowReader struct {
	front *Front
	call  *call
	next  io.Reader
}

// Read reads what comes within the limit.
func (s *slowReader) Read(p []byte) (int, error) {
	_ = s.call.control.SetReadDeadline(s.front.options.Clock.Now().Add(slowTimeout))
	n, err := s.next.Read(p)
	if err != nil {
		// Nothing more is waited for; the deadline would end the request while it is at its endpoint.
		_ = s.call.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
