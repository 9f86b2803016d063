package dial

import (
	"maps"
	"slices"
	"sync"

	"cowslipstack/internal/edge/agent"
	"cowslipstack/internal/edge/table"
	"cowslipstack/internal/model/fleet"
)

// outbox holds the latest unsent gossip for one other entry. It is safe for concurrent use.
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

// put adds gossip. A newer item replaces an unsent one for the same endpoint, so the number of endpoints
// bounds the size of the outbox.
func (o *outbox) put(g agent.Gossip) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range g.Endpoints {
		o.endpoints[e.Key()] = e
	}
	for _, r := range g.Refreshes {
		o.refreshes[r.ID] = r
	}
	// Endpoints are sent at once; refreshes wait for the next tick and are batched.
	if len(g.Endpoints) > 0 {
		o.signal()
	}
}

// putBack re-adds endpoints whose sending failed, unless newer ones are queued. Refreshes are not retried.
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

// empty reports whether the outbox holds nothing to send.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.endpoints) == 0 && len(o.refreshes) == 0
}

// take returns all unsent gossip and removes it.
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

// signal wakes Run; a signal that is already pending is enough.
func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
