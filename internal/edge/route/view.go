package route

import (
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

// Lease permits an entry to accept new requests; the zero value has lapsed.
type Lease struct {
	// Start is when the renewal request was sent.
	Start time.Time
	// Length is how long the lease lasts from Start.
	Length time.Duration
}

// Valid reports whether the lease is held at a time. The monotonic clock of a paused VM may stand still, and the wall
// clock may be set back, so the clock that advanced further decides.
func (l Lease) Valid(now time.Time) bool {
	monotonic := now.Sub(l.Start)
	wall := now.Round(0).Sub(l.Start.Round(0))
	return max(monotonic, wall) < l.Length
}

// Service is a service and the endpoints that may receive its requests.
type Service struct {
	// Settings is the service's entry in the document in force.
	Settings docs.Service
	// Endpoints are the service's live endpoints, sorted by name.
	Endpoints []fleet.Endpoint
}

// View holds the lease, services and teams by which requests are routed; it is immutable once published.
type View struct {
	// Lease permits the entry to accept new requests.
	Lease Lease
	// Revision is the document's revision, 0 before the first document.
	Revision uint64
	// Services maps names to services.
	Services map[string]Service
	// Version is the version of Entries; it rises with each change.
	Version uint64
	// Entries are the names of the entries that hold a lease.
	Entries []string
	// Teams maps the names of the document's teams to their weights.
	Teams map[string]int
}
