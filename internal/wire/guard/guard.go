package guard

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cowslipstack/internal/base/budget"
	"cowslipstack/internal/base/clock"
)

// Limits bounds the connections of a listener and what its clients may take.
type Limits struct {
	// Connections and ClientConnections bound the open connections in total and per client address.
	Connections, ClientConnections int
	// Header is how long a client may take to send a header, Idle how long a connection may wait for a request.
	Header, Idle time.Duration
	// Stall is how long a body may make no progress.
	Stall time.Duration
	// Body is how long a body may take in addition to its bytes at MinRate; Answer is the same for reading an answer.
	Body, Answer time.Duration
	// MinRate is the minimum transfer rate in bytes per second.
	MinRate int64
	// MinQuiet is how long a connection must have been quiet before it may be closed for another one.
	MinQuiet time.Duration
}

// Options configures a Guard; all fields but Classify, MaxCounted and Connect are required.
type Options struct {
	// Name is the listener's name in logs and metrics.
	Name string
	// Limits bounds the listener.
	Limits Limits
	// Budget counts the bytes of bodies.
	Budget *budget.Budget
	// Class is the kind of the listener's clients.
	Class budget.Class
	// Classify returns the kind of a request's client; nil if all are of Class.
	Classify func(*http.Request) budget.Class
	// MaxCounted is the number of bytes of a body that its handler holds at most; 0 if it holds the whole body.
	MaxCounted int64
	// Connect is set if the handlers are those of package connect, whose errors have codes.
	Connect bool
	// Clock is the time source.
	Clock clock.Clock
	// Logger receives the events.
	Logger *zap.Logger
}

// Guard protects one listener; it is safe for concurrent use.
type Guard struct {
	options Options

	mu      sync.Mutex
	conns   map[*Conn]struct{}
	clients map[string]int
	// logged is when the last event was logged, unlogged how many have come since.
	logged   time.Time
	unlogged int
}

// New returns a guard; it starts no goroutine.
func New(o Options) *Guard {
	return &Guard{options: o, conns: map[*Conn]struct{}{}, clients: map[string]int{}}
}

// Count returns the number of open connections.
func (g *Guard) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Causes of what a guard ends, in logs and metrics.
const (
	causeConnections       = "connections"
	causeClientConnections = "client-connections"
	causeDescriptors       = "descriptors"
	causeBytes             = "bytes"
	causeDropped           = "dropped"
	causeSlowBody          = "slow-body"
	causeSlowAnswer        = "slow-answer"
)

// logInterval is the shortest time between two log lines of a guard; an overload has thousands of events a second.
const logInterval = time.Second

// record counts an event and logs it, with the number of those that were not logged.
func (g *Guard) record(cause, client string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cowslip_overload_total{listener=%q,cause=%q}", g.options.Name, cause)).Inc()
	now := g.options.Clock.Now()
	g.mu.Lock()
	unlogged := g.unlogged
	due := now.Sub(g.logged) >= logInterval
	if due {
		g.logged, g.unlogged = now, 0
	} else {
		g.unlogged++
	}
	count := len(g.conns)
	g.mu.Unlock()
	if due {
		g.options.Logger.Warn("overload_limited", zap.String("listener", g.options.Name), zap.String("cause", cause), zap.String("client", client),
			zap.Int("connections", count), zap.Int("not_logged", unlogged))
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Configure sets what the guard needs in a server: its handler, which must be set already, is wrapped.
func (g *Guard) Configure(s *http.Server) {
	s.Handler = g.wrap(s.Handler)
	s.ReadHeaderTimeout = g.options.Limits.Header
	s.IdleTimeout = g.options.Limits.Idle
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if t, ok := c.(*tls.Conn); ok {
			c = t.NetConn()
		}
		if own, ok := c.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, own)
		}
		return ctx
	}
}

// wrap returns a handler that marks the connection as in use and bounds the body.
func (g *Guard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			c.Begin()
			defer c.End()
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		class := g.options.Class
		if g.options.Classify != nil {
			class = g.options.Classify(r)
		}
		body := g.open(class, r.RemoteAddr, r.Body, r.ContentLength, http.NewResponseController(w).SetReadDeadline)
		defer body.Release()
		if g.options.Connect {
			body.failed = func() { w.Header().Set("Retry-After", retryAfterS) }
			body.reserveExpanded(r.Header, r.ContentLength)
		}
		r.Body = body
		next.ServeHTTP(&responseWriter{ResponseWriter: w, body: body}, r)
	})
}

// retryAfterS is after how many seconds a refused client should retry.
const retryAfterS = "1"

// MaxConnectBytes bounds a message of package connect once it is decompressed; WithReadMaxBytes sets it. The largest is a
// configuration of 4 MiB with the message around it.
const MaxConnectBytes = 4<<20 + 1<<10

// responseWriter passes read deadlines that a handler sets to the body, which has deadlines of its own.
type responseWriter struct {
	http.ResponseWriter

	body *Body
}

// SetReadDeadline sets the time by which the handler wants to have read the body.
func (w *responseWriter) SetReadDeadline(t time.Time) error { return w.body.setHandlerDeadline(t) }

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush sends what is buffered.
func (w *responseWriter) Flush() {
	_ = http.NewResponseController(w.ResponseWriter).Flush() // A failed connection shows in the next write.
}

// clientOf returns the host of an address.
func clientOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}
