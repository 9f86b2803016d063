package link

import (
	"context"
	"net"
	"sync"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/peer"
)

// Dialer opens connections to other processes.
type Dialer interface {
	// DialContext opens a connection to an address of a network.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Connections holds the keep-alive connections to other processes, by address. It is safe for concurrent use.
type Connections struct {
	clock   clock.Clock
	logger  *zap.Logger
	deliver func(context.Context, *peer.Link)
	start   chan *peerConn
	dialer  Dialer

	mu    sync.Mutex
	conns map[string]*peerConn
}

// NewConnections returns a connection set that passes incoming one-way frames to deliver, with the
// context of Run.
func NewConnections(clk clock.Clock, logger *zap.Logger, deliver func(context.Context, *peer.Link)) *Connections {
	return &Connections{
		clock: clk, logger: logger, deliver: deliver, start: make(chan *peerConn, maxQueuedFrames), dialer: &net.Dialer{},
		conns: map[string]*peerConn{},
	}
}

// UseDialer replaces the dialer of the operating system; it must be called before Run.
func (c *Connections) UseDialer(d Dialer) { c.dialer = d }

// Run runs the goroutines of the connections until the context ends, and returns once all have ended.
func (c *Connections) Run(ctx context.Context) error {
	done := make(chan struct{})
	count := 0
	for {
		select {
		case <-ctx.Done():
			for ; count > 0; count-- {
				<-done
			}
			return nil
		case conn := <-c.start:
			count++
			go func() {
				conn.run(ctx)
				done <- struct{}{}
			}()
		}
	}
}

// Send queues a one-way frame without blocking; it may be lost.
func (c *Connections) Send(address string, f *peer.Link) {
	c.conn(address).send(f)
}

// Call sends a request and waits for its response. It fails with ErrNotSent or ErrNoAnswer.
func (c *Connections) Call(ctx context.Context, address string, f *peer.Link) (*peer.Link, error) {
	return c.conn(address).call(ctx, f)
}

// conn returns the connection to an address and starts it on first use.
func (c *Connections) conn(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		conn = &peerConn{
			address: address, clock: c.clock, logger: c.logger, deliver: c.deliver, dialer: c.dialer,
			queue: make(chan *pendingCall, maxQueuedFrames), pending: map[uint64]*pendingCall{},
		}
		c.conns[address] = conn
		c.start <- conn
	}
	return conn
}
