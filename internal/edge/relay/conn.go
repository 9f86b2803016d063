package relay

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// conn is a connection to an endpoint that tells its attempt of every byte.
type conn struct {
	net.Conn
	current atomic.Pointer[sending]
}

// attach gives the connection to an attempt.
func (c *conn) attach(s *sending) {
	c.current.Store(s)
}

// Write writes only where the attempt may still begin, or has begun.
func (c *conn) Write(b []byte) (int, error) {
	s := c.current.Load()
	if s == nil {
		return 0, errors.New("the connection belongs to no attempt")
	}
	first := phase(s.phase.Load()) == phaseOpen
	if !s.begin() {
		return 0, ErrNotPermitted
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		s.unwritten()
	}
	return n, err
}

// Read reads and shows the attempt what came.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if s := c.current.Load(); s != nil && n > 0 {
		s.scan.observe(b[:n])
	}
	return n, err
}
