package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/model/fleet"
)

const (
	// syncInterval is the time between anti-entropy exchanges with another entry.
	syncInterval = time.Second
	// syncTimeout limits one exchange, so that an unreachable entry doesn't block the next ones.
	syncTimeout = 500 * time.Millisecond
	// learnTimeout limits Learn; the anti-entropy exchanges deliver what it misses.
	learnTimeout = 1500 * time.Millisecond
)

// Compare returns nothing if the root digest of the entry's table is equal, else the digests of its buckets.
func (a *Agent) Compare(ctx context.Context, root uint64) ([]uint64, error) {
	var buckets []uint64
	err := a.options.Loop.Call(ctx, func() {
		if a.table.Root() != root {
			buckets = a.table.BucketDigests()
		}
	})
	return buckets, err
}

// Exchange merges another entry's endpoints in some buckets and returns the endpoints that this entry held there before.
func (a *Agent) Exchange(ctx context.Context, buckets []int, theirs []fleet.Endpoint) ([]fleet.Endpoint, error) {
	var own []fleet.Endpoint
	err := a.options.Loop.Call(ctx, func() {
		own = a.table.InBuckets(buckets)
		a.mergeAll(theirs, a.options.Clock.Now())
	})
	return own, err
}

// RunSync calls Sync at intervals until the context ends.
func (a *Agent) RunSync(ctx context.Context) error {
	for a.sleep(ctx, a.jitter(syncInterval)) {
		a.Sync(ctx)
	}
	return nil
}

// Sync runs one anti-entropy exchange with a random other entry, so that both get the announcements they missed.
func (a *Agent) Sync(ctx context.Context) {
	count := a.options.Peers.Count()
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
	theirs, err := a.options.Peers.Compare(ctx, index, root)
	if err != nil || len(theirs) == 0 {
		return err
	}
	var buckets []int
	var own []fleet.Endpoint
	compare := func() {
		buckets = a.table.DifferingBuckets(theirs)
		own = a.table.InBuckets(buckets)
	}
	if err := a.options.Loop.Call(ctx, compare); err != nil || len(buckets) == 0 {
		return err
	}
	missed, err := a.options.Peers.Exchange(ctx, index, buckets, own)
	if err != nil {
		return err
	}
	return a.Receive(ctx, Gossip{Endpoints: missed})
}

// Learn merges all endpoints of the first other entry that answers, starting with a random one.
func (a *Agent) Learn(ctx context.Context) {
	count := a.options.Peers.Count()
	if count == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	first := a.options.Random(count)
	for i := range count {
		endpoints, err := a.learnFrom(ctx, (first+i)%count)
		if err == nil {
			err = a.Receive(ctx, Gossip{Endpoints: endpoints})
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
	return a.options.Peers.Learn(ctx, index)
}
