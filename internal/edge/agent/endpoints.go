package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/edge/table"
	"cowslipstack/internal/model/fleet"
)

const (
	// refreshDivisor divides the TTL to give the interval between announcements and between shared refreshes.
	refreshDivisor = 3
	// expiryInterval is the time between checks for expired endpoints.
	expiryInterval = 250 * time.Millisecond
)

// ErrFull means that the table has no room for another endpoint.
var ErrFull = errors.Newf("this entry holds %d endpoints and takes no more", table.MaxEndpoints)

// Announce handles an endpoint's own announcement, shares it with the other entries if it is new to them, and returns
// the time after which the endpoint should announce itself again.
func (a *Agent) Announce(ctx context.Context, e fleet.Endpoint) (time.Duration, error) {
	change := table.ChangeNone
	err := a.options.Loop.Call(ctx, func() { change = a.handleAnnouncement(e) })
	if err == nil && change == table.ChangeRefused {
		err = ErrFull
	}
	return a.jitter(a.options.TTL / refreshDivisor), err
}

func (a *Agent) handleAnnouncement(e fleet.Endpoint) table.Change {
	now := a.options.Clock.Now()
	e.Expires = now.Add(a.options.TTL)
	if e.Leaving {
		e.Expires = now.Add(table.TombstoneTTL)
	}
	change := a.merge(e, now)
	switch change {
	case table.ChangeMade:
		a.lastShared[e.Key()] = now
		a.options.Peers.Share(Gossip{Endpoints: []fleet.Endpoint{e}})
		a.publish()
	case table.ChangeRefreshed:
		if now.Sub(a.lastShared[e.Key()]) >= a.options.TTL/refreshDivisor {
			a.lastShared[e.Key()] = now
			a.options.Peers.Share(Gossip{Refreshes: []table.Refresh{{ID: table.ID(e), TTL: a.options.TTL}}})
		}
	default:
	}
	return change
}

// Receive merges a gossip message from another entry.
func (a *Agent) Receive(ctx context.Context, g Gossip) error {
	return a.options.Loop.Call(ctx, func() {
		now := a.options.Clock.Now()
		a.mergeAll(g.Endpoints, now)
		for _, r := range g.Refreshes {
			if e, ok := a.table.Refresh(r, now); ok {
				a.lastShared[e.Key()] = now
				a.dirty[e.Service] = true
			}
		}
	})
}

// Endpoints returns all endpoints of the entry's table, tombstones included, sorted by key.
func (a *Agent) Endpoints(ctx context.Context) ([]fleet.Endpoint, error) {
	var all []fleet.Endpoint
	err := a.options.Loop.Call(ctx, func() { all = a.table.All() })
	return all, err
}

// RunExpiry calls Expire at intervals until the context ends.
func (a *Agent) RunExpiry(ctx context.Context) error {
	for a.sleep(ctx, expiryInterval) {
		if err := a.Expire(ctx); err != nil {
			return nil
		}
	}
	return nil
}

// Expire removes expired endpoints, publishes refreshed ones and logs a lapse of the lease.
func (a *Agent) Expire(ctx context.Context) error {
	return a.options.Loop.Call(ctx, a.expireEndpoints)
}

func (a *Agent) expireEndpoints() {
	a.noteLeaseLapse(a.options.Clock.Now())
	for _, e := range a.table.Expire(a.options.Clock.Now()) {
		delete(a.lastShared, e.Key())
		a.dirty[e.Service] = true
		if !e.Leaving {
			a.options.Logger.Info("endpoint_lapsed", zap.String("service", e.Service), zap.String("endpoint", e.Name))
		}
	}
	if len(a.dirty) > 0 {
		a.publish()
	}
}

// mergeAll merges announcements and publishes a view at once if one of them is new, changed or leaving.
func (a *Agent) mergeAll(endpoints []fleet.Endpoint, now time.Time) {
	changed := false
	for _, e := range endpoints {
		if a.merge(e, now) == table.ChangeMade {
			a.lastShared[e.Key()] = now
			changed = true
		}
	}
	if changed {
		a.publish()
	}
}

func (a *Agent) merge(e fleet.Endpoint, now time.Time) table.Change {
	change := a.table.Merge(e, now)
	switch change {
	case table.ChangeMade:
		a.dirty[e.Service] = true
		a.options.Logger.Info("endpoint_announced", zap.String("service", e.Service), zap.String("endpoint", e.Name),
			zap.String("address", e.Address), zap.Bool("leaving", e.Leaving))
	case table.ChangeRefreshed:
		a.dirty[e.Service] = true
	case table.ChangeRefused:
		a.options.Logger.Warn("endpoint_refused", zap.String("service", e.Service), zap.String("endpoint", e.Name))
	default:
	}
	return change
}
