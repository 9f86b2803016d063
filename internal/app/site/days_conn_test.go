package site

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// connect returns both ends of a new connection.
func (n *network) connect(from, to *machine, port uint16) (own, remote *conn) {
	there, back := newStream(from, to), newStream(to, from)
	own = &conn{machine: from, in: back, out: there, remote: net.TCPAddrFromAddrPort(netip.AddrPortFrom(to.address, port))}
	remote = &conn{machine: to, in: there, out: back, remote: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from.address, 0))}
	n.mu.Lock()
	defer n.mu.Unlock()
	from.conns[own], to.conns[remote] = struct{}{}, struct{}{}
	return own, remote
}

// conn is one end of a connection.
type conn struct {
	machine *machine
	in, out *stream
	remote  net.Addr
}

// Read reads what has arrived. A process that has stood still may find its time limit passed before it reads, or read first.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.machine.waitThawed()
		n, wait, err := c.in.read(p, c.machine.network.happens(1, 2))
		if wait == nil {
			return n, err
		}
		<-wait
	}
}

// Write sends; it never blocks.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close closes both directions; what was written before still arrives.
func (c *conn) Close() error {
	c.in.endReading(net.ErrClosed)
	c.out.endWriting()
	return nil
}

// end ends both directions at once; the other end learns of it unless the machine is dark or cut off.
func (c *conn) end(dark bool) {
	silent := dark || !c.machine.network.passes(c.machine.address, c.out.to.address)
	c.in.end(silent)
	c.out.drop()
	if !silent {
		c.out.endReading(syscall.ECONNRESET)
	}
}

// LocalAddr returns the address of the machine.
func (c *conn) LocalAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.machine.address, 0))
}

// RemoteAddr returns the address of the other machine.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the time at which reads fail.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing, since writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection.
type stream struct {
	from, to *machine

	mu sync.Mutex
	// under are the bytes under way, in the order in which they were written; arrived are those that can be read.
	under, arrived []byte
	// pumping means that a delivery is scheduled, closing that the writer has closed its end.
	pumping, closing bool
	// void means that what is written vanishes, since the reader is gone and doesn't say so.
	void bool
	// err ends reads once all that arrived is read, and failed at once.
	err, failed error
	deadline    time.Time
	timer       *time.Timer
	// changed is closed, and replaced, when there is something new for a reader.
	changed chan struct{}
}

func newStream(from, to *machine) *stream {
	return &stream{from: from, to: to, changed: make(chan struct{})}
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns what has arrived, or a channel to wait on. Of a passed deadline and bytes, deadlineFirst says which comes first.
func (s *stream) read(p []byte, deadlineFirst bool) (int, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := !s.deadline.IsZero() && !time.Now().Before(s.deadline)
	switch {
	case s.failed != nil:
		return 0, nil, s.failed
	case late && (deadlineFirst || len(s.arrived) == 0):
		return 0, nil, os.ErrDeadlineExceeded
	case len(s.arrived) > 0:
		n := copy(p, s.arrived)
		s.arrived = s.arrived[n:]
		return n, nil, nil
	case s.err != nil:
		return 0, nil, s.err
	default:
		return 0, s.changed, nil
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.void:
		return len(p), nil
	case s.failed != nil || s.closing:
		return 0, net.ErrClosed
	}
	s.under = append(s.under, p...)
	s.pump(networkDelay)
	return len(p), nil
}

// pump schedules the delivery of what is under way; the caller holds the lock.
func (s *stream) pump(after time.Duration) {
	if s.pumping {
		return
	}
	s.pumping = true
	time.AfterFunc(after, s.deliver)
}

// deliver lets what is under way arrive, unless it is held up. What a machine writes while it stands still leaves once it goes on.
func (s *stream) deliver() {
	passes := s.from.network.passes(s.from.address, s.to.address) && s.from.isThawed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pumping = false
	if !passes {
		s.pump(resendInterval)
		return
	}
	s.arrived, s.under = append(s.arrived, s.under...), nil
	if s.closing && s.err == nil {
		s.err = net.ErrClosed
	}
	s.notify()
}

func (s *stream) endWriting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.pump(networkDelay)
}

func (s *stream) endReading(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = err
		s.notify()
	}
}

// end ends reads; what is written from now on vanishes if the reader doesn't say that it is gone.
func (s *stream) end(silent bool) {
	s.mu.Lock()
	s.void = silent
	s.mu.Unlock()
	s.endReading(syscall.ECONNRESET)
}

// drop loses what is under way.
func (s *stream) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.under, s.closing = nil, true
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	if s.timer != nil {
		s.timer.Stop()
	}
	left := time.Until(t)
	switch {
	case t.IsZero():
		return
	case left <= 0:
		s.notify()
		return
	}
	s.timer = time.AfterFunc(left, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notify()
	})
}
