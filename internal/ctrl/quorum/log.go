package quorum

import (
	"slices"
	"sort"
)

// entryOverheadBytes stands for an entry's fields beside its data when sizes are bounded.
const entryOverheadBytes = 32

// memory is the part of the log that is kept in memory.
type memory struct {
	// snapshot is the latest snapshot; entries up to its index may be gone.
	snapshot Snapshot
	// base and baseTerm name the entry before the first kept one.
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func newMemory(s Snapshot, entries []Entry) memory {
	return memory{snapshot: s, base: s.Index, baseTerm: s.Term, entries: slices.Clone(entries)}
}

func (m *memory) last() uint64 {
	return m.base + uint64(len(m.entries))
}

func (m *memory) lastTerm() uint64 {
	t, _ := m.term(m.last())
	return t
}

// term returns the term of an entry, and false where it is not kept.
func (m *memory) term(index uint64) (uint64, bool) {
	switch {
	case index == m.base:
		return m.baseTerm, true
	case index < m.base || index > m.last():
		return 0, false
	default:
		return m.entries[index-m.base-1].Term, true
	}
}

// upTo returns a copy of the entries after one index up to another.
func (m *memory) upTo(after, to uint64) []Entry {
	return slices.Clone(m.entries[after-m.base : to-m.base])
}

// after returns a copy of the entries after an index, at least one and no more than fit the bytes.
func (m *memory) after(index uint64, limit int) []Entry {
	rest := m.entries[index-m.base:]
	bytes := 0
	for i, e := range rest {
		bytes += len(e.Data) + entryOverheadBytes
		if bytes > limit && i > 0 {
			return slices.Clone(rest[:i])
		}
	}
	return slices.Clone(rest)
}

// cut drops the entries after an index.
func (m *memory) cut(index uint64) {
	m.entries = m.entries[:index-m.base]
}

// firstOf returns the first kept index of the term that the entry at index has.
func (m *memory) firstOf(index uint64) uint64 {
	term, ok := m.term(index)
	if !ok || index <= m.base {
		return m.base + 1
	}
	at := sort.Search(int(index-m.base), func(i int) bool { return m.entries[i].Term >= term })
	return m.base + uint64(at) + 1
}

// compact takes a snapshot and drops entries that it stands for, but keeps the latest of them.
func (m *memory) compact(s Snapshot, keep uint64) {
	m.snapshot = s
	if s.Index <= m.base+keep {
		return
	}
	base := s.Index - keep
	term, _ := m.term(base)
	m.entries = slices.Clone(m.entries[base-m.base:])
	m.base, m.baseTerm = base, term
}

// reset starts the log anew after a snapshot.
func (m *memory) reset(s Snapshot) {
	*m = memory{snapshot: s, base: s.Index, baseTerm: s.Term}
}
