package link

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/peer"
)

// Handler takes what other processes send.
type Handler interface {
	// Answer answers a call; it may wait.
	Answer(ctx context.Context, f *peer.Link) *peer.Link
	// Deliver takes a message that nobody waits for, and returns one to send back, or nil.
	Deliver(ctx context.Context, f *peer.Link) *peer.Link
}

// Server takes connections of other processes.
type Server struct {
	// Listener is where they connect.
	Listener net.Listener
	// Handler takes their frames.
	Handler Handler
	// Clock bounds writes.
	Clock clock.Clock
	// Logger takes the server's events.
	Logger *zap.Logger
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if err := s.Listener.Close(); err != nil {
			s.Logger.Debug("listener_not_closed", zap.Error(err))
		}
	})
	defer stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		conn, err := s.Listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept a connection of another process")
		}
		open.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	w := &answers{conn: conn, clock: s.Clock}
	from := bufio.NewReaderSize(conn, bufferBytes)
	for {
		f, err := readFrame(from)
		if err != nil {
			s.Logger.Debug("connection_ended", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
			return
		}
		if f.GetCall() == 0 {
			if answer := s.Handler.Deliver(ctx, f); answer != nil {
				s.write(w, answer)
			}
			continue
		}
		calls.Go(func() {
			if answer := s.Handler.Answer(ctx, f); answer != nil {
				answer.Call = f.GetCall()
				s.write(w, answer)
			}
		})
	}
}

func (s *Server) write(w *answers, f *peer.Link) {
	if err := w.write(f); err != nil {
		s.Logger.Debug("answer_not_sent", zap.Stringer("address", w.conn.RemoteAddr()), zap.Error(err))
	}
}

// answers writes the answers of one connection, one at a time.
type answers struct {
	conn   net.Conn
	clock  clock.Clock
	mu     sync.Mutex
	buffer []byte
}

func (w *answers) write(f *peer.Link) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var err error
	if w.buffer, err = appendFrame(w.buffer[:0], f); err != nil {
		return err
	}
	if err := w.conn.SetWriteDeadline(w.clock.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set the time limit of a write")
	}
	_, err = w.conn.Write(w.buffer)
	return errors.Wrap(err, "write answer")
}
