package slots

import "time"

// Key names an endpoint in messages; it is the hash of its name.
type Key uint64

// Demand is how many requests of a service an entry has in progress and waiting.
type Demand struct {
	// Service is the service's name.
	Service string
	// Count is the number of requests.
	Count int
}

// Claim is what an entry says that it has of one runner.
type Claim struct {
	// Key names the runner.
	Key Key
	// Granted is the slots that the entry goes by; only full reports give it.
	Granted int
	// InUse is the requests in progress.
	InUse int
}

// Report is what an entry tells the home of some runners; it asks to renew all grants of that home.
type Report struct {
	// Holder is the entry's name.
	Holder string
	// Incarnation differs for each start of the entry's process.
	Incarnation uint64
	// Number rises with each report of the incarnation to the home.
	Number uint64
	// Version is the version of the members that the entry goes by.
	Version uint64
	// Home is the incarnation of the home whose answer the entry took last.
	Home uint64
	// Answer is the number of that answer.
	Answer uint64
	// Full says that the claims are all that the entry has; else they are
	// those with more in use than granted.
	Full bool
	// Claims are by key.
	Claims []Claim
	// Demands are the services with requests, by name.
	Demands []Demand
}

// Grant is the most requests that an entry may have in progress on a runner.
type Grant struct {
	// Key names the runner.
	Key Key
	// Slots is the number of requests.
	Slots int
}

// Answer is what the home answers to a report.
type Answer struct {
	// Home is the incarnation of the home.
	Home uint64
	// Number rises with each answer to the entry.
	Number uint64
	// Resend says that the home needs a full report; no grant is renewed.
	Resend bool
	// Valid is how long all grants of the home last, from when the report was sent.
	Valid time.Duration
	// Grants are those that changed.
	Grants []Grant
}
