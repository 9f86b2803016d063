package stats

import (
	"context"
	"slices"

	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

// triesMost is how many endpoints are given back before a request is refused.
const triesMost = 3

// Dispatcher admits requests to endpoints.
type Dispatcher interface {
	Acquire(context.Context, route.Request) (route.Ticket, error)
	Release(route.Ticket, route.Result)
}

// Counted is a dispatcher whose requests in progress are counted; it is safe for concurrent use.
type Counted struct {
	tally *Counter
	next  Dispatcher
	views Views
}

// Count returns a dispatcher that counts what another admits.
func (t *Counter) Count(next Dispatcher, views Views) *Counted {
	return &Counted{tally: t, next: next, views: views}
}

// Acquire admits a request to an endpoint that may still get it once it has been counted. Without
// the second look, a request could go to a VM that was just reported to have none in progress.
func (c *Counted) Acquire(ctx context.Context, r route.Request) (route.Ticket, error) {
	c.tally.update(r.Service, func(p *fleet.ServiceReport) { p.Queued++ })
	defer c.tally.update(r.Service, func(p *fleet.ServiceReport) { p.Queued-- })
	for range triesMost {
		t, err := c.next.Acquire(ctx, r)
		if err != nil {
			return t, err
		}
		c.tally.begin(t.Endpoint)
		if c.routable(t.Endpoint) {
			return t, nil
		}
		c.Release(t, route.Result{Outcome: fleet.OutcomeNotRun, Aborted: true})
		r.Tried = append(slices.Clone(r.Tried), t.Endpoint)
	}
	return route.Ticket{}, &route.Refusal{Reason: route.ReasonNoEndpoint, Message: "the chosen endpoints take no new requests"}
}

// Release ends what Acquire began.
func (c *Counted) Release(t route.Ticket, r route.Result) {
	c.tally.end(t.Endpoint)
	c.next.Release(t, r)
}

func (c *Counted) routable(e fleet.Endpoint) bool {
	same := func(o fleet.Endpoint) bool { return o.Name == e.Name && o.VM == e.VM }
	return slices.ContainsFunc(c.views.View().Services[e.Service].Endpoints, same)
}
