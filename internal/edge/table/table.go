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
	// MaxEndpoints bounds the endpoints that are held, those that left included.
	MaxEndpoints = 16384
	// LeftKept is how long a leaving endpoint is remembered, so that a late announcement doesn't bring it back.
	LeftKept = 15 * time.Minute
	// BucketCount is the count of buckets that the endpoints are spread over for comparison.
	BucketCount = 64
)

// Change is what an announcement did to the table; the zero value is not valid.
type Change int

const (
	// ChangeNone means that the table knew as much or more.
	ChangeNone Change = iota + 1 // none
	// ChangeRefreshed means that the endpoint's life was extended alone.
	ChangeRefreshed // refreshed
	// ChangeMade means that the endpoint is new, differs or leaves.
	ChangeMade // made
	// ChangeRefused means that there is no room for another endpoint.
	ChangeRefused // refused
)

// Refresh extends the life of an endpoint that is known already.
type Refresh struct {
	// ID names the endpoint: see ID.
	ID uint64
	// TTL is how long it is extended for.
	TTL time.Duration
}

// Table holds endpoints; only its owner's goroutine may use it.
type Table struct {
	endpoints map[string]fleet.Endpoint
	keys      map[uint64]string
	services  map[string]map[string]bool
	buckets   [BucketCount]uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		endpoints: map[string]fleet.Endpoint{},
		keys:      map[uint64]string{},
		services:  map[string]map[string]bool{},
	}
}

// ID returns the number that names an endpoint in refreshes.
func ID(e fleet.Endpoint) uint64 {
	return hash(e.Service, e.Name)
}

// Merge takes an announcement: a higher sequence goes before a lower one, and leaving is final.
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

// extend takes the life of an announcement that says nothing new, such as one that another entry heard of later.
func (t *Table) extend(known, e fleet.Endpoint) Change {
	if fingerprint(known) != fingerprint(e) || !e.Expires.After(known.Expires) {
		return ChangeNone
	}
	known.Expires = e.Expires
	t.endpoints[known.Key()] = known
	return ChangeRefreshed
}

// Refresh extends an endpoint's life; it returns the endpoint, and false where it is not known.
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

// Lapse removes the endpoints whose time is over, and returns them.
func (t *Table) Lapse(now time.Time) []fleet.Endpoint {
	var lapsed []fleet.Endpoint
	for _, e := range t.endpoints {
		if !now.Before(e.Expires) {
			lapsed = append(lapsed, e)
		}
	}
	for _, e := range lapsed {
		t.remove(e)
	}
	sort(lapsed)
	return lapsed
}

// Service returns a service's endpoints that have not left, by name.
func (t *Table) Service(name string) []fleet.Endpoint {
	var all []fleet.Endpoint
	for key := range t.services[name] {
		if e := t.endpoints[key]; !e.Leaving {
			all = append(all, e)
		}
	}
	sort(all)
	return all
}

// All returns all endpoints, those that left included, by key.
func (t *Table) All() []fleet.Endpoint {
	all := slices.Collect(maps.Values(t.endpoints))
	sort(all)
	return all
}

// Len returns how many endpoints are held, those that left included.
func (t *Table) Len() int {
	return len(t.endpoints)
}

// Root returns a digest of all endpoints; tables with the same endpoints give the same.
func (t *Table) Root() uint64 {
	var root uint64
	for _, b := range t.buckets {
		root = root*0x9e3779b97f4a7c15 + b
	}
	return root
}

// Buckets returns the digests of the buckets.
func (t *Table) Buckets() []uint64 {
	return slices.Clone(t.buckets[:])
}

// Differing returns the numbers of the buckets whose digests are not the given ones.
func (t *Table) Differing(buckets []uint64) []int {
	var differing []int
	for i := range t.buckets {
		if i >= len(buckets) || buckets[i] != t.buckets[i] {
			differing = append(differing, i)
		}
	}
	return differing
}

// Held returns the endpoints in some buckets, by key.
func (t *Table) Held(buckets []int) []fleet.Endpoint {
	var all []fleet.Endpoint
	for _, e := range t.endpoints {
		if slices.Contains(buckets, bucket(e)) {
			all = append(all, e)
		}
	}
	sort(all)
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

// fingerprint covers what an announcement says, but for its sequence and the time that it has left.
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
		// A hash takes every write.
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func sort(endpoints []fleet.Endpoint) {
	slices.SortFunc(endpoints, func(a, b fleet.Endpoint) int { return strings.Compare(a.Key(), b.Key()) })
}
