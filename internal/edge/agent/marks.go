package agent

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// marks holds the states of the VMs that the entry has received from the leader.
type marks struct {
	// index is the index up to which marks were received.
	index uint64
	// known holds the marks by VM; a VM without a mark is in its first epoch and takes work.
	known map[string]fleet.VMRoutingState
	// closed holds the VMs that take no new work, with the time at which the entry received their marks.
	closed map[string]time.Time
}

func newMarks() marks {
	return marks{known: map[string]fleet.VMRoutingState{}, closed: map[string]time.Time{}}
}

// apply stores the marks that changed.
func (m *marks) apply(changed []fleet.VMRoutingState, now time.Time) {
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

// allows reports whether the state of an endpoint's VM permits new requests. A VM without a mark is in its first epoch,
// and an endpoint without an epoch belongs to the first one.
func (m *marks) allows(e fleet.Endpoint) bool {
	k, ok := m.known[e.VM]
	if !ok {
		return true
	}
	return k.AcceptsRequests() && max(e.Epoch, 1) >= k.Epoch
}

// usages returns the closed VMs on which requests are in progress. A VM counts as in use for the settle time after it
// was closed, since a request may have been routed to it just before.
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
