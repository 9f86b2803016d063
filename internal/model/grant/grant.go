package grant

import (
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

// Renewal is an entry's request to renew its lease, with its latest feedback.
type Renewal struct {
	// Entry is the name of the entry.
	Entry string
	// Incarnation is the incarnation of the entry, which differs between two runs of it; never 0.
	Incarnation uint64
	// Lease is the duration for which the entry itself considers its lease valid.
	Lease time.Duration
	// Revision is the document revision in force on the entry.
	Revision uint64
	// WantDocument asks for the complete document, because the entry could not apply a delta.
	WantDocument bool
	// LogIndex is the log index up to which the entry knows the state of the VMs; 0 if it knows none.
	LogIndex uint64
	// Usages are the VMs that accept no new work but on which the entry still has requests in progress.
	Usages []fleet.VMUsage
	// Reports are the request counts of the services whose counts have changed.
	Reports []fleet.ServiceReport
	// EntriesVersion is the version of the list of entries that hold a lease, as the entry knows it.
	EntriesVersion uint64
	// AllReports means that Reports covers every service that has counts.
	AllReports bool
}

// Grant is the leader's answer to a renewal.
type Grant struct {
	// Revision is the document revision that the entry must put into force.
	Revision uint64
	// Digest identifies the text of that revision.
	Digest string
	// Document turns the entry's document into that revision; nil if the entry has it already.
	Document *docs.Delta
	// LogIndex is the log index up to which the grant describes the VMs.
	LogIndex uint64
	// VMs are the VMs that changed since the index in the renewal.
	VMs []fleet.VMRoutingState
	// WantReports asks for the counts of all services with the next renewal.
	WantReports bool
	// EntriesVersion is the version of the list of entries that hold a lease; it rises with each change of the list.
	EntriesVersion uint64
	// Entries are the names in that list; nil if the entry knows this version.
	Entries []string
}
