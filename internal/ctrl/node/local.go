package node

import (
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/model/record"
)

// The methods in this file are for parts that run on the loop themselves; they must be called there.

// Watch sets the call that is made after each step of the log; there is one at most.
func (n *Node) Watch(watch func()) {
	n.watch = watch
}

// Leads says whether this replica leads, and in which term.
func (n *Node) Leads() (bool, uint64) {
	r := n.options.Replica
	return n.failure == nil && r.Role() == quorum.RoleLeader, r.Term()
}

// LeaderName returns the name of the process that leads, empty where none is known.
func (n *Node) LeaderName() string {
	return n.leaderName()
}

// Book returns the batch work for reading.
func (n *Node) Book() *jobs.Book {
	return n.machine.Book()
}

// Self returns this replica, its members by the latest entry of the log, and whether it holds a log.
func (n *Node) Self() (self quorum.Member, members []quorum.Member, hasState bool) {
	return n.options.Self, n.options.Replica.Members(), n.options.Replica.HasState()
}

// StandingsNow returns what this replica knows of the members, unconfirmed.
func (n *Node) StandingsNow() []quorum.Standing {
	return n.options.Replica.Standings()
}

// ProposeNow proposes a command and returns at once; done is called once it is applied, or is lost with ErrUnknown.
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

// ChangeNow proposes a change of the members and returns at once.
func (n *Node) ChangeNow(c quorum.Change, done func(error)) error {
	return n.stepWith(func(r *quorum.Replica) error {
		position, err := r.ProposeChange(c)
		if err == nil {
			n.waiting[position.Index] = waiter{term: position.Term, done: func(o outcome) { done(o.err) }}
		}
		return err
	})
}

// ConfirmNow asks a quorum whether this replica still leads and returns at once; done is called with the answer.
func (n *Node) ConfirmNow(done func(error)) error {
	return n.stepWith(func(r *quorum.Replica) error {
		id, err := r.Read()
		if err == nil {
			n.reads[id] = done
		}
		return err
	})
}

func (n *Node) stepWith(run func(*quorum.Replica) error) error {
	refused := n.failure
	n.step(func() { refused = run(n.options.Replica) })
	return refused
}
