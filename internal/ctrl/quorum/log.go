package quorum

import (
	"slices"
	"sort"
)

// entryOverheadBytes approximates the size of an entry's fields other than Data in size limits.
const entryOverheadBytes = 32

// memoryLog is the part of the log held in memory.
type memoryLog struct {
	// snapshot is the latest snapshot; entries up to its index may be compacted.
	snapshot Snapshot
	// base and baseTerm are the index and term of the entry before the first one held.
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func newMemoryLog(s Snapshot, entries []Entry) memoryLog {
	return memoryLog{snapshot: s, base: s.Index, baseTerm: s.Term, entries: slices.Clone(entries)}
}

func (m *memoryLog) last() uint64 {
	return m.base + uint64(len(m.entries))
}

func (m *memoryLog) lastTerm() uint64 {
	t, _ := m.term(m.last())
	return t
}

// term returns the term of the entry at index, and false if it is not held.
func (m *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == m.base:
		return m.baseTerm, true
	case index < m.base || index > m.last():
		return 0, false
	default:
		return m.entries[index-m.base-1].Term, true
	}
}

// entriesBetween returns a copy of the entries after one index, up to and including another.
func (m *memoryLog) entriesBetween(after, to uint64) []Entry {
	return slices.Clone(m.entries[after-m.base : to-m.base])
}

// entriesAfter returns a copy of the entries after index that fit limit bytes, but at least one.
func (m *memoryLog) entriesAfter(index uint64, limit int) []Entry {
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

// truncate drops the entries after index.
func (m *memoryLog) truncate(index uint64) {
	m.entries = m.entries[:index-m.base]
}

// firstIndexOfTerm returns the first held index of the term that the entry at index has.
func (m *memoryLog) firstIndexOfTerm(index uint64) uint64 {
	term, ok := m.term(index)
	if !ok || index <= m.base {
		return m.base + 1
	}
	at := sort.Search(int(index-m.base), func(i int) bool { return m.entries[i].Term >= term })
	return m.base + uint64(at) + 1
}

// lastWithin returns how many of the entries up to an index, at most the last count, have at most so many bytes; 0 bytes is no limit.
func (m *memoryLog) lastWithin(index, count uint64, bytes int) uint64 {
	if bytes == 0 {
		return count
	}
	kept := uint64(0)
	for ; kept < count && kept < index-m.base; kept++ {
		if bytes -= len(m.entries[index-m.base-1-kept].Data) + entryOverheadBytes; bytes < 0 {
			break
		}
	}
	return kept
}

// compact stores a snapshot and drops the entries it includes, except the last keep of them.
func (m *memoryLog) compact(s Snapshot, keep uint64) {
	m.snapshot = s
	if s.Index <= m.base+keep {
		return
	}
	base := s.Index - keep
	term, _ := m.term(base)
	m.entries = slices.Clone(m.entries[base-m.base:])
	m.base, m.baseTerm = base, term
}

// reset drops all entries and restarts the log after a snapshot.
func (m *memoryLog) reset(s Snapshot) {
	*m = memoryLog{snapshot: s, base: s.Index, baseTerm: s.Term}
}
