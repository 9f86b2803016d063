package guard

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// listener accepts connections within the limits of its guard.
type listener struct {
	net.Listener

	guard  *Guard
	once   sync.Once
	closed chan struct{}
}

// Listener returns a listener that accepts the connections of another one within the guard's limits.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g, closed: make(chan struct{})}
}

// acceptPause is the time between attempts to accept while the process has no descriptor left.
const acceptPause = 50 * time.Millisecond

// Accept returns the next connection that is within the limits; it closes the others. A lack of descriptors isn't an
// error: a quiet connection is closed to get one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.guard.record(causeDescriptors, "")
			if quiet := l.guard.longestQuiet(""); quiet != nil {
				_ = quiet.Close()
			}
			timer := l.guard.options.Clock.NewTimer(acceptPause)
			select {
			case <-l.closed:
			case <-timer.C():
			}
			timer.Stop()
			continue
		}
		if err != nil {
			return nil, err
		}
		if own := l.guard.admit(conn); own != nil {
			return own, nil
		}
		_ = conn.Close()
	}
}

// Close closes the listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit registers a connection. At a limit it closes the connection that has been quiet for longest, of the same client
// where that client's limit is reached; it returns nil if there is none.
func (g *Guard) admit(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, guard: g, client: clientOf(inner.RemoteAddr().String())}
	c.touch()
	for {
		g.mu.Lock()
		var cause, of string
		switch {
		case g.clients[c.client] >= g.options.Limits.ClientConnections:
			cause, of = causeClientConnections, c.client
		case len(g.conns) >= g.options.Limits.Connections:
			cause = causeConnections
		default:
			g.conns[c] = struct{}{}
			g.clients[c.client]++
			g.mu.Unlock()
			return c
		}
		g.mu.Unlock()
		quiet := g.longestQuiet(of)
		if quiet == nil {
			g.record(cause, c.client)
			return nil
		}
		g.record(cause, quiet.client)
		_ = quiet.Close()
	}
}

// longestQuiet returns the connection without a request that has been quiet for longest, of one client if it isn't empty;
// nil if none has been quiet for MinQuiet.
func (g *Guard) longestQuiet(client string) *Conn {
	newest := g.options.Clock.Now().Add(-g.options.Limits.MinQuiet).UnixNano()
	var quiet *Conn
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if at := c.moved.Load(); c.serving.Load() == 0 && at <= newest && (client == "" || c.client == client) {
			quiet, newest = c, at
		}
	}
	return quiet
}

// forget removes a closed connection.
func (g *Guard) forget(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	if g.clients[c.client]--; g.clients[c.client] <= 0 {
		delete(g.clients, c.client)
	}
}
