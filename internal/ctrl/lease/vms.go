package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/fleet"
)

// mark is what is known of one VM, and since when.
type mark struct {
	fleet.Mark
	// index is a log index at or after the change; an entry that knows it knows the change.
	index uint64
	// seen is when this replica first saw the change.
	seen time.Time
}

// marks follows the VMs of the state.
type marks struct {
	applied uint64
	known   map[string]mark
	// busy are the VMs that take no new work.
	busy map[string]bool
}

func newMarks() marks {
	return marks{known: map[string]mark{}, busy: map[string]bool{}}
}

// observe notes the VMs that changed since the last look.
func (m *marks) observe(s *state.State, now time.Time) {
	if s.Applied == m.applied {
		return
	}
	m.applied = s.Applied
	for name, v := range s.VMs {
		m.note(fleet.Mark{VM: name, Epoch: v.Epoch, Phase: v.Phase}, now)
	}
	if len(m.known) == len(s.VMs) {
		return
	}
	for name, known := range m.known {
		if _, ok := s.VMs[name]; !ok {
			m.note(fleet.Mark{VM: name, Epoch: known.Epoch}, now)
		}
	}
}

func (m *marks) note(changed fleet.Mark, now time.Time) {
	if known, ok := m.known[changed.VM]; ok && known.Mark == changed {
		return
	}
	m.known[changed.VM] = mark{Mark: changed, index: m.applied, seen: now}
	delete(m.busy, changed.VM)
	if !changed.TakesWork() {
		m.busy[changed.VM] = true
	}
}

// since returns what an entry lacks that knows the VMs up to an index, by name.
func (m *marks) since(index uint64) []fleet.Mark {
	var changed []fleet.Mark
	for _, k := range m.known {
		// To an entry that knows nothing, a VM is active in its first epoch.
		plain := k.TakesWork() && k.Epoch <= 1
		if k.index > index && (index > 0 || !plain) {
			changed = append(changed, k.Mark)
		}
	}
	slices.SortFunc(changed, func(a, b fleet.Mark) int { return strings.Compare(a.VM, b.VM) })
	return changed
}

// drained returns the VMs without new work on which no entry has requests in progress. Each entry
// has said so after it heard of the change, or the bound has passed: the lease of an entry that did
// not hear of it lapsed more than the longest deadline ago.
func (m *marks) drained(holders []Holder, now time.Time, bound time.Duration) map[string]uint64 {
	if len(m.busy) == 0 {
		return nil
	}
	drained := map[string]uint64{}
	for _, vm := range slices.Sorted(maps.Keys(m.busy)) {
		k := m.known[vm]
		quiet := func(h Holder) bool {
			uses := func(u fleet.Usage) bool { return u.VM == vm && u.InProgress > 0 }
			return h.Started != 0 && h.Index >= k.index && !slices.ContainsFunc(h.Usages, uses)
		}
		waits := slices.ContainsFunc(holders, func(h Holder) bool { return !quiet(h) })
		if !waits || now.Sub(k.seen) >= bound {
			drained[vm] = k.Epoch
		}
	}
	return drained
}
