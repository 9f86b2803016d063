package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

// Standings returns what the leader knows of the members, after a quorum has confirmed it.
func (n *Node) Standings(ctx context.Context) ([]quorum.Standing, error) {
	if err := n.Confirm(ctx); err != nil {
		return nil, err
	}
	var all []quorum.Standing
	err := n.options.Loop.Call(ctx, func() { all = n.options.Replica.Standings() })
	return all, err
}

// Change makes one change of the members and returns once it is committed.
func (n *Node) Change(ctx context.Context, c quorum.Change) error {
	_, err := n.propose(ctx, func(r *quorum.Replica) (quorum.Position, error) { return r.ProposeChange(c) })
	return err
}

// Transfer hands the leadership to another member and returns once this replica leads no more.
func (n *Node) Transfer(ctx context.Context, id quorum.ReplicaID) error {
	var deposed chan struct{}
	transfer := func(r *quorum.Replica) error {
		deposed = n.deposed
		return r.Transfer(id)
	}
	if err := n.ask(ctx, transfer); err != nil {
		return err
	}
	select {
	case <-deposed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the other replica to lead")
	}
}
