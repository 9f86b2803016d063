package slots

import "time"

// Key identifies an endpoint in messages; it is the hash of its name.
type Key uint64

// Demand is an entry's demand for slots of one service.
type Demand struct {
	// Service is the service's name.
	Service string
	// Count is the number of slots asked for.
	Count int
}

// Claim states how many slots of one runner an entry is granted and uses.
type Claim struct {
	// Key identifies the runner.
	Key Key
	// Granted is the number of slots that the entry believes it is granted; the home uses it only from full
	// reports.
	Granted int
	// InUse is the number of requests in progress.
	InUse int
}

// Report is sent by an entry to a home; it asks to renew all of the home's grants.
type Report struct {
	// Holder is the entry's name.
	Holder string
	// Incarnation differs for each start of the entry's process.
	Incarnation uint64
	// Number rises with each report of the incarnation to the home.
	Number uint64
	// MembersVersion is the version of the members that the entry uses.
	MembersVersion uint64
	// HomeIncarnation is the incarnation of the home whose answer the entry applied last.
	HomeIncarnation uint64
	// LastAnswer is the number of that answer.
	LastAnswer uint64
	// Full means that the claims are all that the entry has; otherwise they are only those with more in use than
	// granted.
	Full bool
	// Claims are sorted by key.
	Claims []Claim
	// Demands are those of the services with any; other services have none.
	Demands []Demand
}

// Grant is the number of requests that an entry may have in progress on a runner.
type Grant struct {
	// Key identifies the runner.
	Key Key
	// Slots is the number of requests.
	Slots int
}

// Answer is a home's answer to a report.
type Answer struct {
	// HomeIncarnation is the incarnation of the home.
	HomeIncarnation uint64
	// Number rises with each answer to the entry.
	Number uint64
	// NeedFull means that the home needs a full report; the answer renews no grant.
	NeedFull bool
	// GrantDuration is how long all grants of the home last, counted from the sending of the report.
	GrantDuration time.Duration
	// Grants are those that the entry has not acknowledged, sorted by key.
	Grants []Grant
}
