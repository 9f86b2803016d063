package node

import (
	"fmt"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/quorum"
)

func (n *Node) handleOutput(out quorum.Output) {
	if out.Deposed {
		n.failWaiters(ErrUnknown)
		close(n.deposed)
		n.deposed = make(chan struct{})
	}
	if out.Write != nil {
		n.diskQueue.add(diskRequest{write: out.Write})
	}
	n.sendOrReply(out.Messages)
	if out.Restore != nil {
		if err := n.restore(*out.Restore); err != nil {
			n.fail(err)
			return
		}
	}
	for _, e := range out.Committed {
		n.applyEntry(e)
	}
	for _, id := range out.Reads {
		if done, ok := n.reads[id]; ok {
			n.deferCall(func() { done(nil) })
			delete(n.reads, id)
		}
	}
}

// sendOrReply sends messages; those to the replica whose messages are being delivered are kept as replies.
func (n *Node) sendOrReply(messages []quorum.Message) {
	var others []quorum.Message
	for _, m := range messages {
		if m.To == n.deliveringFrom {
			n.replies = append(n.replies, m)
		} else {
			others = append(others, m)
		}
	}
	if len(others) > 0 {
		n.options.Transport.Send(others)
	}
}

func (n *Node) applyEntry(e quorum.Entry) {
	n.applied = e.Index
	n.appliedBytes += len(e.Data)
	var o outcome
	if e.Kind == quorum.EntryCommand {
		c, err := n.options.Codec.DecodeCommand(e.Data)
		if err != nil {
			n.options.Logger.Error("command_not_decoded", zap.Uint64("index", e.Index), zap.Error(err))
		}
		o.result = n.machine.Apply(e.Index, c)
		n.options.Logger.Debug("command_applied", zap.Uint64("index", e.Index), zap.String("request_id", c.RequestID),
			zap.Stringer("code", o.result.Code), zap.Uint64("revision", o.result.Revision))
	}
	if w, ok := n.waiting[e.Index]; ok {
		if w.term != e.Term {
			o = outcome{err: ErrUnknown}
		}
		n.deferCall(func() { w.done(o) })
		delete(n.waiting, e.Index)
	}
}

// observeChanges tells the transport of new members and logs a change of leader.
func (n *Node) observeChanges() {
	r := n.options.Replica
	if index := r.MembersIndex(); index != n.membersIndex {
		n.membersIndex = index
		for _, m := range r.Members() {
			n.options.Transport.SetProcess(m.ID, m.Name)
		}
		n.logMembers(index)
	}
	if leader := r.Leader(); leader != n.leader || r.Term() != n.leaderTerm {
		n.leader, n.leaderTerm = leader, r.Term()
		n.options.Logger.Info("leader_changed", zap.String("leader", n.leaderName()), zap.Uint64("term", r.Term()),
			zap.Stringer("role", r.Role()))
	}
}

// logMembers logs the members that the entry at an index of the log names, committed or not.
func (n *Node) logMembers(index uint64) {
	var voters, learners []string
	for _, m := range n.options.Replica.Members() {
		if m.Voter {
			voters = append(voters, memberText(m))
		} else {
			learners = append(learners, memberText(m))
		}
	}
	n.options.Logger.Info("members_known", zap.Uint64("index", index), zap.Uint64("committed", n.options.Replica.Commit()),
		zap.Strings("voters", voters), zap.Strings("learners", learners))
}

// memberText names a member with its identity, which a process whose disk was lost doesn't keep.
func memberText(m quorum.Member) string {
	return fmt.Sprintf("%s/%016x", m.Name, uint64(m.ID))
}

// leaderlessTicks is the number of ticks between two log lines of a replica that knows no leader.
const leaderlessTicks = 40

// observeElection logs, from time to time while no leader is known, which voters have granted this replica their votes.
func (n *Node) observeElection() {
	r := n.options.Replica
	if r.Leader() != 0 {
		n.leaderless = 0
		return
	}
	if n.leaderless++; n.leaderless%leaderlessTicks != 0 {
		return
	}
	names := map[quorum.ReplicaID]string{}
	for _, m := range r.Members() {
		names[m.ID] = memberText(m)
	}
	voters, granted := r.Votes()
	n.options.Logger.Info("leader_missing", zap.Stringer("role", r.Role()), zap.Uint64("term", r.Term()),
		zap.Strings("voters", namesOf(voters, names)), zap.Strings("granted", namesOf(granted, names)))
}

func namesOf(ids []quorum.ReplicaID, names map[quorum.ReplicaID]string) []string {
	var all []string
	for _, id := range ids {
		all = append(all, names[id])
	}
	return all
}

func (n *Node) leaderName() string {
	for _, m := range n.options.Replica.Members() {
		if m.ID == n.options.Replica.Leader() {
			return m.Name
		}
	}
	return ""
}

// failWaiters ends all pending proposals and confirmations with an error.
func (n *Node) failWaiters(err error) {
	for _, w := range n.waiting {
		n.deferCall(func() { w.done(outcome{err: err}) })
	}
	for _, done := range n.reads {
		n.deferCall(func() { done(err) })
	}
	clear(n.waiting)
	clear(n.reads)
}

// fail stops this replica; the process keeps running, and with it its other roles.
func (n *Node) fail(err error) {
	n.failure = err
	n.options.Logger.Error("replica_stopped", zap.Error(err))
	n.failWaiters(err)
	n.runDeferred()
	if n.options.OnFailure != nil {
		n.options.OnFailure(err)
	}
}
