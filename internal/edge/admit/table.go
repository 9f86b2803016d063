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
	keep := make(map[slots.Key]bool, len(c.knownRunners))
	var runners []slots.Runner
	for name, s := range view.Services {
		service := c.serviceFor(previous, name)
		maxRequestTime := time.Duration(s.Settings.DeadlineMs) * time.Millisecond
		row := &tableRow{service: service, runners: make([]*runner, 0, len(s.Endpoints))}
		for _, e := range s.Endpoints {
			key := slots.KeyOf(e.Key())
			keep[key] = true
			row.runners = append(row.runners, &runner{endpoint: e, key: e.Key(), share: c.holder.Share(key)})
			runners = append(runners, slots.Runner{Key: key, Service: name, Slots: e.Slots, MaxRequestTime: maxRequestTime})
		}
		service.configure(s.Settings.QueueLimit, maxRequestTime, row.runners)
		next.services[name] = row
	}
	// A service that left the document keeps its state, since requests may still be in progress.
	for name, row := range previous.services {
		if _, ok := next.services[name]; !ok {
			row.service.configure(0, 0, nil)
			next.services[name] = &tableRow{service: row.service}
		}
	}
	for key := range c.knownRunners {
		if !keep[key] && !c.holder.Forget(key) {
			keep[key] = true
		}
	}
	c.knownRunners = keep
	c.ledger.SetRunners(runners)
	c.table.Store(next)
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
