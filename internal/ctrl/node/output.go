package node

import (
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
	}
	if leader := r.Leader(); leader != n.leader || r.Term() != n.leaderTerm {
		n.leader, n.leaderTerm = leader, r.Term()
		n.options.Logger.Info("leader_changed", zap.String("leader", n.leaderName()), zap.Uint64("term", r.Term()),
			zap.Stringer("role", r.Role()))
	}
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
