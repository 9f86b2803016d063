package guard_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"cowslipstack/internal/base/budget"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/guard"
)

// fakeConn is a connection whose reads and writes take as long as the script says.
type fakeConn struct {
	net.Conn

	t                           *testing.T
	clock                       *clock.Manual
	name, client                string
	closed                      bool
	takes                       time.Duration
	readDeadline, writeDeadline time.Time
}

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) + ":1" }

func (c *fakeConn) RemoteAddr() net.Addr { return address(c.client) }

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return nil
}

func (c *fakeConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return nil
}

// pass lets the time of a read or write pass; it fails at the deadline.
func (c *fakeConn) pass(deadline time.Time) error {
	if now := c.clock.Now(); !deadline.IsZero() && deadline.Before(now.Add(c.takes)) {
		c.clock.Advance(max(0, deadline.Sub(now)))
		return os.ErrDeadlineExceeded
	}
	c.clock.Advance(c.takes)
	return nil
}

func (c *fakeConn) Read(p []byte) (int, error) {
	if err := c.pass(c.readDeadline); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *fakeConn) Write(p []byte) (int, error) {
	if err := c.pass(c.writeDeadline); err != nil {
		return 0, err
	}
	return len(p), nil
}

// fakeListener returns connections, or an error where there is none.
type fakeListener struct {
	net.Listener

	next []net.Conn
	// failures is how often Accept fails for lack of descriptors before it returns a connection.
	failures int
	clock    *clock.Manual
}

func (l *fakeListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		// The pause before the next attempt ends at once.
		go func() {
			for range 1000 {
				l.clock.Advance(time.Millisecond)
				time.Sleep(time.Microsecond)
			}
		}()
		return nil, syscall.EMFILE
	}
	if len(l.next) == 0 {
		return nil, io.EOF
	}
	conn := l.next[0]
	l.next = l.next[1:]
	return conn, nil
}

// TestScripts runs the scripts in testdata. They guard against connections, bodies and answers beyond their limits, and
// against limits that end what is within them. Times are in milliseconds; the limits are those of newScript.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, s.run)
	})
}

type script struct {
	clock  *clock.Manual
	budget *budget.Budget
	guard  *guard.Guard
	inner  *fakeListener
	fakes  []*fakeConn
	conns  map[string]net.Conn
	bodies map[string]*guard.Body
}

func newScript(t *testing.T) *script {
	t.Helper()
	c := clock.NewManual(time.UnixMilli(0))
	b := budget.New(map[budget.Class]budget.Limits{budget.Peers: {Bytes: 1000, ClientBytes: 1000, MinStall: 100 * time.Millisecond}})
	s := &script{clock: c, budget: b, inner: &fakeListener{clock: c}, conns: map[string]net.Conn{}, bodies: map[string]*guard.Body{}}
	s.guard = guard.New(guard.Options{
		Name: "test", Budget: b, Class: budget.Peers, Clock: c, Logger: zap.NewNop(),
		Limits: guard.Limits{
			Connections: 3, ClientConnections: 2, Stall: 200 * time.Millisecond, Body: time.Second, Answer: time.Second, MinRate: 100,
			MinQuiet: 100 * time.Millisecond,
		},
	})
	return s
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var name, client string
	n, takes, times := 0, 0, 1
	d.MaybeScanArgs(t, "conn", &name)
	d.MaybeScanArgs(t, "client", &client)
	d.MaybeScanArgs(t, "bytes", &n)
	d.MaybeScanArgs(t, "takes", &takes)
	d.MaybeScanArgs(t, "times", &times)
	for _, f := range s.fakes {
		f.takes = time.Duration(takes) * time.Millisecond
	}
	var out strings.Builder
	switch d.Cmd {
	case "accept":
		d.MaybeScanArgs(t, "failures", &s.inner.failures)
		f := &fakeConn{t: t, clock: s.clock, name: name, client: client}
		s.fakes = append(s.fakes, f)
		s.inner.next = []net.Conn{f}
		conn, err := s.guard.Listener(s.inner).Accept()
		if err == nil {
			s.conns[name] = conn
			out.WriteString("accepted\n")
		}
	case "advance":
		s.clock.Advance(time.Duration(takes) * time.Millisecond)
	case "begin":
		s.conns[name].(*guard.Conn).Begin()
	case "end":
		s.conns[name].(*guard.Conn).End()
	case "write":
		p, total := make([]byte, n), 0
		var err error
		for i := 0; i < times && err == nil; i++ {
			var written int
			written, err = s.conns[name].Write(p)
			total += written
		}
		fmt.Fprintln(&out, total, err)
	case "open":
		s.bodies[name] = s.guard.OpenFrame(s.conns[name], s.conns[name], int64(n))
	case "read":
		read, err := s.bodies[name].Read(make([]byte, n))
		fmt.Fprintln(&out, read, err)
	case "release":
		s.bodies[name].Release()
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	for _, f := range s.fakes {
		if f.closed {
			fmt.Fprintf(&out, "%s is closed\n", f.name)
			f.closed = false
		}
	}
	if used, _ := s.budget.Used(budget.Peers); used > 0 {
		fmt.Fprintf(&out, "%d bytes\n", used)
	}
	return out.String()
}
