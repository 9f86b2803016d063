package site

import (
	"context"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/edge/proxy"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
)

// local is the control of this process; its engine is nil where there is no disk.
type local struct {
	loop   *loop.Loop
	engine *sched.Scheduler
}

// Do takes a call on the control loop and waits for its reply.
func (l *local) Do(ctx context.Context, c *batch.Call) (batch.Reply, error) {
	if l.engine == nil {
		return batch.Reply{Code: batch.CodeNotRun, Detail: "this process has no disk"}, nil
	}
	replies := make(chan batch.Reply, 1)
	take := func() { l.engine.Call(c, func(r batch.Reply) { replies <- r }) }
	if err := l.loop.Post(ctx, take); err != nil {
		return batch.Reply{Code: batch.CodeNotRun, Detail: err.Error()}, nil
	}
	select {
	case r := <-replies:
		return r, nil
	case <-ctx.Done():
		return batch.Reply{}, errors.Wrap(ctx.Err(), "wait for the reply")
	}
}

// remote reaches other processes over kept connections.
type remote struct {
	lines *link.Lines
}

// Do sends a call to the process at an address.
func (r *remote) Do(ctx context.Context, address string, c *batch.Call) (batch.Reply, error) {
	answer, err := r.lines.Call(ctx, address, &peer.Link{Body: &peer.Link_Request{Request: codec.CallToWire(c)}})
	if errors.Is(err, link.ErrNotSent) {
		return batch.Reply{}, errors.Mark(err, proxy.ErrNotSent)
	}
	if err != nil {
		return batch.Reply{}, err
	}
	return codec.ReplyFromWire(answer.GetReply()), nil
}

// leaderTracker tells who leads.
type leaderTracker struct {
	roster *member.Membership
	loop   *loop.Loop
}

// Leader returns what is known now.
func (t *leaderTracker) Leader() proxy.Leader {
	route := t.roster.Route()
	return proxy.Leader{Here: route.Leader != "" && route.Leader == t.roster.Self().Name, Address: route.Address, Control: route.ControlAddress, Term: route.Term}
}

// ReportLost tells that the leader of a term wasn't reached; where the loop is full, the next greeting finds out.
func (t *leaderTracker) ReportLost(term uint64) {
	if err := t.loop.TryPost(func() { t.roster.LoseLeader(term) }); err != nil {
		return
	}
}
