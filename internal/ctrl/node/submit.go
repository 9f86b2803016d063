package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/model/record"
)

// ErrUnknown is returned if the leadership changes before a proposal is applied: it may still be applied later.
var ErrUnknown = errors.New("the leadership changed; whether the change was made is unknown")

// NotLeaderError wraps quorum.ErrNotLeader with the name of the leading process.
type NotLeaderError struct {
	// Leader is the name of the leading process, empty if no leader is known.
	Leader string
}

// Error returns the error's text.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this replica does not lead, and no leader is known"
	}
	return "this replica does not lead; " + e.Leader + " does"
}

// Unwrap returns quorum.ErrNotLeader.
func (e *NotLeaderError) Unwrap() error {
	return quorum.ErrNotLeader
}

// Submit proposes a command and waits for its result. If it fails with quorum.ErrNotLeader or quorum.ErrBusy, the
// command is not applied; after any other error it may still be applied.
func (n *Node) Submit(ctx context.Context, c record.Command) (record.Result, error) {
	data, err := n.options.Codec.EncodeCommand(c)
	if err != nil {
		return record.Result{}, errors.Wrap(err, "encode command")
	}
	return n.propose(ctx, func(r *quorum.Replica) (quorum.Position, error) { return r.Propose(data) })
}

// propose makes a proposal on the loop and waits until it is applied or its result is unknown.
func (n *Node) propose(ctx context.Context, propose func(*quorum.Replica) (quorum.Position, error)) (record.Result, error) {
	done := make(chan outcome, 1)
	run := func(r *quorum.Replica) error {
		position, err := propose(r)
		if err == nil {
			n.waiting[position.Index] = waiter{term: position.Term, done: func(o outcome) { done <- o }}
		}
		return err
	}
	if err := n.stepOnLoop(ctx, run); err != nil {
		return record.Result{}, err
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return record.Result{}, errors.Wrap(ctx.Err(), "wait for the command to be applied")
	}
}

// Confirm returns once a quorum has confirmed that this replica led when Confirm was called.
func (n *Node) Confirm(ctx context.Context) error {
	done := make(chan error, 1)
	run := func(r *quorum.Replica) error {
		id, err := r.Read()
		if err == nil {
			n.reads[id] = func(err error) { done <- err }
		}
		return err
	}
	if err := n.stepOnLoop(ctx, run); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a quorum's confirmation")
	}
}

// stepOnLoop runs a step on the loop and returns its error, as a NotLeaderError if this replica doesn't lead.
func (n *Node) stepOnLoop(ctx context.Context, run func(*quorum.Replica) error) error {
	var refused error
	call := func() {
		refused = n.failure
		n.step(func() { refused = run(n.options.Replica) })
		if errors.Is(refused, quorum.ErrNotLeader) {
			refused = &NotLeaderError{Leader: n.leaderName()}
		}
	}
	if err := n.options.Loop.Call(ctx, call); err != nil {
		return err
	}
	return refused
}
