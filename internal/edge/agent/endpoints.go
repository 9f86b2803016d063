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
	// refreshShare is the part of an announcement's life after which a refresh is passed on.
	refreshShare = 3
	// lapseEvery is the time between looks for endpoints that have lapsed.
	lapseEvery = 250 * time.Millisecond
	// syncEvery is the time between comparisons with another entry.
	syncEvery = time.Second
	// syncTimeout bounds one comparison, so that an entry that was cut off doesn't hold it up.
	syncTimeout = 500 * time.Millisecond
	// learnTimeout bounds the learning at the start; what is missed then comes with the comparisons.
	learnTimeout = 1500 * time.Millisecond
)

// ErrFull says that no more endpoints are taken.
var ErrFull = errors.Newf("this entry holds %d endpoints and takes no more", table.MaxEndpoints)

// Announce takes an endpoint's own announcement, passes on what the others lack, and returns when
// the endpoint should announce itself again.
func (a *Agent) Announce(ctx context.Context, e fleet.Endpoint) (time.Duration, error) {
	change := table.ChangeNone
	err := a.options.Loop.Call(ctx, func() { change = a.announced(e) })
	if err == nil && change == table.ChangeRefused {
		err = ErrFull
	}
	return a.jitter(a.options.TTL / refreshShare), err
}

func (a *Agent) announced(e fleet.Endpoint) table.Change {
	now := a.options.Clock.Now()
	e.Expires = now.Add(a.options.TTL)
	if e.Leaving {
		e.Expires = now.Add(table.LeftKept)
	}
	change := a.merge(e, now)
	switch change {
	case table.ChangeMade:
		a.shared[e.Key()] = now
		a.options.Others.Share(News{Endpoints: []fleet.Endpoint{e}})
		a.publish()
	case table.ChangeRefreshed:
		if now.Sub(a.shared[e.Key()]) >= a.options.TTL/refreshShare {
			a.shared[e.Key()] = now
			a.options.Others.Share(News{Refreshes: []table.Refresh{{ID: table.ID(e), TTL: a.options.TTL}}})
		}
	default:
	}
	return change
}

// Hear takes news that another entry passes on.
func (a *Agent) Hear(ctx context.Context, n News) error {
	return a.options.Loop.Call(ctx, func() {
		now := a.options.Clock.Now()
		a.mergeAll(n.Endpoints, now)
		for _, r := range n.Refreshes {
			if e, ok := a.table.Refresh(r, now); ok {
				a.shared[e.Key()] = now
				a.dirty[e.Service] = true
			}
		}
	})
}

// Endpoints returns all endpoints that the entry holds, those that left included, by key.
func (a *Agent) Endpoints(ctx context.Context) ([]fleet.Endpoint, error) {
	var all []fleet.Endpoint
	err := a.options.Loop.Call(ctx, func() { all = a.table.All() })
	return all, err
}

// Compare returns nothing where the entry's table has the root, else the digests of its buckets.
func (a *Agent) Compare(ctx context.Context, root uint64) ([]uint64, error) {
	var buckets []uint64
	err := a.options.Loop.Call(ctx, func() {
		if a.table.Root() != root {
			buckets = a.table.Buckets()
		}
	})
	return buckets, err
}

// Exchange takes what another entry holds in some buckets and returns what this one holds there.
func (a *Agent) Exchange(ctx context.Context, buckets []int, theirs []fleet.Endpoint) ([]fleet.Endpoint, error) {
	var own []fleet.Endpoint
	err := a.options.Loop.Call(ctx, func() {
		own = a.table.Held(buckets)
		a.mergeAll(theirs, a.options.Clock.Now())
	})
	return own, err
}

// RunLapse drops endpoints that have lapsed and publishes refreshed ones, until the context ends.
func (a *Agent) RunLapse(ctx context.Context) error {
	for a.sleep(ctx, lapseEvery) {
		if err := a.Lapse(ctx); err != nil {
			return nil
		}
	}
	return nil
}

// Lapse drops endpoints that have lapsed and publishes refreshed ones, once.
func (a *Agent) Lapse(ctx context.Context) error {
	return a.options.Loop.Call(ctx, a.lapse)
}

func (a *Agent) lapse() {
	a.noteLapse(a.options.Clock.Now())
	for _, e := range a.table.Lapse(a.options.Clock.Now()) {
		delete(a.shared, e.Key())
		a.dirty[e.Service] = true
		if !e.Leaving {
			a.options.Logger.Info("endpoint_lapsed", zap.String("service", e.Service), zap.String("endpoint", e.Name))
		}
	}
	if len(a.dirty) > 0 {
		a.publish()
	}
}

// RunSync compares endpoints with one other entry at a time, until the context ends.
func (a *Agent) RunSync(ctx context.Context) error {
	for a.sleep(ctx, a.jitter(syncEvery)) {
		a.Sync(ctx)
	}
	return nil
}

// Sync finds and exchanges what this entry or a random other one has missed.
func (a *Agent) Sync(ctx context.Context) {
	count := a.options.Others.Count()
	if count == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := a.syncWith(ctx, a.options.Random(count)); err != nil {
		a.options.Logger.Debug("endpoints_not_compared", zap.Error(err))
	}
}

func (a *Agent) syncWith(ctx context.Context, index int) error {
	var root uint64
	if err := a.options.Loop.Call(ctx, func() { root = a.table.Root() }); err != nil {
		return err
	}
	theirs, err := a.options.Others.Compare(ctx, index, root)
	if err != nil || len(theirs) == 0 {
		return err
	}
	var buckets []int
	var own []fleet.Endpoint
	held := func() {
		buckets = a.table.Differing(theirs)
		own = a.table.Held(buckets)
	}
	if err := a.options.Loop.Call(ctx, held); err != nil || len(buckets) == 0 {
		return err
	}
	missed, err := a.options.Others.Exchange(ctx, index, buckets, own)
	if err != nil {
		return err
	}
	return a.Hear(ctx, News{Endpoints: missed})
}

// Learn takes all endpoints from the first other entry that answers, in a random order.
func (a *Agent) Learn(ctx context.Context) {
	count := a.options.Others.Count()
	if count == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	first := a.options.Random(count)
	for i := range count {
		endpoints, err := a.learnFrom(ctx, (first+i)%count)
		if err == nil {
			err = a.Hear(ctx, News{Endpoints: endpoints})
		}
		if err == nil {
			a.options.Logger.Info("endpoints_learned", zap.Int("count", len(endpoints)))
			return
		}
		a.options.Logger.Debug("endpoints_not_learned", zap.Error(err))
	}
}

func (a *Agent) learnFrom(ctx context.Context, index int) ([]fleet.Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return a.options.Others.Learn(ctx, index)
}

// mergeAll takes announcements and publishes at once where one of them made a change.
func (a *Agent) mergeAll(endpoints []fleet.Endpoint, now time.Time) {
	made := false
	for _, e := range endpoints {
		if a.merge(e, now) == table.ChangeMade {
			a.shared[e.Key()] = now
			made = true
		}
	}
	if made {
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
