package quorum

// ReplicaID names one replica of the log for the life of its data folder; 0 names none.
type ReplicaID uint64

// MessageKind is the kind of a message between replicas; the zero value is not valid.
type MessageKind int

const (
	// MessageAppend carries entries, or is a heartbeat where it carries none.
	MessageAppend MessageKind = iota + 1 // append
	// MessageAppended answers an append.
	MessageAppended // appended
	// MessagePreVote asks whether a vote would be granted; it changes no term.
	MessagePreVote // pre_vote
	// MessagePreVoted answers a pre-vote.
	MessagePreVoted // pre_voted
	// MessageVote asks for a vote.
	MessageVote // vote
	// MessageVoted answers a vote.
	MessageVoted // voted
	// MessageSnapshot carries a piece of a snapshot.
	MessageSnapshot // snapshot
	// MessageSnapshotted tells how much of a snapshot has arrived.
	MessageSnapshotted // snapshotted
	// MessageElect tells the receiver to stand for election at once.
	MessageElect // elect
	// MessageResigned tells that the sender leads no more, so that nobody waits for it.
	MessageResigned // resigned
)

// EntryKind is the kind of a log entry; the zero value is not valid.
type EntryKind int

const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota + 1 // command
	// EntryEmpty is what a new leader writes first.
	EntryEmpty // empty
	// EntryMembers carries the members that hold from this entry on.
	EntryMembers // members
)

// Role is what a replica does at present.
type Role int

const (
	// RoleFollower means that the replica follows a leader, or waits for one.
	RoleFollower Role = iota // follower
	// RolePreCandidate means that the replica asks whether it would be elected.
	RolePreCandidate // pre_candidate
	// RoleCandidate means that the replica stands for election.
	RoleCandidate // candidate
	// RoleLeader means that the replica leads.
	RoleLeader // leader
)

// Member is one replica of the group.
type Member struct {
	// ID is the replica's identity.
	ID ReplicaID
	// Name is the name of the process that holds the replica.
	Name string
	// Voter is false for a learner, which follows the log and does not vote.
	Voter bool
}

// HardState is what a replica must sync before it speaks of it.
type HardState struct {
	// Term is the latest term that the replica has seen.
	Term uint64
	// Vote is whom it voted for in the term, 0 for none.
	Vote ReplicaID
}

// Entry is one entry of the log.
type Entry struct {
	// Index is the entry's place in the log, from 1.
	Index uint64
	// Term is the term of the leader that wrote the entry.
	Term uint64
	// Kind says what the entry holds.
	Kind EntryKind
	// Data is the command's bytes.
	Data []byte
	// Members are the members that hold from this entry on.
	Members []Member
}

// Snapshot stands for all entries up to an index.
type Snapshot struct {
	// Index is the last entry that the snapshot stands for.
	Index uint64
	// Term is that entry's term.
	Term uint64
	// Members are the members at that entry.
	Members []Member
	// Data is the state machine's state.
	Data []byte
}

// Write is what a replica wants synced; writes are synced in order.
type Write struct {
	// Sequence is to be handed to Persisted once the write is synced.
	Sequence uint64
	// Hard is the new hard state, nil where it is unchanged.
	Hard *HardState
	// Snapshot is to be saved before the entries, nil for none.
	Snapshot *Snapshot
	// Reset means that the log starts anew after the snapshot.
	Reset bool
	// Entries replace the log from the first one's index on.
	Entries []Entry
}

// Output is what a replica wants done; Restore goes before Committed, and Committed before Reads.
type Output struct {
	// Write is to be synced, nil for nothing.
	Write *Write
	// Messages are to be sent; none of them waits for Write.
	Messages []Message
	// Restore is a snapshot to restore the state machine from, nil for none.
	Restore *Snapshot
	// Committed are newly committed entries, in order.
	Committed []Entry
	// Reads are the reads that a quorum has confirmed.
	Reads []uint64
	// Deposed means that the replica led and leads no more: what waits on it has an unknown outcome.
	Deposed bool
}

// Message is one message between replicas; it may be lost, doubled or late.
type Message struct {
	// Kind is the kind of the message.
	Kind MessageKind
	// From is the sender.
	From ReplicaID
	// To is the receiver.
	To ReplicaID
	// Term is the sender's term, or the term stood for.
	Term uint64
	// LogIndex is the index of the entry before the carried ones, or of the one that is acknowledged.
	LogIndex uint64
	// LogTerm is the term of the entry at LogIndex.
	LogTerm uint64
	// Commit is the sender's commit index.
	Commit uint64
	// Reject means that the receiver could not follow, or refuses its vote.
	Reject bool
	// Hint is where the log of the sender of a rejection may still match.
	Hint uint64
	// Context ties a heartbeat to the reads that it confirms.
	Context uint64
	// Transfer means that the leader asked for this election.
	Transfer bool
	// Offset is the place of a snapshot's piece, or how much of the snapshot has arrived.
	Offset uint64
	// Total is the size of the snapshot.
	Total uint64
	// Piece is a part of the snapshot's data.
	Piece []byte
	// Members are the snapshot's members.
	Members []Member
	// Entries are the carried entries.
	Entries []Entry
}
