package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
)

func (r *Replica) checkProposable() error {
	switch {
	case r.role != RoleLeader:
		return ErrNotLeader
	case r.transferee != 0:
		return errors.Wrap(ErrBusy, "the leadership is being handed over")
	case r.uncommitted > maxUncommittedBytes:
		return errors.Wrap(ErrBusy, "too much waits for a quorum")
	default:
		return nil
	}
}

func (r *Replica) propose(e Entry) Position {
	e.Index, e.Term = r.log.last()+1, r.hard.Term
	r.append(e)
	r.uncommitted += len(e.Data) + entryOverheadBytes
	if e.Kind == EntryMembers {
		r.updatePeers(e.Index)
	}
	return Position{Index: e.Index, Term: e.Term}
}

// updatePeers aligns the tracked peers with the current configuration; a new member is probed starting at index next.
func (r *Replica) updatePeers(next uint64) {
	peers := map[ReplicaID]*progress{}
	for _, m := range r.members() {
		if m.ID == r.id {
			continue
		}
		if peers[m.ID] = r.peers[m.ID]; peers[m.ID] == nil {
			peers[m.ID] = &progress{next: next, probing: true}
		}
	}
	r.peers = peers
}

// peerIDs returns the other members' IDs in ascending order.
func (r *Replica) peerIDs() []ReplicaID {
	ids := make([]ReplicaID, 0, len(r.peers))
	for id := range r.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *Replica) tickLeader() {
	live := 0
	voters := r.voters()
	for _, p := range r.peers {
		p.silentTicks++
	}
	for _, id := range voters {
		if id == r.id || r.peers[id].silentTicks < r.options.ElectionTicks {
			live++
		}
	}
	if live <= len(voters)/2 {
		r.resign()
		return
	}
	if r.transferee != 0 {
		if r.transferTicks++; r.transferTicks > r.options.ElectionTicks {
			r.transferee = 0
		}
	}
	if r.elapsed >= r.options.HeartbeatTicks {
		r.elapsed = 0
		r.resendUnanswered()
	}
	// A broadcast that confirms reads also counts as a heartbeat.
	if r.ticksSinceBroadcast++; r.ticksSinceBroadcast >= r.options.HeartbeatTicks {
		r.broadcastHeartbeat()
	}
}

// resendUnanswered lets what was not answered within a heartbeat interval be sent again.
func (r *Replica) resendUnanswered() {
	for _, p := range r.peers {
		p.probeSent, p.chunkSent = false, false
		if len(p.inFlight) > 0 && p.match == p.heartbeatMatch {
			p.startProbing(p.match + 1)
		}
		p.heartbeatMatch = p.match
	}
	r.continueTransfer()
}

// broadcastHeartbeat sends a heartbeat to all members; their answers also confirm the reads requested so far.
func (r *Replica) broadcastHeartbeat() {
	r.readsSent = r.readsRequested
	r.ticksSinceBroadcast = 0
	for _, id := range r.peerIDs() {
		p := r.peers[id]
		term, ok := r.log.term(p.match)
		if !ok {
			// The entry is compacted; index 0 matches every log.
			r.send(Message{Kind: MessageAppend, To: id, Context: r.readsRequested})
			continue
		}
		r.send(Message{
			Kind: MessageAppend, To: id, LogIndex: p.match, LogTerm: term,
			Commit: min(r.commit, p.match), Context: r.readsRequested,
		})
	}
}
