package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// maxInFlight bounds the messages with entries that one follower has not answered yet.
	maxInFlight = 32
	// pieceBytes is the size of a snapshot's pieces.
	pieceBytes = 128 << 10
)

// progress is what a leader knows of another member.
type progress struct {
	// match is the last index that the member has synced, next the next to send.
	match uint64
	next  uint64
	// probing means that one message is sent at a time, until the logs are known to match.
	probing bool
	probed  bool
	// inFlight are the last indexes of messages that are not answered yet.
	inFlight []uint64
	// before is the match at the last heartbeat.
	before uint64
	// heard is the count of ticks since the member was heard, or since this replica leads.
	heard    int
	answered bool
	// context is the latest context that the member has echoed.
	context uint64
	// snapshot is what is being sent, nil for none.
	snapshot *Snapshot
	offset   uint64
	sent     bool
}

// live says whether the member was heard within a count of ticks.
func (p *progress) live(ticks int) bool {
	return p.answered && p.heard < ticks
}

func (p *progress) probe(next uint64) {
	p.next, p.probing, p.probed, p.inFlight = next, true, false, nil
}

func (r *Replica) proposable() error {
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
		r.enlist(e.Index)
	}
	return Position{Index: e.Index, Term: e.Term}
}

// enlist keeps the leader's knowledge of members in step with who they are; a new one is probed with the next entry.
func (r *Replica) enlist(next uint64) {
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

// others returns the other members in a fixed order.
func (r *Replica) others() []ReplicaID {
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
		p.heard++
	}
	for _, id := range voters {
		if id == r.id || r.peers[id].heard < r.options.ElectionTicks {
			live++
		}
	}
	if live <= len(voters)/2 {
		r.resign()
		return
	}
	if r.transferee != 0 {
		if r.transferFor++; r.transferFor > r.options.ElectionTicks {
			r.transferee = 0
		}
	}
	if r.elapsed >= r.options.HeartbeatTicks {
		r.elapsed = 0
		r.revive()
	}
	// A broadcast that confirms reads is a heartbeat too.
	if r.silent++; r.silent >= r.options.HeartbeatTicks {
		r.broadcast()
	}
}

// revive sends again what was not answered within a heartbeat.
func (r *Replica) revive() {
	for _, p := range r.peers {
		p.probed, p.sent = false, false
		if len(p.inFlight) > 0 && p.match == p.before {
			p.probe(p.match + 1)
		}
		p.before = p.match
	}
	r.handOver()
}

// broadcast sends a heartbeat, which also confirms the reads that have come in.
func (r *Replica) broadcast() {
	r.readsSent = r.reads
	r.silent = 0
	for _, id := range r.others() {
		p := r.peers[id]
		term, ok := r.log.term(p.match)
		if !ok {
			// The entry is compacted: index 0 matches every log.
			r.send(Message{Kind: MessageAppend, To: id, Context: r.reads})
			continue
		}
		r.send(Message{
			Kind: MessageAppend, To: id, LogIndex: p.match, LogTerm: term,
			Commit: min(r.commit, p.match), Context: r.reads,
		})
	}
}

// replicateAll sends what the other members lack, and asks to confirm reads that have come in.
func (r *Replica) replicateAll() {
	if r.reads > r.readsSent && r.readsSent == r.readsDone {
		r.broadcast()
	}
	for _, id := range r.others() {
		r.replicate(id, r.peers[id])
	}
	r.advance()
}

func (r *Replica) replicate(id ReplicaID, p *progress) {
	if p.next <= r.log.base {
		r.sendPiece(id, p)
		return
	}
	for p.next <= r.log.last() && len(p.inFlight) < maxInFlight && !p.probed {
		entries := r.log.after(p.next-1, r.options.MessageBytes)
		term, _ := r.log.term(p.next - 1)
		r.send(Message{
			Kind: MessageAppend, To: id, LogIndex: p.next - 1, LogTerm: term,
			Commit: r.commit, Context: r.readsSent, Entries: entries,
		})
		if p.probing {
			p.probed = true
			return
		}
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

func (r *Replica) sendPiece(id ReplicaID, p *progress) {
	if p.snapshot == nil {
		s := r.log.snapshot
		p.snapshot, p.offset, p.sent = &s, 0, false
	}
	if p.sent {
		return
	}
	p.sent = true
	s := p.snapshot
	end := min(p.offset+pieceBytes, uint64(len(s.Data)))
	r.send(Message{
		Kind: MessageSnapshot, To: id, LogIndex: s.Index, LogTerm: s.Term, Members: s.Members,
		Offset: p.offset, Total: uint64(len(s.Data)), Piece: s.Data[p.offset:end], Context: r.readsSent,
	})
}

func (r *Replica) stepSnapshotted(m Message) {
	p := r.peers[m.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	p.heard, p.answered = 0, true
	if p.snapshot != nil && p.snapshot.Index == m.LogIndex && m.Offset <= uint64(len(p.snapshot.Data)) {
		p.sent = p.sent && m.Offset == p.offset
		p.offset = m.Offset
	}
}

func (r *Replica) stepAppended(m Message) {
	p := r.peers[m.From]
	if r.role != RoleLeader || p == nil {
		return
	}
	p.heard, p.answered = 0, true
	p.context = max(p.context, m.Context)
	r.confirm()
	if m.Reject {
		// A late rejection says nothing about what is sent now.
		if m.LogIndex > p.match && m.LogIndex < p.next {
			p.probe(max(m.Hint, p.match) + 1)
		}
		return
	}
	if m.LogIndex < p.match {
		return
	}
	r.acknowledged(p, m.LogIndex)
	r.advance()
	if m.From == r.transferee {
		r.handOver()
	}
}

func (r *Replica) acknowledged(p *progress, index uint64) {
	advanced := index > p.match
	p.match = index
	p.next = max(p.next, index+1)
	if p.probing && (advanced || index+1 == p.next) {
		p.probing, p.probed, p.next = false, false, index+1
	}
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	if p.snapshot != nil && index >= p.snapshot.Index {
		p.snapshot = nil
	}
}

// advance commits what a quorum has synced, where the last such entry is of this term.
func (r *Replica) advance() {
	index := r.reached(func(p *progress) uint64 { return p.match }, r.synced)
	term, ok := r.log.term(index)
	if index <= r.commit || !ok || term != r.hard.Term {
		return
	}
	before := r.commit
	r.commitTo(index)
	for _, e := range r.log.upTo(before, index) {
		r.uncommitted = max(0, r.uncommitted-len(e.Data)-entryOverheadBytes)
	}
	r.confirm()
}

func (r *Replica) committedInTerm() bool {
	term, ok := r.log.term(r.commit)
	return ok && term == r.hard.Term
}

// Read asks for a quorum's confirmation that this replica still leads; the number comes back in Output.Reads.
func (r *Replica) Read() (uint64, error) {
	if r.role != RoleLeader {
		return 0, ErrNotLeader
	}
	r.reads++
	r.confirm()
	return r.reads, nil
}

// confirm hands out the reads that a quorum has confirmed, once an entry of this term is committed.
func (r *Replica) confirm() {
	if r.role != RoleLeader || !r.committedInTerm() {
		return
	}
	own := r.readsSent
	if len(r.voters()) == 1 {
		own = r.reads
		r.readsSent = r.reads
	}
	heard := r.reached(func(p *progress) uint64 { return p.context }, own)
	for r.readsDone < heard {
		r.readsDone++
		r.out.Reads = append(r.out.Reads, r.readsDone)
	}
}

// reached returns the highest value that more than half of the voters have reached.
func (r *Replica) reached(value func(*progress) uint64, own uint64) uint64 {
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
