package table

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cowslipstack/internal/model/fleet"
)

const (
	// MaxEndpoints is the maximum number of endpoints in a table, tombstones included.
	MaxEndpoints = 16384
	// TombstoneTTL is how long an endpoint that left is kept as a tombstone, so that a late announcement doesn't
	// restore it.
	TombstoneTTL = 15 * time.Minute
	// BucketCount is the number of buckets over which endpoints are distributed for comparison.
	BucketCount = 64
)

// Change is the effect of an announcement on the table; the zero value is not valid.
type Change int

const (
	// ChangeNone means that the announcement is expired or not newer than the table.
	ChangeNone Change = iota + 1 // none
	// ChangeRefreshed means that the announcement changed only the endpoint's sequence or expiry.
	ChangeRefreshed // refreshed
	// ChangeMade means that the endpoint is new, changed or leaving.
	ChangeMade // made
	// ChangeRefused means that the table is full.
	ChangeRefused // refused
)

// Refresh extends the expiry of an endpoint that is known already.
type Refresh struct {
	// ID is the endpoint's number, see the function ID.
	ID uint64
	// TTL is the time until the new expiry.
	TTL time.Duration
}

// Table holds endpoints and tombstones; it is not safe for concurrent use.
type Table struct {
	// endpoints maps keys to endpoints, and keys maps IDs to keys.
	endpoints map[string]fleet.Endpoint
	keys      map[uint64]string
	// services holds the endpoint keys of each service.
	services map[string]map[string]bool
	// buckets holds the XOR of the endpoints' fingerprints in each bucket.
	buckets [BucketCount]uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		endpoints: map[string]fleet.Endpoint{},
		keys:      map[uint64]string{},
		services:  map[string]map[string]bool{},
	}
}

// ID returns the number that identifies an endpoint in refreshes: a hash of service and name.
func ID(e fleet.Endpoint) uint64 {
	return hash(e.Service, e.Name)
}

// Merge merges an announcement: a higher sequence overrides a lower one, and leaving is final.
func (t *Table) Merge(e fleet.Endpoint, now time.Time) Change {
	known, ok := t.endpoints[e.Key()]
	switch {
	case !now.Before(e.Expires):
		return ChangeNone
	case ok && known.Leaving:
		return ChangeNone
	case ok && !e.Leaving && known.Sequence >= e.Sequence:
		return t.extend(known, e)
	case !ok && len(t.endpoints) >= MaxEndpoints:
		return ChangeRefused
	}
	if ok && !e.Leaving && known.Expires.After(e.Expires) {
		e.Expires = known.Expires
	}
	t.put(e)
	if ok && fingerprint(known) == fingerprint(e) {
		return ChangeRefreshed
	}
	return ChangeMade
}

// extend takes over the later expiry of an announcement with the same content, such as one that another entry received
// later.
func (t *Table) extend(known, e fleet.Endpoint) Change {
	if fingerprint(known) != fingerprint(e) || !e.Expires.After(known.Expires) {
		return ChangeNone
	}
	known.Expires = e.Expires
	t.endpoints[known.Key()] = known
	return ChangeRefreshed
}

// Refresh extends an endpoint's expiry and returns the endpoint; it returns false if the endpoint is not known or left.
func (t *Table) Refresh(r Refresh, now time.Time) (fleet.Endpoint, bool) {
	e, ok := t.endpoints[t.keys[r.ID]]
	if !ok || e.Leaving {
		return fleet.Endpoint{}, false
	}
	if expires := now.Add(r.TTL); expires.After(e.Expires) {
		e.Expires = expires
		t.endpoints[e.Key()] = e
	}
	return e, true
}

// Expire removes the endpoints and tombstones that have expired and returns them, sorted by key.
func (t *Table) Expire(now time.Time) []fleet.Endpoint {
	var expired []fleet.Endpoint
	for _, e := range t.endpoints {
		if !now.Before(e.Expires) {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		t.remove(e)
	}
	sortByKey(expired)
	return expired
}

// Service returns a service's endpoints without tombstones, sorted by name.
func (t *Table) Service(name string) []fleet.Endpoint {
	var all []fleet.Endpoint
	for key := range t.services[name] {
		if e := t.endpoints[key]; !e.Leaving {
			all = append(all, e)
		}
	}
	sortByKey(all)
	return all
}

// All returns all endpoints, tombstones included, sorted by key.
func (t *Table) All() []fleet.Endpoint {
	all := slices.Collect(maps.Values(t.endpoints))
	sortByKey(all)
	return all
}

// Len returns the number of endpoints, tombstones included.
func (t *Table) Len() int {
	return len(t.endpoints)
}

// Root returns the digest of all endpoints, which is equal for tables with the same endpoints.
func (t *Table) Root() uint64 {
	var root uint64
	for _, b := range t.buckets {
		root = root*0x9e3779b97f4a7c15 + b
	}
	return root
}

// BucketDigests returns the digests of all buckets.
func (t *Table) BucketDigests() []uint64 {
	return slices.Clone(t.buckets[:])
}

// DifferingBuckets returns the indices of the buckets whose digests differ from the given ones.
func (t *Table) DifferingBuckets(buckets []uint64) []int {
	var differing []int
	for i := range t.buckets {
		if i >= len(buckets) || buckets[i] != t.buckets[i] {
			differing = append(differing, i)
		}
	}
	return differing
}

// InBuckets returns the endpoints in the given buckets, sorted by key.
func (t *Table) InBuckets(buckets []int) []fleet.Endpoint {
	var all []fleet.Endpoint
	for _, e := range t.endpoints {
		if slices.Contains(buckets, bucket(e)) {
			all = append(all, e)
		}
	}
	sortByKey(all)
	return all
}

func (t *Table) put(e fleet.Endpoint) {
	key := e.Key()
	if known, ok := t.endpoints[key]; ok {
		t.buckets[bucket(known)] ^= fingerprint(known)
	}
	t.buckets[bucket(e)] ^= fingerprint(e)
	t.endpoints[key] = e
	t.keys[ID(e)] = key
	if t.services[e.Service] == nil {
		t.services[e.Service] = map[string]bool{}
	}
	t.services[e.Service][key] = true
}

func (t *Table) remove(e fleet.Endpoint) {
	t.buckets[bucket(e)] ^= fingerprint(e)
	delete(t.endpoints, e.Key())
	delete(t.keys, ID(e))
	delete(t.services[e.Service], e.Key())
	if len(t.services[e.Service]) == 0 {
		delete(t.services, e.Service)
	}
}

func bucket(e fleet.Endpoint) int {
	return int(ID(e) % BucketCount)
}

// fingerprint hashes an announcement without its sequence and expiry.
func fingerprint(e fleet.Endpoint) uint64 {
	if e.Leaving {
		return hash(e.Service, e.Name, "leaving")
	}
	return hash(e.Service, e.Name, e.Address, e.VM, e.Domain.DataCentre, e.Domain.Rack,
		strconv.Itoa(e.Slots), strconv.FormatUint(e.Epoch, 10))
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		// Writes to a hash never fail.
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func sortByKey(endpoints []fleet.Endpoint) {
	slices.SortFunc(endpoints, func(a, b fleet.Endpoint) int { return strings.Compare(a.Key(), b.Key()) })
}
