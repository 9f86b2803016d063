package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
)

// Holder is what this replica knows of one entry.
type Holder struct {
	// Name is the entry's name.
	Name string
	// Started tells one run of the entry from the next; 0 before its first renewal here.
	Started uint64
	// Revision is the revision in force on the entry.
	Revision uint64
	// Index is the log index up to which the entry knows the VMs.
	Index uint64
	// Renewed is when the entry was last granted a lease here.
	Renewed time.Time
	// Usages are the VMs without new work on which the entry has requests in progress.
	Usages []fleet.Usage

	reports reports
}

// take notes what a renewal tells.
func (h *Holder) take(r grant.Renewal, now time.Time) {
	if h.Started != r.Started {
		h.reports.restart()
	}
	h.Started, h.Revision, h.Index, h.Renewed, h.Usages = r.Started, r.Revision, r.Index, now, r.Usages
	h.reports.take(r)
}

// Snapshot is what the keeper knew after its last look; it is never changed.
type Snapshot struct {
	// Holders are the entries, by name.
	Holders []Holder
	// Drained are the VMs on which no entry has requests in progress, by name, with the epoch that this holds for.
	Drained map[string]uint64
	// Revisions are the latest revisions, the latest first.
	Revisions []Force
}

// Snapshot returns what the keeper knew after its last look.
func (k *Keeper) Snapshot() *Snapshot {
	return k.snapshot.Load()
}

// Reports returns the services' counts, added up over the entries, by service. The counts begin at 0
// where this replica first heard of an entry's, and only rise.
func (k *Keeper) Reports() []fleet.Report {
	now := k.options.Clock.Now()
	sum := map[string]fleet.Report{}
	for _, h := range k.Snapshot().Holders {
		h.reports.addTo(sum, now.Sub(h.Renewed) < k.options.Lease)
	}
	all := slices.Collect(maps.Values(sum))
	slices.SortFunc(all, func(a, b fleet.Report) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// Drained says whether no request is in progress on a draining VM, nor can be again under its epoch.
func (k *Keeper) Drained(vm string, epoch uint64) bool {
	drained, ok := k.Snapshot().Drained[vm]
	return ok && drained == epoch
}

// publish makes the snapshot that others read.
func (k *Keeper) publish() {
	holders := make([]Holder, 0, len(k.holders))
	for _, h := range k.holders {
		holders = append(holders, *h)
	}
	slices.SortFunc(holders, func(a, b Holder) int { return strings.Compare(a.Name, b.Name) })
	now := k.options.Clock.Now()
	k.snapshot.Store(&Snapshot{
		Holders:   holders,
		Drained:   k.marks.drained(holders, now, k.options.Lease+rateMargin+LongestDeadline),
		Revisions: k.force.list(now),
	})
}
