package admit

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/edge/queue"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/edge/slots"
	"cowslipstack/internal/model/fleet"
)

// table is what traffic reads; it is never changed after it is published.
type table struct {
	view     *route.View
	services map[string]*set
}

// set is one service's runners as a table holds them, with the state that outlives the table.
type set struct {
	service *service
	runners []*runner
}

// runner is one endpoint and the entry's share of it.
type runner struct {
	endpoint fleet.Endpoint
	key      string
	share    *slots.Share
}

// Refresh makes the table and the homes' runners anew where the view has changed; it runs on the control loop.
func (a *Admit) Refresh() {
	view := a.options.Views.View()
	last := a.table.Load()
	if view == last.view {
		return
	}
	if view.Version > 0 {
		members := slots.Members{Version: view.Version, Names: view.Entries}
		a.holder.SetMembers(members)
		a.ledger.SetMembers(members, a.options.Clock.Now())
	}
	next := &table{view: view, services: make(map[string]*set, len(view.Services))}
	keep := make(map[slots.Key]bool, len(a.known))
	var runners []slots.Runner
	for name, s := range view.Services {
		service := a.service(last, name)
		hold := time.Duration(s.Settings.DeadlineMs) * time.Millisecond
		entry := &set{service: service, runners: make([]*runner, 0, len(s.Endpoints))}
		for _, e := range s.Endpoints {
			key := slots.KeyOf(e.Key())
			keep[key] = true
			entry.runners = append(entry.runners, &runner{endpoint: e, key: e.Key(), share: a.holder.Share(key)})
			runners = append(runners, slots.Runner{Key: key, Service: name, Slots: e.Slots, Hold: hold})
		}
		service.configure(s.Settings.QueueLimit, hold, entry.runners)
		next.services[name] = entry
	}
	// A service that left the document keeps its state: requests may still be in progress.
	for name, entry := range last.services {
		if _, ok := next.services[name]; !ok {
			entry.service.configure(0, 0, nil)
			next.services[name] = &set{service: entry.service}
		}
	}
	for key := range a.known {
		if !keep[key] && !a.holder.Forget(key) {
			keep[key] = true
		}
	}
	a.known = keep
	a.ledger.SetRunners(runners)
	a.table.Store(next)
}

// freshLimit bounds the wait for a new table; an old one is good enough where the control loop is busy.
const freshLimit = 50 * time.Millisecond

// fresh returns a table with the runners of the latest view, so that a runner that just left gets nothing.
func (a *Admit) fresh(ctx context.Context) *table {
	t, view := a.table.Load(), a.options.Views.View()
	if t.view == view || t.view != nil && t.view.Generation == view.Generation {
		return t
	}
	ctx, cancel := context.WithTimeout(ctx, freshLimit)
	defer cancel()
	if err := a.options.Loop.Call(ctx, a.Refresh); err != nil {
		a.options.Logger.Debug("table_is_old", zap.Error(err))
	}
	return a.table.Load()
}

// labels returns whose request it is; names that callers make up don't become teams, classes or series.
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

// weight returns a team's share under overload.
func (t *table) weight(team string) int {
	if t.view == nil {
		return 1
	}
	return max(t.view.Teams[team], 1)
}

func (a *Admit) service(last *table, name string) *service {
	if s, ok := last.services[name]; ok {
		return s.service
	}
	return newService(name, a.options.Clock, a.options.Random)
}
