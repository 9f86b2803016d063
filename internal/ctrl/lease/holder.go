package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
)

// Holder holds what this replica knows of one entry from its renewals.
type Holder struct {
	// Name is the entry's name.
	Name string
	// Incarnation identifies the run of the entry's process; 0 before its first renewal on this replica.
	Incarnation uint64
	// Revision is the document revision in force on the entry.
	Revision uint64
	// LogIndex is the log index up to which the entry knows the state of the VMs.
	LogIndex uint64
	// Renewed is when this replica last granted the entry a lease.
	Renewed time.Time
	// Usages are the requests that the entry still has in progress on VMs that take no new work.
	Usages []fleet.VMUsage

	reports reportTotals
}

// update takes over what a renewal reports.
func (h *Holder) update(r grant.Renewal, now time.Time) {
	if h.Incarnation != r.Incarnation {
		h.reports.startIncarnation()
	}
	h.Incarnation, h.Revision, h.LogIndex, h.Renewed, h.Usages = r.Incarnation, r.Revision, r.LogIndex, now, r.Usages
	h.reports.update(r)
}

// Snapshot is an immutable copy of what the keeper knew when it last published.
type Snapshot struct {
	// Holders are the entries, sorted by name.
	Holders []Holder
	// Drained maps the VMs on which no entry has requests in progress to the epoch for which this holds.
	Drained map[string]uint64
	// Revisions are the latest revisions, latest first.
	Revisions []RevisionStatus
}

// Snapshot returns the latest published snapshot; the caller must not change it.
func (k *Keeper) Snapshot() *Snapshot {
	return k.snapshot.Load()
}

// Reports returns each service's request counts, summed over the entries and sorted by service. The counters
// start at 0 when an entry first reports to this replica, and never decrease.
func (k *Keeper) Reports() []fleet.ServiceReport {
	now := k.options.Clock.Now()
	sum := map[string]fleet.ServiceReport{}
	for _, h := range k.Snapshot().Holders {
		h.reports.addTo(sum, now.Sub(h.Renewed) < k.options.Lease)
	}
	all := slices.Collect(maps.Values(sum))
	slices.SortFunc(all, func(a, b fleet.ServiceReport) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// Drained reports whether no request is in progress on a draining VM and none can start under the epoch.
func (k *Keeper) Drained(vm string, epoch uint64) bool {
	drained, ok := k.Snapshot().Drained[vm]
	return ok && drained == epoch
}

// publish stores a new snapshot for other goroutines.
func (k *Keeper) publish() {
	holders := make([]Holder, 0, len(k.holders))
	for _, h := range k.holders {
		holders = append(holders, *h)
	}
	slices.SortFunc(holders, func(a, b Holder) int { return strings.Compare(a.Name, b.Name) })
	now := k.options.Clock.Now()
	k.snapshot.Store(&Snapshot{
		Holders:   holders,
		Drained:   k.vms.drained(holders, now, k.options.Lease+clockRateMargin+MaxDeadline),
		Revisions: k.revisions.list(now),
	})
}
