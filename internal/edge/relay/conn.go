package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// conn is a connection to an endpoint that reports its reads and writes to the attempt that uses it.
type conn struct {
	net.Conn
	current atomic.Pointer[sendState]
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, closed: make(chan struct{})}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// attach assigns the connection to an attempt.
func (c *conn) attach(s *sendState) {
	c.current.Store(s)
}

// Write returns an error if the attempt has written nothing yet and may not start: ErrNotPermitted if its permission ended.
func (c *conn) Write(b []byte) (int, error) {
	s := c.current.Load()
	if s == nil {
		return 0, errors.New("the connection belongs to no attempt")
	}
	first := phase(s.phase.Load()) == phaseUnsent
	if err := s.begin(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	switch {
	case first && n == 0 && err != nil:
		s.markUnwritten()
	case errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE):
		// The endpoint has closed the connection and may have answered before: the transport would drop that answer for
		// this error. Reads end soon, with the answer or with an error, and after them the connection is closed.
		<-c.closed
	}
	return n, err
}

// Read passes the bytes that it reads to the attempt's scanner.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if s := c.current.Load(); s != nil && n > 0 {
		s.scan.observe(b[:n])
	}
	return n, err
}
