package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// maxInFlight bounds the unanswered messages with entries per follower.
	maxInFlight = 32
	// snapshotChunkBytes is the size of a snapshot chunk.
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

// Read requests a quorum's confirmation that this replica still leads; the returned number appears in Output.Reads once it
// is confirmed. It returns ErrNotLeader if this replica doesn't lead.
func (r *Replica) Read() (uint64, error) {
	if r.role != RoleLeader {
		return 0, ErrNotLeader
	}
	r.readsRequested++
	r.confirmReads()
	return r.readsRequested, nil
}

// confirmReads outputs the reads that a quorum has confirmed, once an entry of the current term is committed.
func (r *Replica) confirmReads() {
	if r.role != RoleLeader || !r.committedInTerm() {
		return
	}
	own := r.readsSent
	if len(r.voters()) == 1 {
		own = r.readsRequested
		r.readsSent = r.readsRequested
	}
	heard := r.reachedByQuorum(func(p *progress) uint64 { return p.context }, own)
	for r.readsConfirmed < heard {
		r.readsConfirmed++
		r.out.Reads = append(r.out.Reads, r.readsConfirmed)
	}
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
