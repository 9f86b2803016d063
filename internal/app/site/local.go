package site

import (
	"context"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/edge/proxy"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
)

// local executes calls on this process's scheduler, which is nil if the process has no disk.
type local struct {
	loop      *loop.Loop
	scheduler *sched.Scheduler
	uptime    clock.Uptime
}

// Do executes a call on the control loop and waits for its reply. Errors mean that the outcome is unknown.
func (l *local) Do(ctx context.Context, c *batch.Call) (batch.Reply, error) {
	if l.scheduler == nil {
		return batch.Reply{Code: batch.CodeNotRun, Detail: "this process has no disk"}, nil
	}
	replies := make(chan batch.Reply, 1)
	arrivedMs := l.uptime.Milliseconds()
	execute := func() { l.scheduler.Call(c, arrivedMs, func(r batch.Reply) { replies <- r }) }
	if err := l.loop.Post(ctx, execute); err != nil {
		return batch.Reply{Code: batch.CodeNotRun, Detail: err.Error()}, nil
	}
	select {
	case r := <-replies:
		return r, nil
	case <-ctx.Done():
		return batch.Reply{}, errors.Wrap(ctx.Err(), "wait for the reply")
	}
}

// remote calls other processes over keep-alive connections.
type remote struct {
	connections *link.Connections
}

// Do sends a call to the process at an address; the error is marked proxy.ErrNotSent if the call was never sent.
func (r *remote) Do(ctx context.Context, address string, c *batch.Call) (batch.Reply, error) {
	answer, err := r.connections.Call(ctx, address, &peer.Link{Body: &peer.Link_Request{Request: codec.CallToWire(c)}})
	if errors.Is(err, link.ErrNotSent) {
		return batch.Reply{}, errors.Mark(err, proxy.ErrNotSent)
	}
	if errors.Is(err, link.ErrNotEncoded) {
		return batch.Reply{Code: batch.CodeInvalid, Detail: err.Error()}, nil
	}
	if err != nil {
		return batch.Reply{}, err
	}
	return codec.ReplyFromWire(answer.GetReply()), nil
}

// leaderTracker reports the leader that the membership knows.
type leaderTracker struct {
	membership *member.Membership
	loop       *loop.Loop
}

// Leader returns the leader as known now.
func (t *leaderTracker) Leader() proxy.Leader {
	route := t.membership.Route()
	return proxy.Leader{Here: route.Leader != "" && route.Leader == t.membership.Self().Name, Address: route.Address, Control: route.ControlAddress, Term: route.Term}
}

// OnSuperseded calls f once another leader can be reached than that of a term; stop ends the wait.
func (t *leaderTracker) OnSuperseded(term uint64, f func()) (stop func() bool) {
	return t.membership.OnSuperseded(term, f)
}

// ReportLost reports that the leader of a term could not be reached. If the loop is full, the next hello detects it.
func (t *leaderTracker) ReportLost(term uint64) {
	if err := t.loop.TryPost(func() { t.membership.LoseLeader(term) }); err != nil {
		return
	}
}
