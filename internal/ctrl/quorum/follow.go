package quorum

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

// partialSnapshot is an incompletely received snapshot; total is its size in bytes.
type partialSnapshot struct {
	snapshot Snapshot
	total    uint64
}

// acceptLeader follows the sender of an append or a snapshot as leader of the term; false if another replica leads.
func (r *Replica) acceptLeader(m Message) bool {
	ok := r.role != RoleLeader && (r.leader == 0 || r.leader == m.From)
	if !check.That(ok, "one_leader_per_term", r.logFields(zap.Uint64("from", uint64(m.From)))...) {
		return false
	}
	r.becomeFollower(m.Term, m.From)
	return true
}

func (r *Replica) stepAppend(m Message) {
	if !r.acceptLeader(m) {
		return
	}
	r.leaderContext = max(r.leaderContext, m.Context)
	entries := m.Entries
	if m.LogIndex < r.commit {
		// Committed entries are equal in all logs, so only the entries after them are compared.
		skip := min(r.commit-m.LogIndex, uint64(len(entries)))
		entries = entries[skip:]
		if len(entries) == 0 {
			r.matched = max(r.matched, min(r.commit, m.LogIndex+uint64(len(m.Entries))))
			r.acknowledge()
			return
		}
	} else if term, ok := r.log.term(m.LogIndex); !ok || term != m.LogTerm {
		r.rejectAppend(m, ok)
		return
	}
	r.mergeEntries(entries)
	r.matched = max(r.matched, m.LogIndex+uint64(len(m.Entries)))
	r.commitTo(min(m.Commit, r.matched))
	if len(m.Entries) == 0 || r.synced >= r.matched {
		r.acknowledge()
	}
}

// rejectAppend rejects an append and hints at the highest index where the logs may still match. conflict means that the
// entry at m.LogIndex has another term; otherwise it is absent.
func (r *Replica) rejectAppend(m Message, conflict bool) {
	hint := r.log.last()
	if conflict {
		hint = max(r.commit, r.log.firstIndexOfTerm(m.LogIndex)-1)
	}
	r.send(Message{
		Kind: MessageAppended, To: m.From, Reject: true, LogIndex: m.LogIndex,
		Hint: min(hint, m.LogIndex-1), Context: r.leaderContext,
	})
}

// mergeEntries appends the entries and truncates the log where it conflicts with them.
func (r *Replica) mergeEntries(entries []Entry) {
	for _, e := range entries {
		term, ok := r.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			r.truncate(e.Index - 1)
		}
		r.append(e)
	}
}

// acknowledge reports to the leader the last index that is synced and matches its log.
func (r *Replica) acknowledge() {
	if r.role != RoleFollower || r.leader == 0 {
		return
	}
	r.send(Message{Kind: MessageAppended, To: r.leader, LogIndex: min(r.matched, r.synced), Context: r.leaderContext})
}

func (r *Replica) stepSnapshot(m Message) {
	if !r.acceptLeader(m) {
		return
	}
	term, ok := r.log.term(m.LogIndex)
	if m.LogIndex <= r.commit || (ok && term == m.LogTerm) {
		r.matched = max(r.matched, m.LogIndex)
		r.commitTo(m.LogIndex)
		r.acknowledge()
		return
	}
	r.addSnapshotChunk(m)
	p := r.partial
	if p == nil {
		return
	}
	if arrived := uint64(len(p.snapshot.Data)); arrived < p.total {
		r.send(Message{Kind: MessageSnapshotted, To: m.From, LogIndex: m.LogIndex, Offset: arrived})
		return
	}
	r.partial = nil
	r.installSnapshot(p.snapshot)
}

// addSnapshotChunk appends a chunk if it follows those already received; other chunks are ignored.
func (r *Replica) addSnapshotChunk(m Message) {
	if r.partial == nil || r.partial.snapshot.Index != m.LogIndex || r.partial.snapshot.Term != m.LogTerm {
		r.partial = &partialSnapshot{
			snapshot: Snapshot{Index: m.LogIndex, Term: m.LogTerm, Members: slices.Clone(m.Members)}, total: m.Total,
		}
	}
	if m.Offset == uint64(len(r.partial.snapshot.Data)) {
		r.partial.snapshot.Data = append(r.partial.snapshot.Data, m.Chunk...)
	}
}

// installSnapshot replaces the log and the state machine's state with a complete snapshot.
func (r *Replica) installSnapshot(s Snapshot) {
	r.log.reset(s)
	r.memberships = []membership{{index: s.Index, members: s.Members}}
	r.rewindSynced(0)
	r.written = s.Index
	r.matched = s.Index
	r.commit, r.applied = s.Index, s.Index
	r.out.Restore = &s
	r.pendingSnapshot = &Write{Snapshot: &s, Reset: true}
}
