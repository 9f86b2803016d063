package dial

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/agent"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

const (
	shareTimeout = time.Second
	// sharePause is the least time between two calls to one entry, so that messages in quick succession go together.
	sharePause = 200 * time.Millisecond
	// sharePauseMost is the longest pause after calls that failed.
	sharePauseMost = 2 * time.Second
	// refreshEvery is the longest time that refreshes wait for each other.
	refreshEvery = 2 * time.Second
	// refreshShare is the largest part of an announcement's life that its refresh waits.
	refreshShare = 5
)

// Entries reaches the other entries; gossip messages go to each on a goroutine of its own.
type Entries struct {
	clock    clock.Clock
	logger   *zap.Logger
	clients  []peer.EntryClient
	outboxes []*outbox
	refresh  time.Duration
}

// EntriesOptions says what a sender works with; all fields are needed.
type EntriesOptions struct {
	// Client makes the calls.
	Client *http.Client
	// Addresses are those of the other entries.
	Addresses []string
	// Clock gives the time.
	Clock clock.Clock
	// Logger takes the sender's events.
	Logger *zap.Logger
	// TTL is how long an announcement lasts.
	TTL time.Duration
}

// NewEntries returns a sender to the other entries.
func NewEntries(o EntriesOptions) *Entries {
	e := &Entries{clock: o.Clock, logger: o.Logger, refresh: min(refreshEvery, o.TTL/refreshShare)}
	client := o.Client
	for _, address := range o.Addresses {
		e.clients = append(e.clients, peer.NewEntryClient(client, "http://"+address))
		e.outboxes = append(e.outboxes, newOutbox())
	}
	return e
}

// Count returns how many other entries there are; Run is called once for each index below it.
func (e *Entries) Count() int {
	return len(e.clients)
}

// Share puts a gossip message into each other entry's outbox and returns at once.
func (e *Entries) Share(g agent.Gossip) {
	for _, o := range e.outboxes {
		o.put(g)
	}
}

// Learn returns all endpoints that an entry holds.
func (e *Entries) Learn(ctx context.Context, index int) ([]fleet.Endpoint, error) {
	response, err := e.clients[index].Learn(ctx, connect.NewRequest(&peer.LearnRequest{}))
	if err != nil {
		return nil, err
	}
	return codec.EndpointsFromWire(response.Msg.GetAnnouncements(), e.clock.Now()), nil
}

// Compare returns nothing where an entry holds what the root is a digest of, else the digests of its buckets.
func (e *Entries) Compare(ctx context.Context, index int, root uint64) ([]uint64, error) {
	response, err := e.clients[index].Compare(ctx, connect.NewRequest(&peer.CompareRequest{Root: root}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetBuckets(), nil
}

// Exchange gives an entry what this one holds in some buckets and returns what that one holds there.
func (e *Entries) Exchange(ctx context.Context, index int, buckets []int, own []fleet.Endpoint) ([]fleet.Endpoint, error) {
	request := connect.NewRequest(&peer.ExchangeRequest{
		Buckets: codec.BucketsToWire(buckets), Announcements: codec.EndpointsToWire(own, e.clock.Now()),
	})
	response, err := e.clients[index].Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	return codec.EndpointsFromWire(response.Msg.GetAnnouncements(), e.clock.Now()), nil
}

// Run passes gossip on to one entry until the context ends.
func (e *Entries) Run(ctx context.Context, index int) error {
	pause := sharePause
	ticker := e.clock.NewTicker(e.refresh)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.outboxes[index].wake:
		case <-ticker.C():
		}
		if e.outboxes[index].empty() {
			continue
		}
		if e.share(ctx, index) {
			pause = sharePause
		} else {
			pause = min(2*pause, sharePauseMost)
		}
		e.sleep(ctx, pause)
	}
}

// share passes on what waits for an entry and says whether it took it.
func (e *Entries) share(ctx context.Context, index int) bool {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	g := e.outboxes[index].take()
	request := connect.NewRequest(&peer.ShareRequest{
		Announcements: codec.EndpointsToWire(g.Endpoints, e.clock.Now()),
		Refreshes:     codec.RefreshesToWire(g.Refreshes),
	})
	if _, err := e.clients[index].Share(ctx, request); err != nil {
		e.logger.Debug("news_not_passed_on", zap.Int("entry", index), zap.Error(err))
		e.outboxes[index].putBack(g)
		return false
	}
	return true
}

func (e *Entries) sleep(ctx context.Context, d time.Duration) {
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}
