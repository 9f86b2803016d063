package route

import (
	"context"
	"math/rand/v2"

	"cowslipstack/internal/base/clock"
)

// Views gives the latest published view.
type Views interface {
	View() *View
}

// Direct admits a request at once where an endpoint is free; it is safe for concurrent use.
type Direct struct {
	views Views
	clock clock.Clock
	load  *Counter
}

// NewDirect returns a dispatcher with nothing in progress.
func NewDirect(views Views, c clock.Clock) *Direct {
	return &Direct{views: views, clock: c, load: NewCounter()}
}

// Acquire chooses an endpoint, or fails with a Refusal.
func (d *Direct) Acquire(_ context.Context, r Request) (Ticket, error) {
	skip := map[string]bool{}
	for _, e := range r.Tried {
		skip[e.Key()] = true
	}
	service := d.views.View().Services[r.Service]
	endpoint, ok := Choose(service, d.load, skip, d.clock.Now(), rand.IntN)
	if !ok {
		return Ticket{}, &Refusal{Reason: ReasonNoEndpoint, Message: "no endpoint of the service is free"}
	}
	d.load.Add(endpoint.Key(), 1)
	return Ticket{Endpoint: endpoint}, nil
}

// Release ends what Acquire began.
func (d *Direct) Release(t Ticket, _ Result) {
	d.load.Add(t.Endpoint.Key(), -1)
}
