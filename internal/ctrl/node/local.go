package node

import (
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/model/record"
)

// The methods in this file may only be called on the loop, or before it runs.

// OnStep sets the function that is called after each step of the log; a later call replaces it.
func (n *Node) OnStep(f func()) {
	n.onStep = f
}

// Leads reports whether this replica leads, and returns its current term.
func (n *Node) Leads() (bool, uint64) {
	r := n.options.Replica
	return n.failure == nil && r.Role() == quorum.RoleLeader, r.Term()
}

// LeaderName returns the name of the leading process, empty if no leader is known.
func (n *Node) LeaderName() string {
	return n.leaderName()
}

// Batch returns the batch work for reading.
func (n *Node) Batch() *jobs.StateMachine {
	return n.machine.Batch()
}

// Self returns this replica, the members according to the latest log entry, and whether the replica holds a log or has
// seen a term.
func (n *Node) Self() (self quorum.Member, members []quorum.Member, hasState bool) {
	return n.options.Self, n.options.Replica.Members(), n.options.Replica.HasState()
}

// MemberStatusesNow returns what this replica knows of the members' progress, without a quorum's confirmation.
func (n *Node) MemberStatusesNow() []quorum.MemberStatus {
	return n.options.Replica.MemberStatuses()
}

// ProposeNow proposes a command and returns without waiting. done is called on the loop once the command is applied, or
// with an error such as ErrUnknown if its result is unknown; it is not called if ProposeNow fails.
func (n *Node) ProposeNow(c record.Command, done func(error)) error {
	data, err := n.options.Codec.EncodeCommand(c)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	return n.stepWith(func(r *quorum.Replica) error {
		position, err := r.Propose(data)
		if err == nil {
			n.waiting[position.Index] = waiter{term: position.Term, done: func(o outcome) { done(o.err) }}
		}
		return err
	})
}

// ChangeNow proposes a membership change and returns without waiting; done is called as by ProposeNow.
func (n *Node) ChangeNow(c quorum.Change, done func(error)) error {
	return n.stepWith(func(r *quorum.Replica) error {
		position, err := r.ProposeChange(c)
		if err == nil {
			n.waiting[position.Index] = waiter{term: position.Term, done: func(o outcome) { done(o.err) }}
		}
		return err
	})
}

// ConfirmNow asks a quorum whether this replica still leads and returns without waiting. done is called on the loop,
// with nil if it leads; it is not called if ConfirmNow fails.
func (n *Node) ConfirmNow(done func(error)) error {
	return n.stepWith(func(r *quorum.Replica) error {
		id, err := r.Read()
		if err == nil {
			n.reads[id] = done
		}
		return err
	})
}

// stepWith runs a step of the log on the loop and returns its error, or the failure with which this replica stopped.
func (n *Node) stepWith(run func(*quorum.Replica) error) error {
	refused := n.failure
	n.step(func() { refused = run(n.options.Replica) })
	return refused
}
