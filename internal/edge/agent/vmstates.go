package agent

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// vmStates holds the states of the VMs that the entry has received from the leader.
type vmStates struct {
	// index is the log index up to which states were received.
	index uint64
	// known holds the states by VM; a VM without a state is in its first epoch and takes work.
	known map[string]fleet.VMRoutingState
	// closed holds the VMs that take no new work, with the time at which the entry received their states.
	closed map[string]time.Time
}

func newVMStates() vmStates {
	return vmStates{known: map[string]fleet.VMRoutingState{}, closed: map[string]time.Time{}}
}

// apply stores the states that changed.
func (v *vmStates) apply(changed []fleet.VMRoutingState, now time.Time) {
	for _, c := range changed {
		delete(v.closed, c.VM)
		if c.Phase == 0 {
			delete(v.known, c.VM)
			continue
		}
		v.known[c.VM] = c
		if !c.AcceptsRequests() {
			v.closed[c.VM] = now
		}
	}
}

// allows reports whether the state of an endpoint's VM permits new requests. A VM without a state is in its first
// epoch, and an endpoint without an epoch belongs to the first one.
func (v *vmStates) allows(e fleet.Endpoint) bool {
	k, ok := v.known[e.VM]
	if !ok {
		return true
	}
	return k.AcceptsRequests() && max(e.Epoch, 1) >= k.Epoch
}

// usages returns the closed VMs on which requests are in progress. A VM counts as in use for the settle time after it
// was closed, since a request may have been routed to it just before.
func (v *vmStates) usages(traffic Traffic, now time.Time, settle time.Duration) []fleet.VMUsage {
	var usages []fleet.VMUsage
	for vm, since := range v.closed {
		count := traffic.InProgress(vm)
		if count == 0 && now.Sub(since) < settle {
			count = 1
		}
		if count > 0 {
			usages = append(usages, fleet.VMUsage{VM: vm, Epoch: v.known[vm].Epoch, InProgress: count})
		}
	}
	return usages
}
