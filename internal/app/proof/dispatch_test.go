package proof_test

import (
	"context"
	"math/rand/v2"
	"sync"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

// views gives the latest view.
type views interface {
	View() *route.View
}

// direct admits a request at once where an endpoint is free, so that a run depends on no queue.
type direct struct {
	views views
	clock clock.Clock

	mu         sync.Mutex
	inProgress map[string]int
}

func newDirect(v views, c clock.Clock) *direct {
	return &direct{views: v, clock: c, inProgress: map[string]int{}}
}

// Acquire chooses a free endpoint that was not tried, or fails with a Refusal.
func (d *direct) Acquire(_ context.Context, r route.Request) (route.Ticket, error) {
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

// Release ends what Acquire began.
func (d *direct) Release(t route.Ticket, _ route.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inProgress[t.Endpoint.Key()]--
}
