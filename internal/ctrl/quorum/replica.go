package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

var (
	// ErrNotLeader is returned for a request that only a leader can serve.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrBusy is returned when the leader rejects a proposal for now; nothing was appended.
	ErrBusy = errors.New("the leader takes no proposal at present")
	// ErrFull means that the disk has no space for a write; earlier writes are intact.
	ErrFull = errors.New("the disk has no room at present")
)

const (
	// maxUncommittedBytes bounds the uncommitted entries of a leader; beyond it proposals fail with ErrBusy.
	maxUncommittedBytes = 16 << 20
	// keptEntries is the number of entries before a snapshot that are kept for followers that lag slightly.
	keptEntries = 1024
	// DefaultMessageBytes is the default limit for the entries of one message.
	DefaultMessageBytes = 256 << 10
	// maxHeldMessages bounds the messages that wait for the hard state to be synced; further ones are dropped.
	maxHeldMessages = 1024
)

// Position identifies a log entry uniquely by its index and term.
type Position struct {
	// Index is the entry's position in the log.
	Index uint64
	// Term is the entry's term.
	Term uint64
}

// Replica is one Raft replica; it is not safe for concurrent use.
type Replica struct {
	id      ReplicaID
	options Options
	role    Role
	hard    HardState
	leader  ReplicaID
	log     memoryLog
	commit  uint64
	// applied is the last committed index that Take has returned.
	applied     uint64
	memberships []membership

	// written is the last index that Take returned for writing, synced the last one reported by Persisted.
	written         uint64
	synced          uint64
	writtenHard     HardState
	syncedHard      HardState
	writes          []pendingWrite
	sequence        uint64
	pendingSnapshot *Write
	// heldMessages are messages to send once the hard state is synced.
	heldMessages []Message

	// matched is the last index up to which the log is known to equal that of the term's leader.
	matched uint64
	// leaderContext is the latest context received from the leader; answers echo it.
	leaderContext   uint64
	elapsed         int
	electionTimeout int
	grantedVotes    map[ReplicaID]bool
	partial         *partialSnapshot

	// The fields below are used by a leader only.
	peers       map[ReplicaID]*progress
	uncommitted int
	// ticksSinceBroadcast counts ticks since the last broadcast heartbeat.
	ticksSinceBroadcast int
	readsRequested      uint64
	readsSent           uint64
	readsConfirmed      uint64
	transferee          ReplicaID
	transferTicks       int

	out Output
}

// New returns a follower with the state recovered from disk.
func New(o Options) *Replica {
	if o.MessageBytes == 0 {
		o.MessageBytes = DefaultMessageBytes
	}
	r := &Replica{
		id: o.ID, options: o, hard: o.Hard, writtenHard: o.Hard, syncedHard: o.Hard,
		log: newMemoryLog(o.Snapshot, o.Entries), commit: o.Snapshot.Index, applied: o.Snapshot.Index,
		memberships: []membership{{index: o.Snapshot.Index, members: o.Snapshot.Members}},
	}
	r.written, r.synced = r.log.last(), r.log.last()
	for _, e := range o.Entries {
		r.trackMembers(e)
	}
	r.resetElectionTimer()
	switch {
	case o.FirstElectionTicks > 0 && o.Hard.Vote == o.ID:
		// It probably led before the restart; as leader it can resume its unfinished work soonest.
		r.electionTimeout = max(1, o.FirstElectionTicks/2)
	case o.FirstElectionTicks > 0:
		r.electionTimeout = o.FirstElectionTicks + 1 + o.Random(o.ElectionTicks/4+1)
	}
	return r
}

// Bootstrap writes the initial configuration to an empty replica. All members must have agreed to it durably before.
func (r *Replica) Bootstrap(members []Member) {
	if !check.That(!r.HasState(), "bootstrap_of_an_empty_replica", r.logFields()...) {
		return
	}
	r.hard = HardState{Term: 1}
	r.append(Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: slices.Clone(members)})
}

// HasState reports whether the replica has a log or has seen a term.
func (r *Replica) HasState() bool {
	return r.log.last() > 0 || r.hard.Term > 0
}

// Leader returns the current leader, 0 if unknown.
func (r *Replica) Leader() ReplicaID {
	return r.leader
}

// Role returns the current role.
func (r *Replica) Role() Role {
	return r.role
}

// Term returns the latest term that the replica has seen.
func (r *Replica) Term() uint64 {
	return r.hard.Term
}

// Commit returns the commit index.
func (r *Replica) Commit() uint64 {
	return r.commit
}

// Propose appends a command to the log. It returns ErrNotLeader unless this replica leads, and ErrBusy under back-pressure
// or during a leadership transfer.
func (r *Replica) Propose(data []byte) (Position, error) {
	if err := r.checkProposable(); err != nil {
		return Position{}, err
	}
	return r.propose(Entry{Kind: EntryCommand, Data: data}), nil
}

// Tick advances the logical clock by one tick.
func (r *Replica) Tick() {
	r.elapsed++
	if r.role == RoleLeader {
		r.tickLeader()
		return
	}
	if r.elapsed >= r.electionTimeout && r.isVoter(r.id) {
		r.preCampaign()
	}
}

// Step handles a message from another replica.
func (r *Replica) Step(m Message) {
	if m.To != r.id || !r.checkTerm(m) {
		return
	}
	switch m.Kind {
	case MessageAppend:
		r.stepAppend(m)
	case MessageAppended:
		r.stepAppended(m)
	case MessagePreVote, MessageVote:
		r.stepVote(m)
	case MessagePreVoted, MessageVoted:
		r.stepVoted(m)
	case MessageSnapshot:
		r.stepSnapshot(m)
	case MessageSnapshotted:
		r.stepSnapshotted(m)
	case MessageElect:
		r.stepElect(m)
	case MessageResigned:
		r.stepResigned(m)
	default:
	}
}

// Take returns the work that has accumulated since the last call.
func (r *Replica) Take() Output {
	if r.role == RoleLeader {
		r.replicateAll()
	}
	out := r.out
	r.out = Output{}
	out.Write = r.takeWrite()
	if r.applied < r.commit {
		out.Committed = r.log.entriesBetween(r.applied, r.commit)
		r.applied = r.commit
	}
	return out
}

// Compact takes a snapshot of the state machine at an applied index and drops the entries it replaces, but for the last
// keptEntries, or fewer where these have more than Options.KeptBytes.
func (r *Replica) Compact(index uint64, data []byte) {
	term, ok := r.log.term(index)
	if !check.That(ok && index <= r.applied, "snapshot_of_applied_entries", r.logFields(zap.Uint64("index", index))...) {
		return
	}
	s := Snapshot{Index: index, Term: term, Members: slices.Clone(r.membersAt(index)), Data: data}
	r.log.compact(s, r.log.lastWithin(index, keptEntries, r.options.KeptBytes))
	r.compactMemberships(index)
	r.pendingSnapshot = &Write{Snapshot: &s}
}

// append appends the entry after the last one.
func (r *Replica) append(e Entry) {
	check.That(e.Index == r.log.last()+1, "log_has_no_gap", r.logFields(zap.Uint64("index", e.Index))...)
	r.log.entries = append(r.log.entries, e)
	r.trackMembers(e)
}

// truncate drops the entries after index; committed entries are never dropped.
func (r *Replica) truncate(index uint64) {
	check.That(index >= r.commit, "committed_entry_is_kept", r.logFields(zap.Uint64("cut_after", index))...)
	r.log.truncate(index)
	r.truncateMemberships(index)
	r.rewindSynced(index)
}

func (r *Replica) commitTo(index uint64) {
	if index <= r.commit {
		return
	}
	check.That(index <= r.log.last(), "committed_entry_is_held", r.logFields(zap.Uint64("index", index))...)
	r.commit = min(index, r.log.last())
}

// send queues a message, to be sent once the hard state is synced.
func (r *Replica) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	if r.hard != r.syncedHard {
		if len(r.heldMessages) < maxHeldMessages {
			r.heldMessages = append(r.heldMessages, m)
		}
		return
	}
	r.out.Messages = append(r.out.Messages, m)
}

func (r *Replica) logFields(more ...zap.Field) []zap.Field {
	return append(more, zap.Uint64("replica", uint64(r.id)), zap.Stringer("role", r.role), zap.Uint64("term", r.hard.Term),
		zap.Uint64("leader", uint64(r.leader)), zap.Uint64("commit", r.commit), zap.Uint64("last", r.log.last()))
}
