package quorum

// Options holds a replica's identity, recovered state and timing.
type Options struct {
	// ID identifies this replica.
	ID ReplicaID
	// Hard is the hard state recovered from disk.
	Hard HardState
	// Snapshot is the latest snapshot on disk; its index is 0 if there is none.
	Snapshot Snapshot
	// Entries are the entries on disk after the snapshot.
	Entries []Entry
	// HeartbeatTicks is the heartbeat interval in ticks.
	HeartbeatTicks int
	// ElectionTicks is the minimum election timeout in ticks.
	ElectionTicks int
	// FirstElectionTicks is the minimum timeout of the first election after a start, in ticks; 0 means ElectionTicks. A
	// replica that voted for itself in its latest known term waits half of it.
	FirstElectionTicks int
	// Random returns a random number from 0 up to, but not including, its argument.
	Random func(int) int
	// KeptBytes limits the entries before a snapshot that are kept for followers that lag slightly; 0 means no limit.
	KeptBytes int
	// MessageBytes limits the entries of one message; 0 means DefaultMessageBytes.
	MessageBytes int
}
