package link

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/guard"
	"cowslipstack/internal/wire/peer"
)

// Handler handles the frames of other processes. Its methods are called concurrently.
type Handler interface {
	// Answer handles a request and returns its response, or nil for none. Each call has a goroutine of its own
	// and may block.
	Answer(ctx context.Context, f *peer.Link) *peer.Link
	// Deliver handles a one-way message and returns a message to send back, or nil. Until it returns, no further
	// frame of the connection is read.
	Deliver(ctx context.Context, f *peer.Link) *peer.Link
}

// Server accepts connections of other processes.
type Server struct {
	// Listener accepts the connections; Run closes it.
	Listener net.Listener
	// Handler handles the received frames.
	Handler Handler
	// Clock sets the write deadlines.
	Clock clock.Clock
	// Guard bounds what the clients may take.
	Guard *guard.Guard
	// Logger receives the server's events.
	Logger *zap.Logger
}

// Run serves until the context ends, and returns once all connections are closed.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if err := s.Listener.Close(); err != nil {
			s.Logger.Debug("listener_not_closed", zap.Error(err))
		}
	})
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := s.Listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer connection")
		}
		conns.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	w := &responseWriter{conn: conn, clock: s.Clock}
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		f, release, err := readGuarded(s.Guard, conn, reader)
		if err != nil {
			s.Logger.Debug("connection_ended", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
			return
		}
		if f.GetCall() == 0 {
			if response := s.Handler.Deliver(ctx, f); response != nil {
				s.write(w, response)
			}
			release()
			continue
		}
		calls.Go(func() {
			defer release()
			if response := s.Handler.Answer(ctx, f); response != nil {
				response.Call = f.GetCall()
				s.write(w, response)
			}
		})
	}
}

func (s *Server) write(w *responseWriter, f *peer.Link) {
	if err := w.write(f); err != nil {
		s.Logger.Debug("answer_not_sent", zap.Stringer("address", w.conn.RemoteAddr()), zap.Error(err))
	}
}

// responseWriter writes frames to one connection. It is safe for concurrent use.
type responseWriter struct {
	conn   net.Conn
	clock  clock.Clock
	mu     sync.Mutex
	buffer []byte
}

func (w *responseWriter) write(f *peer.Link) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var err error
	if w.buffer, err = appendFrame(w.buffer[:0], f); err != nil {
		return err
	}
	if err := w.conn.SetWriteDeadline(w.clock.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	_, err = w.conn.Write(w.buffer)
	return errors.Wrap(err, "write response")
}
