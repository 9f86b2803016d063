package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

// MemberStatuses returns what this replica knows of the members' progress, after a quorum has confirmed it as the
// leader.
func (n *Node) MemberStatuses(ctx context.Context) ([]quorum.MemberStatus, error) {
	if err := n.Confirm(ctx); err != nil {
		return nil, err
	}
	var all []quorum.MemberStatus
	err := n.options.Loop.Call(ctx, func() { all = n.options.Replica.MemberStatuses() })
	return all, err
}

// Change makes one membership change and returns once it is applied on this replica.
func (n *Node) Change(ctx context.Context, c quorum.Change) error {
	_, err := n.propose(ctx, func(r *quorum.Replica) (quorum.Position, error) { return r.ProposeChange(c) })
	return err
}

// Transfer hands the leadership over to another member and returns once this replica no longer leads.
func (n *Node) Transfer(ctx context.Context, id quorum.ReplicaID) error {
	var deposed chan struct{}
	transfer := func(r *quorum.Replica) error {
		deposed = n.deposed
		return r.Transfer(id)
	}
	if err := n.stepOnLoop(ctx, transfer); err != nil {
		return err
	}
	select {
	case <-deposed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the other replica to lead")
	}
}

// handOverTimeout bounds how long a planned stop waits for another replica to lead.
const handOverTimeout = time.Second

// HandOver hands the leadership over to the voter with the most complete log, before a planned stop. On a replica that
// doesn't lead, or if no voter has answered, it does nothing.
func (n *Node) HandOver(ctx context.Context) error {
	var best quorum.MemberStatus
	choose := func() {
		if n.failure != nil || n.options.Replica.Role() != quorum.RoleLeader {
			return
		}
		for _, s := range n.options.Replica.MemberStatuses() {
			if !s.Leader && s.Member.Voter && s.Heard && (best.Member.ID == 0 || s.Synced > best.Synced) {
				best = s
			}
		}
	}
	if err := n.options.Loop.Call(ctx, choose); err != nil || best.Member.ID == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return n.Transfer(ctx, best.Member.ID)
}
