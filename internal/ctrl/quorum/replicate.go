package quorum

import (
	"slices"
)

const (
	// maxInFlight bounds the unanswered messages with entries per follower.
	maxInFlight        = 32
	snapshotChunkBytes = 128 << 10
)

// progress is the leader's replication state for another member.
type progress struct {
	// match is the last index known to be synced by the member, next the next index to send.
	match uint64
	next  uint64
	// probing limits replication to one message at a time, until the logs are known to match; probeSent means that
	// this message is unanswered.
	probing   bool
	probeSent bool
	// inFlight holds the last index of each unanswered message.
	inFlight []uint64
	// heartbeatMatch is the value of match at the end of the last heartbeat interval.
	heartbeatMatch uint64
	// silentTicks counts the ticks since the member was heard, or since the leader began to track it.
	silentTicks int
	everHeard   bool
	// context is the latest context echoed by the member.
	context uint64
	// snapshot is the one being sent, nil for none; chunkSent means that the chunk at offset is unanswered.
	snapshot  *Snapshot
	offset    uint64
	chunkSent bool
}

// recentlyActive reports whether the member was heard within the given number of ticks.
func (p *progress) recentlyActive(ticks int) bool {
	return p.everHeard && p.silentTicks < ticks
}

func (p *progress) startProbing(next uint64) {
	p.next, p.probing, p.probeSent, p.inFlight = next, true, false, nil
}

// replicateAll sends missing entries to the other members and starts the confirmation of new reads.
func (r *Replica) replicateAll() {
	if r.readsRequested > r.readsSent && r.readsSent == r.readsConfirmed {
		r.broadcastHeartbeat()
	}
	for _, id := range r.peerIDs() {
		r.replicate(id, r.peers[id])
	}
	r.advanceCommit()
}

func (r *Replica) replicate(id ReplicaID, p *progress) {
	if p.next <= r.log.base {
		r.sendSnapshotChunk(id, p)
		return
	}
	for p.next <= r.log.last() && len(p.inFlight) < maxInFlight && !p.probeSent {
		entries := r.log.entriesAfter(p.next-1, r.options.MessageBytes)
		term, _ := r.log.term(p.next - 1)
		r.send(Message{
			Kind: MessageAppend, To: id, LogIndex: p.next - 1, LogTerm: term,
			Commit: r.commit, Context: r.readsSent, Entries: entries,
		})
		if p.probing {
			p.probeSent = true
			return
		}
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

func (r *Replica) sendSnapshotChunk(id ReplicaID, p *progress) {
	if p.snapshot == nil {
		s := r.log.snapshot
		p.snapshot, p.offset, p.chunkSent = &s, 0, false
	}
	if p.chunkSent {
		return
	}
	p.chunkSent = true
	s := p.snapshot
	end := min(p.offset+snapshotChunkBytes, uint64(len(s.Data)))
	r.send(Message{
		Kind: MessageSnapshot, To: id, LogIndex: s.Index, LogTerm: s.Term, Members: s.Members,
		Offset: p.offset, Total: uint64(len(s.Data)), Chunk: s.Data[p.offset:end], Context: r.readsSent,
	})
}

func (r *Replica) stepSnapshotted(m Message) {
	p := r.peers[m.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	p.silentTicks, p.everHeard = 0, true
	if p.snapshot != nil && p.snapshot.Index == m.LogIndex && m.Offset <= uint64(len(p.snapshot.Data)) {
		p.chunkSent = p.chunkSent && m.Offset == p.offset
		p.offset = m.Offset
	}
}

func (r *Replica) stepAppended(m Message) {
	p := r.peers[m.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	p.silentTicks, p.everHeard = 0, true
	p.context = max(p.context, m.Context)
	r.confirmReads()
	if m.Reject {
		// A stale rejection says nothing about the messages in flight.
		if m.LogIndex > p.match && m.LogIndex < p.next {
			p.startProbing(max(m.Hint, p.match) + 1)
		}
		return
	}
	if m.LogIndex < p.match {
		return
	}
	r.recordMatch(p, m.LogIndex)
	r.advanceCommit()
	if m.From == r.transferee {
		r.continueTransfer()
	}
}

func (r *Replica) recordMatch(p *progress, index uint64) {
	advanced := index > p.match
	p.match = index
	p.next = max(p.next, index+1)
	if p.probing && (advanced || index+1 == p.next) {
		p.probing, p.probeSent, p.next = false, false, index+1
	}
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	if p.snapshot != nil && index >= p.snapshot.Index {
		p.snapshot = nil
	}
}

// advanceCommit commits the entries that a quorum has synced, provided the last of them is of the current term.
func (r *Replica) advanceCommit() {
	index := r.reachedByQuorum(func(p *progress) uint64 { return p.match }, r.synced)
	term, ok := r.log.term(index)
	if index <= r.commit || !ok || term != r.hard.Term {
		return
	}
	before := r.commit
	r.commitTo(index)
	for _, e := range r.log.entriesBetween(before, index) {
		r.uncommitted = max(0, r.uncommitted-len(e.Data)-entryOverheadBytes)
	}
	r.confirmReads()
}

func (r *Replica) committedInTerm() bool {
	term, ok := r.log.term(r.commit)
	return ok && term == r.hard.Term
}

// reachedByQuorum returns the highest value that more than half of the voters have reached; own is this replica's value.
func (r *Replica) reachedByQuorum(value func(*progress) uint64, own uint64) uint64 {
	var all []uint64
	for _, id := range r.voters() {
		if id == r.id {
			all = append(all, own)
		} else {
			all = append(all, value(r.peers[id]))
		}
	}
	slices.Sort(all)
	if len(all) == 0 {
		return 0
	}
	return all[(len(all)-1)/2]
}
