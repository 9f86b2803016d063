package front

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/model/fleet"
)

const (
	// firstChunkBytes is how much of a response is read before the caller gets its first byte. A shorter response
	// is read whole by then, so that a truncated one can be refused.
	firstChunkBytes = 32 << 10
	// maxKeptResponseBytes is the longest response that is kept for resends.
	maxKeptResponseBytes = 256 << 10
)

// chunkBuffers are reused for reading responses.
var chunkBuffers = sync.Pool{New: func() any { return new([firstChunkBytes]byte) }}

// forwardResponse forwards a response to the caller; if it is truncated before the caller has a byte, it returns a
// refusal.
func (f *Front) forwardResponse(c *call, response *http.Response) *refusal {
	buffer, _ := chunkBuffers.Get().(*[firstChunkBytes]byte)
	defer chunkBuffers.Put(buffer)
	n, whole, err := readFirstChunk(response.Body, buffer[:])
	if err != nil {
		return &refusal{
			status: http.StatusBadGateway, outcome: fleet.OutcomeUnknown, code: codeBadAnswer, sent: true,
			message: errors.CombineErrors(err, response.Body.Close()).Error(),
		}
	}
	keeper := newResponseKeeper(c.keepResponse, response)
	f.writeHeader(c, response, whole, n)
	keeper.add(buffer[:n])
	_, writeErr := c.w.Write(buffer[:n])
	if !whole {
		err, writeErr = f.forwardRest(c, response.Body, buffer[:], keeper, writeErr)
	}
	// An error from closing the body doesn't matter once a kept response was read whole.
	if closeErr := response.Body.Close(); err == nil && !keeper.keeping {
		err = closeErr
	}
	if err == nil {
		c.kept, c.hasKept = keeper.answer, keeper.keeping
	}
	if err = errors.CombineErrors(err, writeErr); err != nil {
		f.options.Logger.Info("answer_cut", zap.String("request", c.requestID), zap.Error(err))
		c.aborted = true
	}
	c.outcome = fleet.OutcomeAnswered
	return nil
}

// readFirstChunk fills the buffer or reads to the end of the body, and reports whether it has the whole body.
func readFirstChunk(body io.Reader, buffer []byte) (n int, whole bool, err error) {
	for n < len(buffer) {
		var part int
		part, err = body.Read(buffer[n:])
		n += part
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// writeHeader writes the status and headers, with Content-Length if it is known.
func (f *Front) writeHeader(c *call, response *http.Response, whole bool, n int) {
	header := c.w.Header()
	copyHeader(header, response.Header)
	header[HeaderOutcome] = []string{fleet.OutcomeAnswered.String()}
	if c.key == "" && !c.idempotent() {
		header[HeaderSentOnce] = []string{"1"}
	}
	switch {
	case response.ContentLength >= 0:
		header["Content-Length"] = []string{strconv.FormatInt(response.ContentLength, 10)}
	case whole && c.r.Method != http.MethodHead:
		header["Content-Length"] = []string{strconv.Itoa(n)}
	}
	c.w.WriteHeader(response.StatusCode)
}

// forwardRest streams the rest of a long response in bounded memory, and returns the errors of reading from the
// endpoint and of writing to the caller. After a write error, a response that is kept for resends is still read to
// its end.
func (f *Front) forwardRest(c *call, body io.Reader, buffer []byte, k *responseKeeper, writeErr error) (readErr, finalWriteErr error) {
	// The connection may serve another request, to which this write deadline must not apply.
	defer func() { _ = c.control.SetWriteDeadline(time.Time{}) }()
	for writeErr == nil || k.keeping {
		n, err := body.Read(buffer)
		k.add(buffer[:n])
		if writeErr == nil && n > 0 {
			// A caller that reads nothing must not block the entry.
			_ = c.control.SetWriteDeadline(f.options.Clock.Now().Add(callerIOTimeout))
			_, writeErr = c.w.Write(buffer[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil, writeErr
		}
		if err != nil {
			return err, writeErr
		}
	}
	return nil, writeErr
}

// responseKeeper copies a response that is short enough to be kept for resends.
type responseKeeper struct {
	keeping bool
	answer  claim.Answer
}

func newResponseKeeper(wanted bool, response *http.Response) *responseKeeper {
	k := &responseKeeper{keeping: wanted && response.ContentLength <= maxKeptResponseBytes}
	if !k.keeping {
		return k
	}
	header := http.Header{}
	copyHeader(header, response.Header)
	k.answer.Status = response.StatusCode
	for _, name := range slices.Sorted(maps.Keys(header)) {
		k.answer.Header = append(k.answer.Header, claim.Header{Name: name, Values: header[name]})
	}
	return k
}

func (k *responseKeeper) add(chunk []byte) {
	if !k.keeping {
		return
	}
	if len(k.answer.Body)+len(chunk) > maxKeptResponseBytes {
		k.keeping, k.answer = false, claim.Answer{}
		return
	}
	k.answer.Body = append(k.answer.Body, chunk...)
}

// replay writes a kept response.
func (f *Front) replay(c *call, a claim.Answer) {
	header := c.w.Header()
	for _, h := range a.Header {
		header[h.Name] = h.Values
	}
	header[HeaderOutcome] = []string{fleet.OutcomeAnswered.String()}
	header[HeaderReplayed] = []string{"1"}
	header["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	c.outcome = fleet.OutcomeAnswered
	c.w.WriteHeader(a.Status)
	if _, err := c.w.Write(a.Body); err != nil {
		c.aborted = true
	}
}
