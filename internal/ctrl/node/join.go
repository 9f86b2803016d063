package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/quorum"
)

const (
	// joinRetryInterval is the time between two attempts of an empty replica to find its group.
	joinRetryInterval = 250 * time.Millisecond
	// peerTimeout bounds one call to another control process.
	peerTimeout = time.Second
)

// ErrOtherGroup is returned by a replica that has agreed to other first members, isn't one of the members or has state.
var ErrOtherGroup = errors.New("this replica is part of another group")

// ReplicaInfo is a replica's answer to the question which replica it is.
type ReplicaInfo struct {
	// Self is the replica that answers.
	Self quorum.Member
	// HasState is true if the replica holds a log or has seen a term.
	HasState bool
	// Members are the members of the replica's group; empty if it knows of none.
	Members []quorum.Member
}

// Peers calls the other control processes of the settings on behalf of an empty replica.
type Peers interface {
	// Names returns the processes' names.
	Names() []string
	// Hello asks a process for the identity of its replica and the members that it knows.
	Hello(ctx context.Context, name string) (ReplicaInfo, error)
	// Agree asks a process's empty replica to agree to the first members and to sync this.
	Agree(ctx context.Context, name string, members []quorum.Member) error
	// Join asks the leader to add this replica as a learner.
	Join(ctx context.Context, self quorum.Member) error
}

// Hello returns the identity of this replica and the members that it knows.
func (n *Node) Hello(ctx context.Context) (ReplicaInfo, error) {
	var g ReplicaInfo
	err := n.options.Loop.Call(ctx, func() {
		g = ReplicaInfo{Self: n.options.Self, HasState: n.options.Replica.HasState(), Members: n.options.Replica.Members()}
	})
	return g, err
}

// Agree agrees to the first members of a group and returns once this is synced. A replica never agrees to two different
// lists of members; it returns ErrOtherGroup instead.
func (n *Node) Agree(ctx context.Context, members []quorum.Member) error {
	done := make(chan error, 1)
	var refused error
	agree := func() {
		included := slices.ContainsFunc(members, func(m quorum.Member) bool { return m.ID == n.options.Self.ID })
		conflicts := len(n.agreed) > 0 && !slices.Equal(n.agreed, members)
		if !included || conflicts || n.options.Replica.HasState() {
			refused = ErrOtherGroup
			return
		}
		n.agreed = members
		n.diskQueue.add(diskRequest{members: members, done: done})
	}
	if err := n.options.Loop.Call(ctx, agree); err != nil {
		return err
	}
	if refused != nil {
		return refused
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the agreement to be synced")
	}
}

// RunJoin lets an empty replica join its group, or form one with the other replicas if all are empty. It retries until
// it succeeds and returns when the context ends.
func (n *Node) RunJoin(ctx context.Context, peers Peers) error {
	for {
		own, err := n.Hello(ctx)
		if err == nil && own.HasState && len(own.Members) > 0 {
			<-ctx.Done()
			return nil
		}
		if err == nil {
			err = n.tryJoin(ctx, own, peers)
		}
		if err != nil && ctx.Err() == nil {
			n.options.Logger.Info("group_not_found", zap.String("cause", err.Error()))
		}
		if !clock.Sleep(ctx, n.options.Clock, joinRetryInterval) {
			return nil
		}
	}
}

// tryJoin makes one attempt to find the group, or to form it.
func (n *Node) tryJoin(ctx context.Context, own ReplicaInfo, peers Peers) error {
	replicas := []ReplicaInfo{own}
	var failed error
	for _, name := range peers.Names() {
		info, err := n.queryReplica(ctx, name, peers)
		if err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		replicas = append(replicas, info)
	}
	groupExists := false
	for _, info := range replicas {
		groupExists = groupExists || info.HasState
		switch {
		case slices.ContainsFunc(info.Members, func(m quorum.Member) bool { return m.ID == own.Self.ID }):
			// The leader sends the log to its members.
			return nil
		case len(info.Members) > 0:
			return errors.Wrap(peers.Join(ctx, own.Self), "join as a learner")
		}
	}
	if failed != nil || groupExists {
		return failed
	}
	return n.formGroupFromInfo(ctx, replicas, peers)
}

// queryReplica asks one process for its replica's identity; it fails if another process answers at the address.
func (n *Node) queryReplica(ctx context.Context, name string, peers Peers) (ReplicaInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	info, err := peers.Hello(ctx, name)
	if err == nil && info.Self.Name != name {
		err = errors.Newf("the address of %s is answered by %s", name, info.Self.Name)
	}
	return info, errors.Wrapf(err, "hello to %s", name)
}

// formGroupFromInfo forms a group whose first members are all replicas of the settings; all of them are empty.
func (n *Node) formGroupFromInfo(ctx context.Context, replicas []ReplicaInfo, peers Peers) error {
	var members []quorum.Member
	for _, info := range replicas {
		members = append(members, quorum.Member{ID: info.Self.ID, Name: info.Self.Name, Voter: true})
	}
	slices.SortFunc(members, func(a, b quorum.Member) int { return cmp.Compare(a.ID, b.ID) })
	return n.FormGroup(ctx, members, peers.Agree)
}

// FormGroup forms a group with the given first members, after each of their replicas has synced its agreement.
func (n *Node) FormGroup(ctx context.Context, members []quorum.Member, agree func(context.Context, string, []quorum.Member) error) error {
	if err := n.Agree(ctx, members); err != nil {
		return errors.Wrap(err, "agree to the first members; if a replica was lost before it began, empty all data folders")
	}
	for _, m := range members {
		if m.ID == n.options.Self.ID {
			continue
		}
		if err := n.requestAgreement(ctx, m.Name, agree, members); err != nil {
			return err
		}
	}
	return n.options.Loop.Call(ctx, func() {
		n.step(func() {
			if !n.options.Replica.HasState() {
				n.options.Replica.Bootstrap(members)
			}
		})
	})
}

func (n *Node) requestAgreement(ctx context.Context, name string, agree func(context.Context, string, []quorum.Member) error, members []quorum.Member) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return errors.Wrapf(agree(ctx, name, members), "agreement of %s", name)
}
