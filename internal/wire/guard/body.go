package guard

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/budget"
)

// readCopies is how many bytes are held for each byte of a body while it is read into a growing buffer: the buffer and the
// one that it is copied to.
const readCopies = 2

// discardTimeout is how long the rest of a body is awaited and discarded once its handler has returned, so that a client
// that is still sending can read the answer.
const discardTimeout = 500 * time.Millisecond

// Body is a body whose bytes are counted in the budget, and whose sender must keep a minimum rate. One goroutine reads it;
// any may end it.
type Body struct {
	guard   *Guard
	client  string
	inner   io.Reader
	account *budget.Body
	// setDeadline sets the deadline of reads from inner.
	setDeadline func(time.Time) error
	// counted and read are numbers of bytes, waited is how long reads have waited for the sender.
	counted, read int64
	// length is the length of the body, negative if it isn't known. A handler may stop reading there, before the end is
	// reported.
	length  int64
	waited  time.Duration
	ended   bool
	dropped atomic.Bool
	// refused is the error of a reservation before the first Read.
	refused error
	// failed is called when a read fails because of the limits; nil for none.
	failed func()

	mu sync.Mutex
	// handlerDeadline is the deadline that the handler has set, zero for none.
	handlerDeadline time.Time
}

// open returns a body; Release must be called on it.
func (g *Guard) open(class budget.Class, address string, inner io.Reader, length int64, setDeadline func(time.Time) error) *Body {
	b := &Body{guard: g, client: clientOf(address), inner: inner, length: length, setDeadline: setDeadline}
	b.account = g.options.Budget.Open(class, b.client, g.options.Clock.Now(), func() {
		b.dropped.Store(true)
		// Ends a Read that waits. A time in the past is set, since the clock may be another one than the connection's.
		_ = setDeadline(time.Unix(1, 0))
	})
	return b
}

// OpenFrame returns a message of so many bytes that comes on a connection; Release must be called on it.
func (g *Guard) OpenFrame(conn net.Conn, inner io.Reader, size int64) *Body {
	return g.open(g.options.Class, conn.RemoteAddr().String(), io.LimitReader(inner, size), size, conn.SetReadDeadline)
}

// Read reads from the body. It fails with an error of package budget if the budget is exhausted or the body was dropped.
func (b *Body) Read(p []byte) (int, error) {
	if b.refused != nil {
		return 0, b.refused
	}
	if b.ended {
		return b.inner.Read(p)
	}
	now := b.guard.options.Clock.Now()
	limits := b.guard.options.Limits
	left := limits.Body + timeFor(b.read, limits.MinRate) - b.waited
	own := now.Add(min(limits.Stall, left))
	b.mu.Lock()
	deadline := earlier(own, b.handlerDeadline)
	err := b.setDeadline(deadline)
	b.mu.Unlock()
	if b.dropped.Load() {
		return 0, b.fail(budget.ErrDropped)
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, errors.Wrap(err, "set read deadline")
	}
	n, err := b.inner.Read(p)
	after := b.guard.options.Clock.Now()
	b.waited += after.Sub(now)
	b.read += int64(n)
	if n > 0 {
		b.account.Progress(after)
		if failed := b.count(int64(n)); failed != nil {
			return 0, failed
		}
	}
	switch {
	case errors.Is(err, io.EOF), b.read == b.length:
		b.complete()
	case b.dropped.Load():
		return n, b.fail(budget.ErrDropped)
	case errors.Is(err, os.ErrDeadlineExceeded) && deadline.Equal(own):
		return n, b.fail(budget.ErrSlow)
	}
	return n, err
}

// complete records that the body is read and removes the deadline: one left in place would end the request while it runs.
func (b *Body) complete() {
	b.ended = true
	b.account.Complete()
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.setDeadline(b.handlerDeadline) // A failed connection shows in the answer.
}

// count reserves what is held for n more bytes.
func (b *Body) count(n int64) error {
	if most := b.guard.options.MaxCounted; most > 0 {
		n = max(0, min(n, most-b.counted))
	}
	b.counted += n
	return b.Reserve(n * readCopies)
}

// Reserve reserves bytes that are held in addition to those read, such as for decoding.
func (b *Body) Reserve(bytes int64) error {
	switch b.account.Reserve(bytes, b.guard.options.Clock.Now()) {
	case budget.Reserved:
		return nil
	case budget.TooLarge:
		return b.fail(budget.ErrTooLarge)
	case budget.Dropped:
		return b.fail(budget.ErrDropped)
	default:
		return b.fail(budget.ErrExhausted)
	}
}

// fail records why the body isn't read to its end.
func (b *Body) fail(err error) error {
	cause := causeBytes
	switch {
	case errors.Is(err, budget.ErrDropped):
		cause = causeDropped
	case errors.Is(err, budget.ErrSlow):
		cause = causeSlowBody
	}
	b.guard.record(cause, b.client)
	if b.failed != nil {
		b.failed()
	}
	if b.guard.options.Connect {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return err
}

// expansion is how much a compressed message between processes expands at most; records and lists expand by less than 10.
const expansion = 32

// reserveExpanded reserves what a compressed message may expand to. For messages between processes, which are many at a time,
// that is an estimate by their length.
func (b *Body) reserveExpanded(header http.Header, length int64) {
	for _, name := range []string{"Content-Encoding", "Grpc-Encoding"} {
		if encoding := header.Get(name); encoding == "" || encoding == "identity" {
			continue
		}
		size := int64(MaxConnectBytes)
		if b.guard.options.Class == budget.Peers && length >= 0 {
			size = min(size, length*expansion)
		}
		b.refused = b.Reserve(size * readCopies)
		return
	}
}

// setHandlerDeadline sets a deadline in addition to the body's own.
func (b *Body) setHandlerDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlerDeadline = t
	return b.setDeadline(t)
}

// Close closes the inner body, which may await and discard the rest of it; the bytes stay reserved.
func (b *Body) Close() error {
	closer, ok := b.inner.(io.Closer)
	if !ok {
		return nil
	}
	b.limitDiscard()
	return closer.Close()
}

// Release releases the bytes; nothing may hold them any more.
func (b *Body) Release() {
	b.account.Close()
	b.limitDiscard()
}

// limitDiscard bounds how long the rest of a body that wasn't read is awaited.
func (b *Body) limitDiscard() {
	if !b.ended {
		_ = b.setDeadline(b.guard.options.Clock.Now().Add(discardTimeout)) // A failed connection needs none.
	}
}
