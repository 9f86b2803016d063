package quorum

// ReplicaID identifies one replica for the lifetime of its data folder; 0 means none.
type ReplicaID uint64

// MessageKind is the kind of a message between replicas; the zero value is invalid.
type MessageKind int

const (
	// MessageAppend carries log entries; without entries it is a heartbeat.
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
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot // snapshot
	// MessageSnapshotted acknowledges the bytes of a snapshot received so far.
	MessageSnapshotted // snapshotted
	// MessageElect asks the receiver to start an election at once, for a leadership transfer.
	MessageElect // elect
	// MessageResigned announces that the sender has stepped down, so that followers don't wait for the election timeout.
	MessageResigned // resigned
)

// EntryKind is the kind of a log entry; the zero value is invalid.
type EntryKind int

const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota + 1 // command
	// EntryEmpty carries nothing; a new leader appends it first, to commit the entries of earlier terms.
	EntryEmpty // empty
	// EntryMembers carries the configuration of members that applies from this entry on.
	EntryMembers // members
)

// Role is the Raft role of a replica; the zero value is RoleFollower.
type Role int

const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower Role = iota // follower
	// RolePreCandidate requests pre-votes.
	RolePreCandidate // pre_candidate
	// RoleCandidate requests votes.
	RoleCandidate // candidate
	// RoleLeader replicates its log to the other members.
	RoleLeader // leader
)

// Member is one replica in the group's configuration.
type Member struct {
	// ID identifies the replica.
	ID ReplicaID
	// Name is the name of the process that runs the replica.
	Name string
	// Voter is false for a learner, which receives the log but does not vote.
	Voter bool
}

// HardState is the state that must be synced to disk before any message that depends on it is sent.
type HardState struct {
	// Term is the latest term that the replica has seen.
	Term uint64
	// Vote is the replica that received its vote in Term, 0 for none.
	Vote ReplicaID
}

// Entry is one log entry.
type Entry struct {
	// Index is the entry's position in the log, starting at 1.
	Index uint64
	// Term is the term of the leader that created the entry.
	Term uint64
	// Kind selects which of Data and Members is set.
	Kind EntryKind
	// Data is the encoded command of an EntryCommand.
	Data []byte
	// Members is the configuration of an EntryMembers.
	Members []Member
}

// Snapshot is the state machine's state after all entries up to Index, which it replaces.
type Snapshot struct {
	// Index is the index of the last entry included; 0 means no snapshot.
	Index uint64
	// Term is the term of the last entry included.
	Term uint64
	// Members is the configuration at Index.
	Members []Member
	// Data is the encoded state.
	Data []byte
}

// Write is a set of changes that must be synced to disk; writes are synced in order.
type Write struct {
	// Sequence is passed to Replica.Persisted once the write is synced.
	Sequence uint64
	// Hard is the new hard state, nil if unchanged.
	Hard *HardState
	// Snapshot must be saved before Entries; nil for none.
	Snapshot *Snapshot
	// Reset discards all entries on disk; the log restarts after Snapshot.
	Reset bool
	// Entries replace the log from the index of the first one on.
	Entries []Entry
}

// Output is the work that the caller of Replica.Take must do: Restore before Committed, and Committed before Reads.
type Output struct {
	// Write must be synced; nil for nothing.
	Write *Write
	// Messages can be sent at once, without waiting for Write.
	Messages []Message
	// Restore is the snapshot from which the state machine must be restored; nil for none.
	Restore *Snapshot
	// Committed are the newly committed entries to apply, in order.
	Committed []Entry
	// Reads are the numbers returned by Replica.Read for which a quorum has now confirmed the leadership.
	Reads []uint64
	// Deposed means that the replica lost the leadership: the outcome of pending proposals and reads is unknown.
	Deposed bool
}

// Message is one message between replicas; it may be lost, duplicated or delayed.
type Message struct {
	// Kind selects which of the other fields are used.
	Kind MessageKind
	From ReplicaID
	To   ReplicaID
	// Term is the sender's term; in a pre-vote and its grant, the term of the proposed election.
	Term uint64
	// LogIndex is the index of the entry before Entries, of the sender's last entry in a vote request, of the snapshot, or
	// of the entry that an answer acknowledges or rejects.
	LogIndex uint64
	// LogTerm is the term of the entry at LogIndex.
	LogTerm uint64
	// Commit is the sender's commit index.
	Commit uint64
	// Reject means that the sender rejects an append or refuses its vote.
	Reject bool
	// Hint is, in a rejected append, the highest index at which the follower's log may still match.
	Hint uint64
	// Context is the number of the latest read that a heartbeat confirms; followers echo it.
	Context uint64
	// Transfer marks a vote request of a leadership transfer; members handle it even if they hear a leader.
	Transfer bool
	// Offset is the byte offset of Chunk or, in an answer, the number of snapshot bytes received.
	Offset uint64
	// Total is the size of the snapshot in bytes.
	Total uint64
	// Chunk is a part of the snapshot's data.
	Chunk []byte
	// Members is the configuration in the snapshot.
	Members []Member
	// Entries are the entries to append after LogIndex.
	Entries []Entry
}
