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
	// minSharePause is the shortest pause between two calls to one entry, so that gossip in quick succession is
	// batched.
	minSharePause = 200 * time.Millisecond
	// maxSharePause bounds the back-off after failed calls.
	maxSharePause = 2 * time.Second
	// maxRefreshDelay bounds how long refreshes are held back for batching.
	maxRefreshDelay = 2 * time.Second
	// refreshTTLDivisor limits that delay to this fraction (1/5) of an announcement's TTL.
	refreshTTLDivisor = 5
)

// Entries exchanges announcements with the other entries. Each entry has an outbox and a goroutine that sends it.
type Entries struct {
	clock           clock.Clock
	logger          *zap.Logger
	clients         []peer.EntryClient
	outboxes        []*outbox
	refreshInterval time.Duration
}

// EntriesOptions configures Entries. All fields are required.
type EntriesOptions struct {
	// Client sends the requests.
	Client *http.Client
	// Addresses are the host:port addresses of the other entries.
	Addresses []string
	// Clock provides the time, tickers and timers.
	Clock clock.Clock
	// Logger receives the events of Entries.
	Logger *zap.Logger
	// TTL is how long an announcement is valid without a refresh.
	TTL time.Duration
}

// NewEntries returns Entries with an empty outbox for each address.
func NewEntries(o EntriesOptions) *Entries {
	e := &Entries{clock: o.Clock, logger: o.Logger, refreshInterval: min(maxRefreshDelay, o.TTL/refreshTTLDivisor)}
	client := o.Client
	for _, address := range o.Addresses {
		e.clients = append(e.clients, peer.NewEntryClient(client, "http://"+address))
		e.outboxes = append(e.outboxes, newOutbox())
	}
	return e
}

// Count returns the number of other entries. Run must be called once for each index below it.
func (e *Entries) Count() int {
	return len(e.clients)
}

// Share puts gossip into the outbox of each other entry without blocking.
func (e *Entries) Share(g agent.Gossip) {
	for _, o := range e.outboxes {
		o.put(g)
	}
}

// Learn fetches all endpoints that an entry holds.
func (e *Entries) Learn(ctx context.Context, index int) ([]fleet.Endpoint, error) {
	response, err := e.clients[index].Learn(ctx, connect.NewRequest(&peer.LearnRequest{}))
	if err != nil {
		return nil, err
	}
	return codec.EndpointsFromWire(response.Msg.GetAnnouncements(), e.clock.Now()), nil
}

// Compare sends the digest of all endpoints. It returns nil if the entry holds the same, else the digests of the
// entry's buckets.
func (e *Entries) Compare(ctx context.Context, index int, root uint64) ([]uint64, error) {
	response, err := e.clients[index].Compare(ctx, connect.NewRequest(&peer.CompareRequest{Root: root}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetBuckets(), nil
}

// Exchange sends this entry's endpoints in some buckets and returns those that the other entry holds there.
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

// Run sends the outbox of one entry until the context ends.
func (e *Entries) Run(ctx context.Context, index int) error {
	pause := minSharePause
	ticker := e.clock.NewTicker(e.refreshInterval)
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
			pause = minSharePause
		} else {
			pause = min(2*pause, maxSharePause)
		}
		clock.Sleep(ctx, e.clock, pause)
	}
}

// share sends the contents of an entry's outbox and reports whether the call succeeded.
func (e *Entries) share(ctx context.Context, index int) bool {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	g := e.outboxes[index].take()
	request := connect.NewRequest(&peer.ShareRequest{
		Announcements: codec.EndpointsToWire(g.Endpoints, e.clock.Now()),
		Refreshes:     codec.RefreshesToWire(g.Refreshes),
	})
	if _, err := e.clients[index].Share(ctx, request); err != nil {
		e.logger.Debug("announcements_not_shared", zap.Int("entry", index), zap.Error(err))
		e.outboxes[index].putBack(g)
		return false
	}
	return true
}
