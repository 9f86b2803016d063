package dial

import (
	"maps"
	"slices"
	"sync"

	"cowslipstack/internal/edge/agent"
	"cowslipstack/internal/edge/table"
	"cowslipstack/internal/model/fleet"
)

// outbox holds the latest gossip for one other entry; it is safe for concurrent use.
type outbox struct {
	wake chan struct{}

	mu        sync.Mutex
	endpoints map[string]fleet.Endpoint
	refreshes map[uint64]table.Refresh
}

func newOutbox() *outbox {
	return &outbox{
		wake:      make(chan struct{}, 1),
		endpoints: map[string]fleet.Endpoint{},
		refreshes: map[uint64]table.Refresh{},
	}
}

// put adds a gossip message; what is newer replaces what waits of the same endpoint, so that its size is bounded by
// theirs.
func (o *outbox) put(g agent.Gossip) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range g.Endpoints {
		o.endpoints[e.Key()] = e
	}
	for _, r := range g.Refreshes {
		o.refreshes[r.ID] = r
	}
	// Refreshes wait for each other, endpoints for nothing.
	if len(g.Endpoints) > 0 {
		o.signal()
	}
}

// putBack adds endpoints that could not be passed on, unless newer ones wait; refreshes are not sent twice.
func (o *outbox) putBack(g agent.Gossip) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range g.Endpoints {
		if _, ok := o.endpoints[e.Key()]; !ok && len(o.endpoints) < table.MaxEndpoints {
			o.endpoints[e.Key()] = e
		}
	}
	if len(o.endpoints) > 0 {
		o.signal()
	}
}

// empty says whether nothing waits.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.endpoints) == 0 && len(o.refreshes) == 0
}

// take returns and removes what waits.
func (o *outbox) take() agent.Gossip {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := agent.Gossip{
		Endpoints: slices.Collect(maps.Values(o.endpoints)),
		Refreshes: slices.Collect(maps.Values(o.refreshes)),
	}
	clear(o.endpoints)
	clear(o.refreshes)
	return g
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
