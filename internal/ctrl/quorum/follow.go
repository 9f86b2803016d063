package quorum

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

// partialSnapshot is a snapshot of which pieces are still missing.
type partialSnapshot struct {
	snapshot Snapshot
	total    uint64
}

// heed follows the sender of an append or a snapshot as the leader of the term.
func (r *Replica) heed(m Message) bool {
	ok := r.role != RoleLeader && (r.leader == 0 || r.leader == m.From)
	if !check.That(ok, "one_leader_per_term", r.fields(zap.Uint64("from", uint64(m.From)))...) {
		return false
	}
	r.follow(m.Term, m.From)
	return true
}

func (r *Replica) stepAppend(m Message) {
	if !r.heed(m) {
		return
	}
	r.echo = max(r.echo, m.Context)
	entries := m.Entries
	if m.LogIndex < r.commit {
		// What is committed is the same in every log: only what comes after it is compared.
		skip := min(r.commit-m.LogIndex, uint64(len(entries)))
		entries = entries[skip:]
		if len(entries) == 0 {
			r.matched = max(r.matched, min(r.commit, m.LogIndex+uint64(len(m.Entries))))
			r.acknowledge()
			return
		}
	} else if term, ok := r.log.term(m.LogIndex); !ok || term != m.LogTerm {
		r.refuse(m, ok)
		return
	}
	r.merge(entries)
	r.matched = max(r.matched, m.LogIndex+uint64(len(m.Entries)))
	r.commitTo(min(m.Commit, r.matched))
	if len(m.Entries) == 0 || r.synced >= r.matched {
		r.acknowledge()
	}
}

// refuse tells the leader where the logs may still match.
func (r *Replica) refuse(m Message, conflict bool) {
	hint := r.log.last()
	if conflict {
		hint = max(r.commit, r.log.firstOf(m.LogIndex)-1)
	}
	r.send(Message{
		Kind: MessageAppended, To: m.From, Reject: true, LogIndex: m.LogIndex,
		Hint: min(hint, m.LogIndex-1), Context: r.echo,
	})
}

// merge adds entries, and cuts what conflicts with them.
func (r *Replica) merge(entries []Entry) {
	for _, e := range entries {
		term, ok := r.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			r.cut(e.Index - 1)
		}
		r.append(e)
	}
}

// acknowledge tells the leader what is synced of what it sent.
func (r *Replica) acknowledge() {
	if r.role != RoleFollower || r.leader == 0 {
		return
	}
	r.send(Message{Kind: MessageAppended, To: r.leader, LogIndex: min(r.matched, r.synced), Context: r.echo})
}

func (r *Replica) stepSnapshot(m Message) {
	if !r.heed(m) {
		return
	}
	term, ok := r.log.term(m.LogIndex)
	if m.LogIndex <= r.commit || (ok && term == m.LogTerm) {
		r.matched = max(r.matched, m.LogIndex)
		r.commitTo(m.LogIndex)
		r.acknowledge()
		return
	}
	r.collect(m)
	p := r.partial
	if p == nil {
		return
	}
	if arrived := uint64(len(p.snapshot.Data)); arrived < p.total {
		r.send(Message{Kind: MessageSnapshotted, To: m.From, LogIndex: m.LogIndex, Offset: arrived})
		return
	}
	r.partial = nil
	r.install(p.snapshot)
}

// collect takes a piece that follows those that have arrived.
func (r *Replica) collect(m Message) {
	if r.partial == nil || r.partial.snapshot.Index != m.LogIndex || r.partial.snapshot.Term != m.LogTerm {
		r.partial = &partialSnapshot{
			snapshot: Snapshot{Index: m.LogIndex, Term: m.LogTerm, Members: slices.Clone(m.Members)}, total: m.Total,
		}
	}
	if m.Offset == uint64(len(r.partial.snapshot.Data)) {
		r.partial.snapshot.Data = append(r.partial.snapshot.Data, m.Piece...)
	}
}

// install replaces the log and the state by a whole snapshot.
func (r *Replica) install(s Snapshot) {
	r.log.reset(s)
	r.memberships = []membership{{index: s.Index, members: s.Members}}
	r.unsync(0)
	r.saved = s.Index
	r.matched = s.Index
	r.commit, r.given = s.Index, s.Index
	r.out.Restore = &s
	r.snapshotWork = &Write{Snapshot: &s, Reset: true}
}
