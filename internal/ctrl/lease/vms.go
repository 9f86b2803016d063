package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/fleet"
)

// trackedVM holds the epoch and phase of one VM and when they last changed.
type trackedVM struct {
	fleet.VMRoutingState
	// index is a log index at or after the change; an entry that knows the state up to it knows the change.
	index uint64
	// seen is when this replica first saw the change.
	seen time.Time
}

// vmTracker tracks the VMs in the state and when each of them last changed.
type vmTracker struct {
	applied uint64
	known   map[string]trackedVM
	// notAccepting are the VMs that take no new work.
	notAccepting map[string]bool
}

func newVMTracker() vmTracker {
	return vmTracker{known: map[string]trackedVM{}, notAccepting: map[string]bool{}}
}

// observe updates the VMs that changed since the last call; a VM that is gone from the state is kept without a phase.
func (t *vmTracker) observe(s *state.State, now time.Time) {
	if s.Applied == t.applied {
		return
	}
	t.applied = s.Applied
	for name, v := range s.VMs {
		t.update(fleet.VMRoutingState{VM: name, Epoch: v.Epoch, Phase: v.Phase}, now)
	}
	if len(t.known) == len(s.VMs) {
		return
	}
	for name, known := range t.known {
		if _, ok := s.VMs[name]; !ok {
			t.update(fleet.VMRoutingState{VM: name, Epoch: known.Epoch}, now)
		}
	}
}

func (t *vmTracker) update(changed fleet.VMRoutingState, now time.Time) {
	if known, ok := t.known[changed.VM]; ok && known.VMRoutingState == changed {
		return
	}
	t.known[changed.VM] = trackedVM{VMRoutingState: changed, index: t.applied, seen: now}
	delete(t.notAccepting, changed.VM)
	if !changed.AcceptsRequests() {
		t.notAccepting[changed.VM] = true
	}
}

// changedSince returns the VMs, sorted by name, whose latest change is unknown to an entry that knows the state up to
// index.
func (t *vmTracker) changedSince(index uint64) []fleet.VMRoutingState {
	var changed []fleet.VMRoutingState
	for _, k := range t.known {
		// An entry that knows no state assumes that a VM takes work in its first epoch.
		assumed := k.AcceptsRequests() && k.Epoch <= 1
		if k.index > index && (index > 0 || !assumed) {
			changed = append(changed, k.VMRoutingState)
		}
	}
	slices.SortFunc(changed, func(a, b fleet.VMRoutingState) int { return strings.Compare(a.VM, b.VM) })
	return changed
}

// drained returns the VMs that take no new work and on which no entry has requests in progress, with their epochs.
// Either each entry has reported this after it learned of the change, or timeout has passed since the change: then the
// lease of an entry that didn't learn of it lapsed more than the longest deadline ago.
func (t *vmTracker) drained(holders []Holder, now time.Time, timeout time.Duration) map[string]uint64 {
	if len(t.notAccepting) == 0 {
		return nil
	}
	drained := map[string]uint64{}
	for _, vm := range slices.Sorted(maps.Keys(t.notAccepting)) {
		k := t.known[vm]
		idle := func(h Holder) bool {
			uses := func(u fleet.VMUsage) bool { return u.VM == vm && u.InProgress > 0 }
			return h.Incarnation != 0 && h.LogIndex >= k.index && !slices.ContainsFunc(h.Usages, uses)
		}
		waits := slices.ContainsFunc(holders, func(h Holder) bool { return !idle(h) })
		if !waits || now.Sub(k.seen) >= timeout {
			drained[vm] = k.Epoch
		}
	}
	return drained
}
