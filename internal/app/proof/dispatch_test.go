package proof_test

import (
	"context"
	"math/rand/v2"
	"sync"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

// views returns the latest routing view.
type views interface {
	View() *route.View
}

// directDispatcher admits a request at once if an endpoint has a free slot. It has no queue, so that a run doesn't depend
// on one.
type directDispatcher struct {
	views views
	clock clock.Clock

	mu         sync.Mutex
	inProgress map[string]int
}

func newDirectDispatcher(v views, c clock.Clock) *directDispatcher {
	return &directDispatcher{views: v, clock: c, inProgress: map[string]int{}}
}

// Acquire returns a ticket for a random free endpoint that the request has not tried, or a Refusal if there is none.
func (d *directDispatcher) Acquire(_ context.Context, r route.Request) (route.Ticket, error) {
	tried := map[string]bool{}
	for _, e := range r.Tried {
		tried[e.Key()] = true
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var free []fleet.Endpoint
	for _, e := range d.views.View().Services[r.Service].Endpoints {
		if now.Before(e.Expires) && !tried[e.Key()] && d.inProgress[e.Key()] < e.Slots {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return route.Ticket{}, &route.Refusal{Reason: route.ReasonNoEndpoint, Message: "no endpoint of the service is free"}
	}
	chosen := free[rand.IntN(len(free))]
	d.inProgress[chosen.Key()]++
	return route.Ticket{Endpoint: chosen}, nil
}

// Release frees the slot that Acquire took.
func (d *directDispatcher) Release(t route.Ticket, _ route.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inProgress[t.Endpoint.Key()]--
}
