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

	reports map[string]fleet.Report
}

// take notes what a renewal tells; it returns true for the first of a run.
func (h *Holder) take(r grant.Renewal, now time.Time) bool {
	fresh := h.Started != r.Started
	if fresh {
		h.reports = nil
	}
	h.Started, h.Revision, h.Index, h.Renewed, h.Usages = r.Started, r.Revision, r.Index, now, r.Usages
	if len(r.Reports) > 0 {
		// A published map is read by others.
		h.reports = maps.Clone(h.reports)
		if h.reports == nil {
			h.reports = make(map[string]fleet.Report, len(r.Reports))
		}
		for _, report := range r.Reports {
			h.reports[report.Service] = report
		}
	}
	return fresh
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

// EntryReport is what one run of one entry told of its services.
type EntryReport struct {
	// Entry is the entry's name.
	Entry string
	// Started tells one run of the entry from the next; the counts begin at 0 with each.
	Started uint64
	// Reports are its services' counts, by service.
	Reports map[string]fleet.Report
}

// Reports returns the counts of each entry that renewed here, by entry.
func (k *Keeper) Reports() []EntryReport {
	var all []EntryReport
	for _, h := range k.Snapshot().Holders {
		if h.Started != 0 {
			all = append(all, EntryReport{Entry: h.Name, Started: h.Started, Reports: h.reports})
		}
	}
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
