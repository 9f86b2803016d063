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
	// joinRetry is the time between two attempts of an empty replica to find its group.
	joinRetry = 250 * time.Millisecond
	// peerTimeout bounds one call to another control process.
	peerTimeout = time.Second
)

// ErrAgreed says that a replica has agreed to other first members, or has state.
var ErrAgreed = errors.New("this replica is part of another group")

// Greeting is how a replica answers who it is.
type Greeting struct {
	// Self is the replica.
	Self quorum.Member
	// HasState says whether it holds a log or has seen a term.
	HasState bool
	// Members are the members that it knows.
	Members []quorum.Member
}

// Peers are the other control processes of the settings, as an empty replica asks them.
type Peers interface {
	// Names returns the processes' names.
	Names() []string
	// Hello asks a process who its replica is.
	Hello(ctx context.Context, name string) (Greeting, error)
	// Agree asks a process's empty replica to sync the first members.
	Agree(ctx context.Context, name string, members []quorum.Member) error
	// Join asks the leader to add this replica as a learner.
	Join(ctx context.Context, self quorum.Member) error
}

// Hello returns who this replica is.
func (n *Node) Hello(ctx context.Context) (Greeting, error) {
	var g Greeting
	err := n.options.Loop.Call(ctx, func() {
		g = Greeting{Self: n.options.Self, HasState: n.options.Replica.HasState(), Members: n.options.Replica.Members()}
	})
	return g, err
}

// Agree syncs the first members of a group; it never agrees to two different ones.
func (n *Node) Agree(ctx context.Context, members []quorum.Member) error {
	done := make(chan error, 1)
	var refused error
	agree := func() {
		self := slices.ContainsFunc(members, func(m quorum.Member) bool { return m.ID == n.options.Self.ID })
		other := len(n.agreed) > 0 && !slices.Equal(n.agreed, members)
		if !self || other || n.options.Replica.HasState() {
			refused = ErrAgreed
			return
		}
		n.agreed = members
		n.jobs.add(job{agree: members, done: done})
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

// RunJoin lets an empty replica find its group, or form one with replicas that are empty too.
func (n *Node) RunJoin(ctx context.Context, peers Peers) error {
	for {
		g, err := n.Hello(ctx)
		if err == nil && g.HasState && len(g.Members) > 0 {
			<-ctx.Done()
			return nil
		}
		if err == nil {
			err = n.join(ctx, g, peers)
		}
		if err != nil && ctx.Err() == nil {
			n.options.Logger.Info("group_not_found", zap.String("cause", err.Error()))
		}
		if !clock.Sleep(ctx, n.options.Clock, joinRetry) {
			return nil
		}
	}
}

// join makes one attempt.
func (n *Node) join(ctx context.Context, own Greeting, peers Peers) error {
	greetings := []Greeting{own}
	var failed error
	for _, name := range peers.Names() {
		g, err := n.greet(ctx, name, peers)
		if err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		greetings = append(greetings, g)
	}
	formed := false
	for _, g := range greetings {
		formed = formed || g.HasState
		switch {
		case slices.ContainsFunc(g.Members, func(m quorum.Member) bool { return m.ID == own.Self.ID }):
			// The leader will bring the log.
			return nil
		case len(g.Members) > 0:
			return errors.Wrap(peers.Join(ctx, own.Self), "join as a learner")
		}
	}
	if failed != nil || formed {
		return failed
	}
	return n.form(ctx, greetings, peers)
}

func (n *Node) greet(ctx context.Context, name string, peers Peers) (Greeting, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	g, err := peers.Hello(ctx, name)
	if err == nil && g.Self.Name != name {
		err = errors.Newf("the address of %s is answered by %s", name, g.Self.Name)
	}
	return g, errors.Wrapf(err, "hello to %s", name)
}

// form makes the first members of all replicas of the settings, each empty, once every one has synced its agreement.
func (n *Node) form(ctx context.Context, greetings []Greeting, peers Peers) error {
	var members []quorum.Member
	for _, g := range greetings {
		members = append(members, quorum.Member{ID: g.Self.ID, Name: g.Self.Name, Voter: true})
	}
	slices.SortFunc(members, func(a, b quorum.Member) int { return cmp.Compare(a.ID, b.ID) })
	return n.Form(ctx, members, peers.Agree)
}

// Form makes the first members of a group, once each of their replicas has synced that it agrees to them.
func (n *Node) Form(ctx context.Context, members []quorum.Member, agree func(context.Context, string, []quorum.Member) error) error {
	if err := n.Agree(ctx, members); err != nil {
		return errors.Wrap(err, "agree to the first members; if a replica was lost before it began, empty all data folders")
	}
	for _, m := range members {
		if m.ID == n.options.Self.ID {
			continue
		}
		if err := n.seekAgreement(ctx, m.Name, agree, members); err != nil {
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

func (n *Node) seekAgreement(ctx context.Context, name string, agree func(context.Context, string, []quorum.Member) error, members []quorum.Member) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return errors.Wrapf(agree(ctx, name, members), "agreement of %s", name)
}
