package admit

import (
	"time"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/edge/queue"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/edge/slots"
	"cowslipstack/internal/model/fleet"
)

// table is the immutable state by which requests are admitted.
type table struct {
	view     *route.View
	services map[string]*tableRow
}

// tableRow holds the runners of one service, and the state of the service that outlives the table.
type tableRow struct {
	service *service
	runners []*runner
}

// runner is one endpoint and this entry's share of its slots.
type runner struct {
	endpoint fleet.Endpoint
	key      string
	share    *slots.Share
}

// Refresh rebuilds the table and the ledger's runners if the view has changed; it must be called on the control
// loop.
func (c *Controller) Refresh() {
	view := c.options.Views.View()
	previous := c.table.Load()
	if view == previous.view {
		return
	}
	if view.Version > 0 {
		members := slots.Members{Version: view.Version, Names: view.Entries}
		c.holder.SetMembers(members)
		c.ledger.SetMembers(members, c.options.Clock.Now())
	}
	next := &table{view: view, services: make(map[string]*tableRow, len(view.Services))}
	var runners []slots.Runner
	for name, s := range view.Services {
		maxRequestTime := time.Duration(s.Settings.DeadlineMs) * time.Millisecond
		row := &tableRow{service: c.serviceFor(previous, name), runners: c.runnersOf(s.Endpoints)}
		row.service.configure(s.Settings.QueueLimit, maxRequestTime, row.runners)
		next.services[name] = row
		runners = appendSlotRunners(runners, row, maxRequestTime)
	}
	next.keepRemoved(previous)
	c.forgetRunners(runners)
	c.ledger.SetRunners(runners)
	c.table.Store(next)
}

// runnersOf returns the endpoints with this entry's shares of their slots.
func (c *Controller) runnersOf(endpoints []fleet.Endpoint) []*runner {
	runners := make([]*runner, 0, len(endpoints))
	for _, e := range endpoints {
		key := e.Key()
		runners = append(runners, &runner{endpoint: e, key: key, share: c.holder.Share(slots.KeyOf(key))})
	}
	return runners
}

// appendSlotRunners appends the runners of a row in the form that the ledger takes.
func appendSlotRunners(runners []slots.Runner, row *tableRow, maxRequestTime time.Duration) []slots.Runner {
	for _, r := range row.runners {
		runners = append(runners, slots.Runner{
			Key: slots.KeyOf(r.key), Service: row.service.name, Slots: r.endpoint.Slots, MaxRequestTime: maxRequestTime,
		})
	}
	return runners
}

// keepRemoved keeps the state of services that left the document, since their requests may still be in progress.
func (t *table) keepRemoved(previous *table) {
	for name, row := range previous.services {
		if _, ok := t.services[name]; !ok {
			row.service.configure(0, 0, nil)
			t.services[name] = &tableRow{service: row.service}
		}
	}
}

// forgetRunners forgets the runners that left the table, except those with slots in use.
func (c *Controller) forgetRunners(current []slots.Runner) {
	known := make(map[slots.Key]bool, len(current))
	for _, r := range current {
		known[r.Key] = true
	}
	for key := range c.knownRunners {
		if !known[key] && !c.holder.Forget(key) {
			known[key] = true
		}
	}
	c.knownRunners = known
}

// labels returns the metric labels and the class of a request. Unknown teams and classes are mapped to the
// defaults, so that callers can't create teams, classes or time series.
func (t *table) labels(r route.Request) (hist.Labels, queue.Class) {
	l := hist.Labels{Service: r.Service, Team: r.Team}
	if t.view == nil || t.view.Teams[r.Team] == 0 {
		l.Team = ""
	}
	class, ok := queue.ParseClass(r.Class)
	if !ok {
		class = queue.ClassNormal
	}
	l.Class = class.String()
	return l, class
}

// weight returns a team's weight in the queue.
func (t *table) weight(team string) int {
	if t.view == nil {
		return 1
	}
	return max(t.view.Teams[team], 1)
}

func (c *Controller) serviceFor(previous *table, name string) *service {
	if s, ok := previous.services[name]; ok {
		return s.service
	}
	return newService(name, c.options.Clock, c.options.Random)
}
