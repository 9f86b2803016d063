package grant

import (
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

// Renewal is an entry's wish to renew its lease.
type Renewal struct {
	// Entry is the entry's name.
	Entry string
	// Started tells one run of the entry from the next; it is never 0.
	Started uint64
	// Lease is how long the entry counts its lease.
	Lease time.Duration
	// Revision is the revision in force on the entry.
	Revision uint64
	// Whole asks for the whole document, since a delta could not be used.
	Whole bool
	// Index is the log index up to which the entry knows the VMs; 0 for nothing.
	Index uint64
	// Usages are the VMs without new work on which the entry has requests in progress.
	Usages []fleet.Usage
	// Reports are the services whose counts have changed.
	Reports []fleet.Report
	// Version is that of the entries which hold a lease, as the entry knows them.
	Version uint64
	// AllReports means that Reports holds every service with counts.
	AllReports bool
}

// Grant is the leader's answer to a renewal.
type Grant struct {
	// Revision is the revision that is to be in force.
	Revision uint64
	// Digest names its text.
	Digest string
	// Document turns the entry's text into it; nil where the entry has it.
	Document *docs.Delta
	// Index is the log index up to which Marks tells of the VMs.
	Index uint64
	// Marks are the VMs that changed since the entry's index.
	Marks []fleet.Mark
	// WantReports asks for the counts of all services with the next renewal.
	WantReports bool
	// Version is that of the entries which hold a lease; it rises with each change.
	Version uint64
	// Entries are their names, nil where the entry knows the version.
	Entries []string
}
