package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/peer"
)

var (
	// ErrNotSent reports that a request was certainly not sent.
	ErrNotSent = errors.New("the other process can't be reached")
	// ErrNoAnswer reports that a request may have been sent and that no response came.
	ErrNoAnswer = errors.New("the other process didn't answer")
	// ErrNotEncoded reports that a request can't be encoded, so that no attempt to send it can succeed.
	ErrNotEncoded = errors.New("the request can't be encoded")
)

const (
	dialTimeout = 500 * time.Millisecond
	// responseTimeout is how long a connection may stay silent after a write before it is closed.
	responseTimeout = 800 * time.Millisecond
	writeTimeout    = time.Second
	// maxQueuedFrames bounds the frames queued for one connection; further frames are dropped.
	maxQueuedFrames = 512
	readBufferBytes = 16 << 10
	// redialBackoff is the pause after a failed attempt to connect.
	redialBackoff = 100 * time.Millisecond
)

// pendingCall is a queued frame.
type pendingCall struct {
	frame *peer.Link
	// response receives the outcome of a request; it is nil for a one-way message.
	response chan result
	// caller ends once nobody waits for the response; nil for a one-way message.
	caller context.Context
	// sent reports whether the frame was handed to a connection, and abandoned that it won't be. The mutex of peerConn guards both.
	sent, abandoned bool
}

type result struct {
	frame *peer.Link
	err   error
}

// peerConn is the keep-alive connection to one address.
type peerConn struct {
	address string
	clock   clock.Clock
	logger  *zap.Logger
	dialer  Dialer
	// deliver handles incoming one-way frames.
	deliver func(context.Context, *peer.Link)
	queue   chan *pendingCall

	mu sync.Mutex
	// lastID is the last request ID given out. IDs start at 1; ID 0 marks a one-way frame.
	lastID  uint64
	pending map[uint64]*pendingCall
	// deadlineSet reports whether a read deadline is set, that is whether the peer owes a frame.
	deadlineSet bool
	// reachable reports whether the last attempt to connect succeeded. Only run uses it.
	reachable bool
}

// send queues a one-way frame without blocking. If the queue is full, the frame is dropped.
func (p *peerConn) send(f *peer.Link) {
	select {
	case p.queue <- &pendingCall{frame: f}:
	default:
	}
}

// call sends a request and waits for its response.
func (p *peerConn) call(ctx context.Context, f *peer.Link) (*peer.Link, error) {
	c := &pendingCall{frame: f, response: make(chan result, 1), caller: ctx}
	p.mu.Lock()
	p.lastID++
	f.Call = p.lastID
	p.pending[f.GetCall()] = c
	p.mu.Unlock()
	defer p.removePending(f.GetCall())
	select {
	case p.queue <- c:
	default:
		return nil, errors.Wrap(ErrNotSent, "too much waits for the connection")
	}
	select {
	case r := <-c.response:
		return r.frame, r.err
	case <-ctx.Done():
		if p.abandon(c) {
			return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
		}
		return nil, errors.Wrap(ErrNoAnswer, ctx.Err().Error())
	}
}

// abandon keeps a request from being sent, and reports whether it wasn't sent before.
func (p *peerConn) abandon(c *pendingCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.abandoned = !c.sent
	return c.abandoned
}

func (p *peerConn) removePending(id uint64) {
	p.mu.Lock()
	delete(p.pending, id)
	p.mu.Unlock()
}

// run keeps the connection open until the context ends. It dials when there is a frame to send.
func (p *peerConn) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-p.queue:
			conn, err := p.dial(ctx)
			p.setReachable(err)
			if err != nil {
				p.failQueued(first)
				clock.Sleep(ctx, p.clock, redialBackoff)
				continue
			}
			p.serve(ctx, conn, first)
		}
	}
}

func (p *peerConn) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.dialer.DialContext(ctx, "tcp", p.address)
}

// setReachable records the result of a dial and logs when the other process becomes reachable or unreachable.
func (p *peerConn) setReachable(err error) {
	switch {
	case err != nil && p.reachable:
		p.logger.Info("peer_lost", zap.String("address", p.address), zap.String("cause", err.Error()))
	case err == nil && !p.reachable:
		p.logger.Info("peer_reached", zap.String("address", p.address))
	}
	p.reachable = err == nil
}

// failQueued fails first and all queued requests with ErrNotSent, and drops queued one-way frames.
func (p *peerConn) failQueued(first *pendingCall) {
	for c := first; ; {
		if c.response != nil {
			c.response <- result{err: ErrNotSent}
		}
		select {
		case c = <-p.queue:
		default:
			return
		}
	}
}

// serve writes and reads frames over a connection until it breaks, then fails the requests already sent.
func (p *peerConn) serve(ctx context.Context, conn net.Conn, first *pendingCall) {
	writeCtx, cancel := context.WithCancel(ctx)
	readDone := make(chan error, 1)
	go func() {
		readDone <- p.read(ctx, conn)
		cancel()
	}()
	err := p.write(writeCtx, conn, first)
	cancel()
	closeErr := conn.Close()
	cause := errors.CombineErrors(err, errors.CombineErrors(<-readDone, closeErr))
	p.logger.Debug("connection_ended", zap.String("address", p.address), zap.Error(cause))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadlineSet = false
	for id, c := range p.pending {
		if c.sent {
			c.response <- result{err: ErrNoAnswer}
			delete(p.pending, id)
		}
	}
}

func (p *peerConn) write(ctx context.Context, conn net.Conn, c *pendingCall) error {
	var buffer []byte
	for {
		buffer = buffer[:0]
		for hasMore := true; hasMore; {
			buffer = p.encode(buffer, c)
			select {
			case c = <-p.queue:
			default:
				hasMore = false
			}
		}
		if err := p.flush(conn, buffer); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case c = <-p.queue:
		}
	}
}

// encode appends a queued frame to the buffer, unless nobody waits for its response any more. One that can't be encoded is logged
// and fails alone.
func (p *peerConn) encode(buffer []byte, c *pendingCall) []byte {
	longer, err := appendFrame(buffer, c.frame)
	if err != nil {
		p.logger.Warn("frame_not_encoded", zap.String("address", p.address), zap.Error(err))
		if c.response != nil {
			c.response <- result{err: errors.Wrap(ErrNotEncoded, err.Error())}
		}
		return buffer
	}
	if !p.beginSending(c) {
		return buffer
	}
	return longer
}

// flush writes the encoded frames, if there are any.
func (p *peerConn) flush(conn net.Conn, buffer []byte) error {
	if len(buffer) == 0 {
		return nil
	}
	if err := conn.SetWriteDeadline(p.clock.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	p.setReadDeadline(conn)
	_, err := conn.Write(buffer)
	return errors.Wrap(err, "write frames")
}

// beginSending reports whether a frame is to be sent. A request is marked, so that a broken connection fails it with ErrNoAnswer.
func (p *peerConn) beginSending(c *pendingCall) bool {
	if c.response == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.abandoned = c.abandoned || c.caller.Err() != nil
	c.sent = !c.abandoned
	return c.sent
}

// setReadDeadline sets a read deadline after a write, unless one is set already.
func (p *peerConn) setReadDeadline(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.deadlineSet {
		return
	}
	p.deadlineSet = true
	if err := conn.SetReadDeadline(p.clock.Now().Add(responseTimeout)); err != nil {
		p.logger.Debug("connection_ended", zap.String("address", p.address), zap.Error(err))
	}
}

func (p *peerConn) read(ctx context.Context, conn net.Conn) error {
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		f, err := readFrame(reader)
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.deadlineSet = false
		err = conn.SetReadDeadline(time.Time{})
		c := p.pending[f.GetCall()]
		delete(p.pending, f.GetCall())
		p.mu.Unlock()
		if err != nil {
			return errors.Wrap(err, "clear read deadline")
		}
		if c != nil {
			c.response <- result{frame: f}
		} else if f.GetCall() == 0 {
			p.deliver(ctx, f)
		}
	}
}
