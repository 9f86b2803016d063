package site

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"cowslipstack/internal/base/budget"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/wire/guard"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
)

// answerer answers each one-way frame with one of its own.
type answerer struct {
	answer *peer.Link
	// answered receives a value for each answer.
	answered chan struct{}
}

// Answer answers no request.
func (a *answerer) Answer(context.Context, *peer.Link) *peer.Link { return nil }

// Deliver returns the answer.
func (a *answerer) Deliver(context.Context, *peer.Link) *peer.Link {
	a.answered <- struct{}{}
	return a.answer
}

const (
	// stopRounds is how often a process is stopped, since an answer may arrive before or after its control loop has ended.
	stopRounds = 20
	// queuedEvents are the events that the control loop has yet to run when it is told to end.
	queuedEvents = 64
	// hangTimeout is how long a stop may take that doesn't hang.
	hangTimeout = 20 * time.Second
)

// TestStopWhileMessagesArrive stops a process while another one answers it and its control loop ends before it has handled
// the answer.
func TestStopWhileMessagesArrive(t *testing.T) {
	is := is.New(t)
	frame := quorumFrame([]quorum.Message{{Kind: quorum.MessageAppended, From: 1, To: 2, Term: 1}})
	a := &answerer{answer: frame, answered: make(chan struct{}, stopRounds)}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	protection := guard.New(guard.Options{
		Name: "peers", Class: budget.Peers, Clock: clock.System{}, Logger: zap.NewNop(),
		Budget: budget.New(map[budget.Class]budget.Limits{budget.Peers: {Bytes: 1 << 20, ClientBytes: 1 << 20}}),
		Limits: guard.Limits{Connections: 8, ClientConnections: 8, Stall: time.Minute, Body: time.Minute, Answer: time.Minute, MinRate: 1},
	})
	server := &link.Server{Listener: listener, Handler: a, Clock: clock.System{}, Guard: protection, Logger: zap.NewNop()}
	others := tasks.NewGroup(t.Context())
	others.Start("server", server.Run)
	for range stopRounds {
		var g *tasks.Group
		var l *loop.Loop
		var connections *link.Connections
		app := fx.New(testModule(t, testSettings(t)), fx.Populate(&g, &l, &connections))
		is.NoErr(app.Start(t.Context()))
		busy := make(chan struct{})
		g.Start("busy", func(ctx context.Context) error {
			return l.Post(ctx, func() { close(busy); <-ctx.Done() })
		})
		<-busy
		for range queuedEvents {
			is.NoErr(l.TryPost(func() {}))
		}
		connections.Send(listener.Addr().String(), frame)
		<-a.answered
		ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
		is.NoErr(app.Stop(ctx))
		cancel()
	}
	is.NoErr(others.Stop())
}
