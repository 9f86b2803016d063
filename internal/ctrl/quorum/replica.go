package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrNotLeader says that a proposal went to a replica that doesn't lead.
var ErrNotLeader = errors.New("this replica does not lead")

// Options says who a replica is and who the others are.
type Options struct {
	// ID is this replica.
	ID ReplicaID
	// Voters are all voters, this replica included where it votes.
	Voters []ReplicaID
	// Entries are the entries that the disk holds, from index 1.
	Entries []Entry
}

// Output is what a replica wants done: first sync Append, then send Messages and apply Committed.
type Output struct {
	// Append is to be synced; Persisted is called once it is.
	Append []Entry
	// Messages are to be sent.
	Messages []Message
	// Committed are newly committed entries, in order.
	Committed []Entry
	// Reads are the contexts of reads that a quorum has confirmed.
	Reads []uint64
}

// Replica is one replica of the log; it is not safe for concurrent use.
type Replica struct {
	id      ReplicaID
	voters  []ReplicaID
	entries []Entry
	synced  uint64
	commit  uint64
	match   map[ReplicaID]uint64
	reads   uint64
	heard   map[ReplicaID]uint64
	out     Output
}

// New returns a replica with what its disk holds.
func New(o Options) *Replica {
	return &Replica{
		id:      o.ID,
		voters:  slices.Clone(o.Voters),
		entries: slices.Clone(o.Entries),
		synced:  uint64(len(o.Entries)),
		match:   map[ReplicaID]uint64{},
		heard:   map[ReplicaID]uint64{},
	}
}

// Leader returns the replica that leads, 0 where none is known.
func (r *Replica) Leader() ReplicaID {
	return slices.Min(r.voters)
}

// Role returns what this replica does at present.
func (r *Replica) Role() Role {
	if r.Leader() == r.id {
		return RoleLeader
	}
	return RoleFollower
}

// Take returns what is to be done since the last call.
func (r *Replica) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

// Propose adds a command to the log and returns its index; it fails on a follower.
func (r *Replica) Propose(data []byte) (uint64, error) {
	if r.Role() != RoleLeader {
		return 0, ErrNotLeader
	}
	e := Entry{Index: r.last() + 1, Term: 1, Kind: EntryCommand, Data: data}
	r.append(e)
	r.send(0)
	return e.Index, nil
}

// Read asks for a quorum's confirmation that this replica still leads; the context comes back in Output.Reads.
func (r *Replica) Read() (uint64, error) {
	if r.Role() != RoleLeader {
		return 0, ErrNotLeader
	}
	r.reads++
	r.heard[r.id] = r.reads
	r.send(r.reads)
	r.confirm(r.reads - 1)
	return r.reads, nil
}

// Tick lets a leader send its heartbeats; it is called once in each heartbeat interval.
func (r *Replica) Tick() {
	if r.Role() == RoleLeader {
		r.send(r.reads)
	}
}

// Persisted tells that the log is synced up to an index.
func (r *Replica) Persisted(index uint64) {
	r.synced = max(r.synced, index)
	if r.Role() == RoleLeader {
		r.match[r.id] = r.synced
		r.advance()
		return
	}
	r.ack()
}

// Step takes a message from another replica.
func (r *Replica) Step(m Message) {
	switch m.Kind {
	case MessageAppend:
		r.stepAppend(m)
	case MessageAppended:
		r.stepAppended(m)
	default:
	}
}

func (r *Replica) stepAppend(m Message) {
	if m.LogIndex > r.last() {
		r.reply(Message{Reject: true, Hint: r.last()})
		return
	}
	for _, e := range m.Entries {
		if e.Index == r.last()+1 {
			r.append(e)
		}
	}
	r.commitTo(min(m.Commit, r.last()))
	r.heard[r.id] = m.Context
	r.ack()
}

func (r *Replica) stepAppended(m Message) {
	if r.Role() != RoleLeader {
		return
	}
	if m.Reject {
		r.match[m.From] = min(m.Hint, r.last())
		r.sendTo(m.From, r.reads)
		return
	}
	r.match[m.From] = max(r.match[m.From], m.LogIndex)
	before := r.confirmed()
	r.heard[m.From] = max(r.heard[m.From], m.Context)
	r.confirm(before)
	r.advance()
}

func (r *Replica) append(e Entry) {
	r.entries = append(r.entries, e)
	r.out.Append = append(r.out.Append, e)
}

func (r *Replica) last() uint64 {
	return uint64(len(r.entries))
}

func (r *Replica) ack() {
	r.reply(Message{LogIndex: r.synced, Context: r.heard[r.id]})
}

func (r *Replica) reply(m Message) {
	m.Kind, m.From, m.To, m.Term = MessageAppended, r.id, r.Leader(), 1
	r.out.Messages = append(r.out.Messages, m)
}

func (r *Replica) send(context uint64) {
	for _, id := range r.voters {
		if id != r.id {
			r.sendTo(id, context)
		}
	}
}

func (r *Replica) sendTo(id ReplicaID, context uint64) {
	from := r.match[id]
	r.out.Messages = append(r.out.Messages, Message{
		Kind: MessageAppend, From: r.id, To: id, Term: 1,
		LogIndex: from, Commit: r.commit, Context: context,
		Entries: slices.Clone(r.entries[from:]),
	})
}

func (r *Replica) advance() {
	r.commitTo(r.quorumOf(r.match))
	if r.commit > 0 && len(r.out.Committed) > 0 {
		r.send(r.reads)
	}
}

func (r *Replica) commitTo(index uint64) {
	if index > r.commit {
		r.out.Committed = append(r.out.Committed, r.entries[r.commit:index]...)
		r.commit = index
	}
}

// confirmed returns the latest read that a quorum has heard of.
func (r *Replica) confirmed() uint64 {
	return r.quorumOf(r.heard)
}

func (r *Replica) confirm(before uint64) {
	for c := before + 1; c <= r.confirmed(); c++ {
		r.out.Reads = append(r.out.Reads, c)
	}
}

// quorumOf returns the highest value that more than half of the voters have reached.
func (r *Replica) quorumOf(values map[ReplicaID]uint64) uint64 {
	var all []uint64
	for _, id := range r.voters {
		all = append(all, values[id])
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
