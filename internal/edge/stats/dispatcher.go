package stats

import (
	"context"
	"slices"

	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

// maxAttempts is the number of endpoints that are acquired and released again before a request is refused.
const maxAttempts = 3

// Dispatcher admits requests to endpoints.
type Dispatcher interface {
	Acquire(context.Context, route.Request) (route.Ticket, error)
	Release(route.Ticket, route.Result)
}

// CountingDispatcher counts the requests that another dispatcher admits; it is safe for concurrent use.
type CountingDispatcher struct {
	counter *Counter
	next    Dispatcher
	views   ViewSource
}

// WrapDispatcher returns a dispatcher that counts the requests that next admits.
func (c *Counter) WrapDispatcher(next Dispatcher, views ViewSource) *CountingDispatcher {
	return &CountingDispatcher{counter: c, next: next, views: views}
}

// Acquire admits a request to an endpoint, counts it, and then checks that the endpoint is still routable. Without
// that check a request could go to a VM that was just reported to have none in progress.
func (c *CountingDispatcher) Acquire(ctx context.Context, r route.Request) (route.Ticket, error) {
	c.counter.update(r.Service, func(p *fleet.ServiceReport) { p.Queued++ })
	defer c.counter.update(r.Service, func(p *fleet.ServiceReport) { p.Queued-- })
	for range maxAttempts {
		t, err := c.next.Acquire(ctx, r)
		if err != nil {
			return t, err
		}
		c.counter.begin(t.Endpoint)
		if c.routable(t.Endpoint) {
			return t, nil
		}
		c.Release(t, route.Result{Outcome: fleet.OutcomeNotRun, Aborted: true})
		r.Tried = append(slices.Clone(r.Tried), t.Endpoint)
	}
	return route.Ticket{}, &route.Refusal{Reason: route.ReasonNoEndpoint, Message: "the chosen endpoints take no new requests"}
}

// Release ends the count of a request and releases its ticket.
func (c *CountingDispatcher) Release(t route.Ticket, r route.Result) {
	c.counter.end(t.Endpoint)
	c.next.Release(t, r)
}

func (c *CountingDispatcher) routable(e fleet.Endpoint) bool {
	same := func(o fleet.Endpoint) bool { return o.Name == e.Name && o.VM == e.VM }
	return slices.ContainsFunc(c.views.View().Services[e.Service].Endpoints, same)
}
