package route

import (
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

// Lease is an entry's right to take new requests; the zero value has lapsed.
type Lease struct {
	// Start is when the renewal was sent.
	Start time.Time
	// Length is how long the lease lasts from Start.
	Length time.Duration
}

// Valid says whether the lease holds at a time. A paused VM's monotonic clock may
// stand still, and a wall clock may be set back: the one that moved further counts.
func (l Lease) Valid(now time.Time) bool {
	monotonic := now.Sub(l.Start)
	wall := now.Round(0).Sub(l.Start.Round(0))
	return max(monotonic, wall) < l.Length
}

// Service is one service with the endpoints that may get its requests.
type Service struct {
	// Settings is the service as the document in force gives it.
	Settings docs.Service
	// Endpoints are its live endpoints, by name.
	Endpoints []fleet.Endpoint
}

// View is what traffic reads; it is never changed after it is published.
type View struct {
	// Lease is the entry's right to take new requests.
	Lease Lease
	// Revision is the document's revision, 0 before the first.
	Revision uint64
	// Generation rises with each change of the services.
	Generation uint64
	// Services are the services by name.
	Services map[string]Service
	// Version is that of Entries; it rises with each change.
	Version uint64
	// Entries are the names of the entries that hold a lease.
	Entries []string
	// Teams are the weights of the teams in the document, by name.
	Teams map[string]int
}
