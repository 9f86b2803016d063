package agent

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// marks is what the entry knows of the VMs.
type marks struct {
	index uint64
	known map[string]fleet.VMRoutingState
	// closed are the VMs that take no new work, with when the entry heard of it.
	closed map[string]time.Time
}

func newMarks() marks {
	return marks{known: map[string]fleet.VMRoutingState{}, closed: map[string]time.Time{}}
}

// take notes what changed.
func (m *marks) take(changed []fleet.VMRoutingState, now time.Time) {
	for _, c := range changed {
		delete(m.closed, c.VM)
		if c.Phase == 0 {
			delete(m.known, c.VM)
			continue
		}
		m.known[c.VM] = c
		if !c.AcceptsRequests() {
			m.closed[c.VM] = now
		}
	}
}

// allow says whether an endpoint may get new requests as far as its VM goes. A VM that the state
// doesn't hold is in its first epoch, and an endpoint that names no epoch is of the first one.
func (m *marks) allow(e fleet.Endpoint) bool {
	k, ok := m.known[e.VM]
	if !ok {
		return true
	}
	return k.AcceptsRequests() && max(e.Epoch, 1) >= k.Epoch
}

// usages returns the VMs without new work on which requests are in progress. A VM counts as in use
// until a settling time has passed, since a request may have been routed just before.
func (m *marks) usages(traffic Traffic, now time.Time, settle time.Duration) []fleet.VMUsage {
	var usages []fleet.VMUsage
	for vm, since := range m.closed {
		count := traffic.InProgress(vm)
		if count == 0 && now.Sub(since) < settle {
			count = 1
		}
		if count > 0 {
			usages = append(usages, fleet.VMUsage{VM: vm, Epoch: m.known[vm].Epoch, InProgress: count})
		}
	}
	return usages
}
