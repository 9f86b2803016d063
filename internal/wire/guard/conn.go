package guard

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection that its guard has accepted.
type Conn struct {
	net.Conn

	guard  *Guard
	client string
	// moved is when bytes were last read or written, in Unix nanoseconds.
	moved atomic.Int64
	// serving is the number of requests in progress.
	serving atomic.Int32

	mu sync.Mutex
	// handlerDeadline is the write deadline set from outside, writeDeadline that of the present Write; zero for none.
	handlerDeadline, writeDeadline time.Time
	// blocked is how long the client let writes wait since the connection last had no request, written the bytes it took.
	blocked time.Duration
	written int64
}

func (c *Conn) touch() { c.moved.Store(c.guard.options.Clock.Now().UnixNano()) }

// Begin marks the start of a request; until its End the connection isn't closed for another one.
func (c *Conn) Begin() {
	if c.serving.Add(1) == 1 {
		c.mu.Lock()
		c.blocked, c.written = 0, 0
		c.mu.Unlock()
	}
}

// End marks the end of a request.
func (c *Conn) End() {
	c.touch()
	c.serving.Add(-1)
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Write writes to the connection. It fails if the client takes too long to read; bytes that it took faster than at the minimum
// rate gain it no time for later ones.
func (c *Conn) Write(p []byte) (int, error) {
	limits := c.guard.options.Limits
	began := c.guard.options.Clock.Now()
	c.mu.Lock()
	left := min(timeFor(c.written, limits.MinRate)-c.blocked, 0) + limits.Answer + timeFor(int64(len(p)), limits.MinRate)
	c.writeDeadline = began.Add(left)
	deadline := earlier(c.writeDeadline, c.handlerDeadline)
	err := c.Conn.SetWriteDeadline(deadline)
	own := deadline.Equal(c.writeDeadline)
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if own && errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.record(causeSlowAnswer, c.client)
	}
	c.mu.Lock()
	c.blocked += c.guard.options.Clock.Now().Sub(began)
	c.written += int64(n)
	c.writeDeadline = time.Time{}
	c.mu.Unlock()
	if n > 0 {
		c.touch()
	}
	return n, err
}

// SetWriteDeadline sets a deadline in addition to the guard's.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlerDeadline = t
	return c.Conn.SetWriteDeadline(earlier(t, c.writeDeadline))
}

// SetDeadline sets the read and the write deadline.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the writing side, which the HTTP server does before it closes a connection with unread data.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.guard.forget(c)
	return c.Conn.Close()
}

// earlier returns the earlier of two deadlines; a zero one counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// timeFor returns how long so many bytes take at a rate in bytes per second.
func timeFor(bytes, rate int64) time.Duration {
	rate = max(1, rate)
	return time.Duration(bytes/rate)*time.Second + time.Duration(bytes%rate)*time.Second/time.Duration(rate)
}
