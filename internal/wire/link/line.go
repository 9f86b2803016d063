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
	// ErrNotSent says that a call never left this process.
	ErrNotSent = errors.New("the other process can't be reached")
	// ErrNoAnswer says that a call was sent and its answer didn't come.
	ErrNoAnswer = errors.New("the other process didn't answer")
)

const (
	dialTimeout = 500 * time.Millisecond
	// silence is how long a connection may stay silent after something was sent over it.
	silence      = 800 * time.Millisecond
	writeTimeout = time.Second
	// framesWaiting bounds the frames that wait for one connection; beyond it they are lost.
	framesWaiting = 512
	bufferBytes   = 16 << 10
	// redialPause spaces attempts to reach a process that isn't there.
	redialPause = 100 * time.Millisecond
)

// call is one call that waits for its answer.
type call struct {
	frame *peer.Link
	done  chan result
	// sent says that the frame was handed to a connection; the line's lock guards it.
	sent bool
}

type result struct {
	frame *peer.Link
	err   error
}

// line is the kept connection to one address.
type line struct {
	address string
	clock   clock.Clock
	logger  *zap.Logger
	// deliver takes frames that answer no call.
	deliver func(*peer.Link)
	out     chan *call

	mu      sync.Mutex
	next    uint64
	pending map[uint64]*call
	armed   bool
	// reached says whether the last attempt to connect worked.
	reached bool
}

// send queues a frame that nobody waits for, and returns at once; it is lost where too many wait.
func (l *line) send(f *peer.Link) {
	select {
	case l.out <- &call{frame: f}:
	default:
	}
}

// call sends a frame and waits for its answer.
func (l *line) call(ctx context.Context, f *peer.Link) (*peer.Link, error) {
	c := &call{frame: f, done: make(chan result, 1)}
	l.mu.Lock()
	l.next++
	f.Call = l.next
	l.pending[f.GetCall()] = c
	l.mu.Unlock()
	defer l.forget(f.GetCall())
	select {
	case l.out <- c:
	default:
		return nil, errors.Wrap(ErrNotSent, "too much waits for the connection")
	}
	select {
	case r := <-c.done:
		return r.frame, r.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrNoAnswer, ctx.Err().Error())
	}
}

func (l *line) forget(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

// run keeps the connection until the context ends; it dials when there is something to send.
func (l *line) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.out:
			dialer := net.Dialer{Timeout: dialTimeout}
			conn, err := dialer.DialContext(ctx, "tcp", l.address)
			l.note(err)
			if err != nil {
				l.refuse(first)
				clock.Sleep(ctx, l.clock, redialPause)
				continue
			}
			l.serve(ctx, conn, first)
		}
	}
}

// note logs that the other process was lost or regained.
func (l *line) note(err error) {
	switch {
	case err != nil && l.reached:
		l.logger.Info("peer_lost", zap.String("address", l.address), zap.String("cause", err.Error()))
	case err == nil && !l.reached:
		l.logger.Info("peer_reached", zap.String("address", l.address))
	}
	l.reached = err == nil
}

// refuse fails what waits to be sent.
func (l *line) refuse(first *call) {
	for c := first; ; {
		if c.done != nil {
			c.done <- result{err: ErrNotSent}
		}
		select {
		case c = <-l.out:
		default:
			return
		}
	}
}

// serve writes and reads over a connection until it breaks.
func (l *line) serve(ctx context.Context, conn net.Conn, first *call) {
	ctx, cancel := context.WithCancel(ctx)
	broken := make(chan error, 1)
	go func() {
		broken <- l.read(conn)
		cancel()
	}()
	err := l.write(ctx, conn, first)
	cancel()
	closed := conn.Close()
	cause := errors.CombineErrors(err, errors.CombineErrors(<-broken, closed))
	l.logger.Debug("connection_ended", zap.String("address", l.address), zap.Error(cause))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed = false
	for id, c := range l.pending {
		if c.sent {
			c.done <- result{err: ErrNoAnswer}
			delete(l.pending, id)
		}
	}
}

func (l *line) write(ctx context.Context, conn net.Conn, c *call) error {
	var buffer []byte
	for {
		buffer = buffer[:0]
		for more := true; more; {
			var err error
			if buffer, err = appendFrame(buffer, c.frame); err != nil {
				return err
			}
			l.mark(c)
			select {
			case c = <-l.out:
			default:
				more = false
			}
		}
		if err := conn.SetWriteDeadline(l.clock.Now().Add(writeTimeout)); err != nil {
			return errors.Wrap(err, "set the time limit of a write")
		}
		l.arm(conn)
		if _, err := conn.Write(buffer); err != nil {
			return errors.Wrap(err, "write frames")
		}
		select {
		case <-ctx.Done():
			return nil
		case c = <-l.out:
		}
	}
}

// mark notes that a call is being sent, so that its failure is told as unknown.
func (l *line) mark(c *call) {
	if c.done == nil {
		return
	}
	l.mu.Lock()
	c.sent = true
	l.mu.Unlock()
}

// arm bounds the silence that may follow a write.
func (l *line) arm(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.armed {
		return
	}
	l.armed = true
	if err := conn.SetReadDeadline(l.clock.Now().Add(silence)); err != nil {
		l.logger.Debug("connection_ended", zap.String("address", l.address), zap.Error(err))
	}
}

func (l *line) read(conn net.Conn) error {
	from := bufio.NewReaderSize(conn, bufferBytes)
	for {
		f, err := readFrame(from)
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.armed = false
		err = conn.SetReadDeadline(time.Time{})
		c := l.pending[f.GetCall()]
		delete(l.pending, f.GetCall())
		l.mu.Unlock()
		if err != nil {
			return errors.Wrap(err, "set the time limit of a read")
		}
		if c != nil {
			c.done <- result{frame: f}
		} else if f.GetCall() == 0 {
			l.deliver(f)
		}
	}
}
