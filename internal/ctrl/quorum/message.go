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
)

// EntryKind is the kind of a log entry; the zero value is not valid.
type EntryKind int

const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota + 1 // command
	// EntryEmpty is what a new leader writes first.
	EntryEmpty // empty
)

// Role is what a replica does at present.
type Role int

const (
	// RoleFollower means that the replica follows a leader, or waits for one.
	RoleFollower Role = iota // follower
	// RoleLeader means that the replica leads.
	RoleLeader // leader
)

// Entry is one entry of the log.
type Entry struct {
	// Index is the entry's place in the log, from 1.
	Index uint64
	// Term is the term of the leader that wrote the entry.
	Term uint64
	// Kind says what the data is.
	Kind EntryKind
	// Data is the command's bytes.
	Data []byte
}

// Message is one message between replicas; it may be lost, doubled or late.
type Message struct {
	// Kind is the kind of the message.
	Kind MessageKind
	// From is the sender.
	From ReplicaID
	// To is the receiver.
	To ReplicaID
	// Term is the sender's term.
	Term uint64
	// LogIndex and LogTerm name the entry before the carried ones, or the one that is acknowledged.
	LogIndex uint64
	// LogTerm is the term of the entry at LogIndex.
	LogTerm uint64
	// Commit is the sender's commit index.
	Commit uint64
	// Reject means that the receiver could not follow.
	Reject bool
	// Hint is the last index that the receiver of a rejected append has.
	Hint uint64
	// Context ties a heartbeat to the reads that it confirms.
	Context uint64
	// Entries are the carried entries.
	Entries []Entry
}
