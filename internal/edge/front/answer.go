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
	// headBytes is how much of an answer is read before the caller gets its first byte: a short
	// answer is known whole by then.
	headBytes = 32 << 10
	// keptAnswerBytes is the longest answer that is kept for resends.
	keptAnswerBytes = 256 << 10
)

// buffers are reused for the heads and the later parts of answers.
var buffers = sync.Pool{New: func() any { return new([headBytes]byte) }}

// deliver passes an answer on; where it is cut before the caller has a byte, it returns a refusal.
func (f *Front) deliver(c *call, response *http.Response) *refusal {
	buffer, _ := buffers.Get().(*[headBytes]byte)
	defer buffers.Put(buffer)
	n, whole, err := readHead(response.Body, buffer[:])
	if err != nil {
		return &refusal{
			status: http.StatusBadGateway, outcome: fleet.OutcomeUnknown, code: codeBadAnswer, sent: true,
			message: errors.CombineErrors(err, response.Body.Close()).Error(),
		}
	}
	keeper := newKeeper(c.keep, response)
	f.writeHead(c, response, whole, n)
	keeper.add(buffer[:n])
	_, lost := c.w.Write(buffer[:n])
	if !whole {
		err, lost = f.copyRest(c, response.Body, buffer[:], keeper, lost)
	}
	// A connection whose answer was read whole may fail to close; the answer is whole all the same.
	if closed := response.Body.Close(); err == nil && !keeper.held {
		err = closed
	}
	if err == nil {
		c.kept, c.isKept = keeper.answer, keeper.held
	}
	if err = errors.CombineErrors(err, lost); err != nil {
		f.options.Logger.Info("answer_cut", zap.String("request", c.request), zap.Error(err))
		c.aborted = true
	}
	c.outcome = fleet.OutcomeAnswered
	return nil
}

// readHead fills the buffer or reads to the end, and says whether the answer is whole by then.
func readHead(body io.Reader, buffer []byte) (n int, whole bool, err error) {
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

// writeHead writes the status and headers; the length is given wherever it is known.
func (f *Front) writeHead(c *call, response *http.Response, whole bool, n int) {
	header := c.w.Header()
	copyHeader(header, response.Header)
	header[HeaderOutcome] = []string{fleet.OutcomeAnswered.String()}
	if c.key == "" && !c.idempotent() {
		header[HeaderOnce] = []string{"1"}
	}
	switch {
	case response.ContentLength >= 0:
		header["Content-Length"] = []string{strconv.FormatInt(response.ContentLength, 10)}
	case whole && c.r.Method != http.MethodHead:
		header["Content-Length"] = []string{strconv.Itoa(n)}
	}
	c.w.WriteHeader(response.StatusCode)
}

// copyRest passes the rest of a long answer on in bounded memory, and returns how the answer and its
// caller failed. Where the caller is lost, an answer that is kept for resends is still read to its end.
func (f *Front) copyRest(c *call, body io.Reader, buffer []byte, k *keeper, lost error) (cut, gone error) {
	// The connection may serve another request, whose answer must not meet this one's deadline.
	defer func() { _ = c.control.SetWriteDeadline(time.Time{}) }()
	for lost == nil || k.held {
		n, err := body.Read(buffer)
		k.add(buffer[:n])
		if lost == nil && n > 0 {
			// A caller that takes nothing is not waited for.
			_ = c.control.SetWriteDeadline(f.options.Clock.Now().Add(slowTimeout))
			_, lost = c.w.Write(buffer[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil, lost
		}
		if err != nil {
			return err, lost
		}
	}
	return nil, lost
}

// keeper copies an answer that is short enough to be kept for resends.
type keeper struct {
	held   bool
	answer claim.Answer
}

func newKeeper(wanted bool, response *http.Response) *keeper {
	k := &keeper{held: wanted && response.ContentLength <= keptAnswerBytes}
	if !k.held {
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

func (k *keeper) add(part []byte) {
	if !k.held {
		return
	}
	if len(k.answer.Body)+len(part) > keptAnswerBytes {
		k.held, k.answer = false, claim.Answer{}
		return
	}
	k.answer.Body = append(k.answer.Body, part...)
}

// replay gives the first answer again.
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
