package link_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"cowslipstack/internal/base/budget"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/guard"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
)

// callTimeout bounds each call of a script; it allows for a busy machine.
const callTimeout = 30 * time.Second

// handler answers a call with its path; it holds back the answers of paths that begin with "held" until the script
// releases them.
type handler struct {
	received chan string
	release  chan struct{}

	mu sync.Mutex
	// paths are those of all calls so far.
	paths []string
}

func (h *handler) Answer(ctx context.Context, f *peer.Link) *peer.Link {
	path := f.GetRequest().GetState().GetPath()
	h.mu.Lock()
	h.paths = append(h.paths, path)
	h.mu.Unlock()
	if strings.HasPrefix(path, "held") {
		h.received <- path
		select {
		case <-h.release:
		case <-ctx.Done():
			return nil
		}
	}
	return frameOf(path)
}

func (h *handler) Deliver(context.Context, *peer.Link) *peer.Link { return nil }

func frameOf(path string) *peer.Link {
	return &peer.Link{Body: &peer.Link_Request{Request: &peer.LinkCall{State: &peer.LinkLookup{Path: path}}}}
}

// TestScripts makes the calls of the scripts in testdata to a server; "hold" begins a call that "release" answers.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := &handler{received: make(chan string), release: make(chan struct{})}
		connections, address := start(t, h)
		callAt := func(address, text string) string {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			answer, err := connections.Call(ctx, address, frameOf(text))
			if err != nil {
				return err.Error() + "\n"
			}
			return "answered " + answer.GetRequest().GetState().GetPath() + "\n"
		}
		call := func(text string) string { return callAt(address, text) }
		held := make(chan string, 1)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "hold":
				go func() { held <- call("held") }()
				return "received " + <-h.received + "\n"
			case "release":
				close(h.release)
				return <-held
			case "call-given-up":
				return callGivenUp(t, h, address, d.Input)
			case "call":
				return call(d.Input)
			case "call-bytes":
				return call("\xff")
			case "call-addresses":
				out := ""
				for _, odd := range strings.Split(d.Input, "\n") {
					out += odd + ": " + callAt(odd, "text")
				}
				return out
			case "call-large":
				return call(strings.Repeat("x", 9<<20))
			default:
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
				return ""
			}
		})
	})
}

// callGivenUp makes a call whose caller gives up before the connection is made, and another one that makes it. It prints the outcome of
// the first, and which calls have reached the server.
func callGivenUp(t *testing.T, h *handler, address, text string) string {
	t.Helper()
	is := is.New(t)
	connections := link.NewConnections(clock.System{}, zap.NewNop(), func(context.Context, *peer.Link) {})
	gone, leave := context.WithCancel(t.Context())
	leave()
	_, givenUp := connections.Call(gone, address, frameOf(text))
	is.True(givenUp != nil)
	ctx, stop := context.WithTimeout(t.Context(), callTimeout)
	ended := make(chan error, 1)
	go func() { ended <- connections.Run(ctx) }()
	_, err := connections.Call(ctx, address, frameOf("next"))
	is.NoErr(err)
	stop()
	is.NoErr(<-ended)
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("not sent: %t\nthe server got %v\n", errors.Is(givenUp, link.ErrNotSent), h.paths)
}

// start starts a server, and connections that call it; both end with the test.
func start(t *testing.T, h link.Handler) (*link.Connections, string) {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// On this clock no deadline of a connection passes while the script runs.
	ahead := clock.NewManual(time.Now().Add(time.Hour))
	const frameBytes = 64 << 20
	limits := budget.Limits{Bytes: frameBytes, ClientBytes: frameBytes}
	protection := guard.New(guard.Options{
		Name: "peers", Class: budget.Peers, Clock: ahead, Logger: zap.NewNop(),
		Budget: budget.New(map[budget.Class]budget.Limits{budget.Peers: limits}),
		Limits: guard.Limits{Connections: 8, ClientConnections: 8, Stall: callTimeout, Body: callTimeout, Answer: callTimeout, MinRate: 1},
	})
	server := &link.Server{Listener: protection.Listener(listener), Handler: h, Clock: ahead, Guard: protection, Logger: zap.NewNop()}
	connections := link.NewConnections(ahead, zap.NewNop(), func(context.Context, *peer.Link) {})
	ctx, stop := context.WithCancel(context.Background())
	ends := make(chan error, 2)
	go func() { ends <- server.Run(ctx) }()
	go func() { ends <- connections.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		for range cap(ends) {
			if err := <-ends; err != nil {
				t.Error(err)
			}
		}
	})
	return connections, listener.Addr().String()
}
