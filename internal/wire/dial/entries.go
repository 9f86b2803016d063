package dial

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

const (
	// sharesWaiting is the most announcements that wait for one entry; beyond it they are lost until renewed.
	sharesWaiting = 4096
	shareTimeout  = time.Second
)

// Entries passes announcements on to the other entries, each on a goroutine of its own.
type Entries struct {
	clock   clock.Clock
	logger  *zap.Logger
	clients []peer.EntryClient
	queues  []chan fleet.Endpoint
}

// NewEntries returns a sender to the entries at the addresses.
func NewEntries(client *http.Client, addresses []string, c clock.Clock, logger *zap.Logger) *Entries {
	e := &Entries{clock: c, logger: logger}
	for _, address := range addresses {
		e.clients = append(e.clients, peer.NewEntryClient(client, "http://"+address))
		e.queues = append(e.queues, make(chan fleet.Endpoint, sharesWaiting))
	}
	return e
}

// Count returns how many other entries there are; Run is called once for each index below it.
func (e *Entries) Count() int {
	return len(e.clients)
}

// Share queues announcements for each other entry and returns at once.
func (e *Entries) Share(endpoints []fleet.Endpoint) {
	for _, queue := range e.queues {
		for _, endpoint := range endpoints {
			select {
			case queue <- endpoint:
			default:
			}
		}
	}
}

// Learn returns the announcements of the first other entry that answers.
func (e *Entries) Learn(ctx context.Context) ([]fleet.Endpoint, error) {
	err := errors.New("there is no other entry")
	for _, client := range e.clients {
		var endpoints []fleet.Endpoint
		if endpoints, err = e.learn(ctx, client); err == nil {
			return endpoints, nil
		}
	}
	return nil, errors.Wrap(err, "learn endpoints")
}

// Run passes announcements on to one entry until the context ends.
func (e *Entries) Run(ctx context.Context, index int) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-e.queues[index]:
			batch := []fleet.Endpoint{first}
			for len(e.queues[index]) > 0 {
				batch = append(batch, <-e.queues[index])
			}
			e.share(ctx, index, batch)
		}
	}
}

func (e *Entries) learn(ctx context.Context, client peer.EntryClient) ([]fleet.Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	response, err := client.Learn(ctx, connect.NewRequest(&peer.LearnRequest{}))
	if err != nil {
		return nil, err
	}
	return codec.EndpointsFromWire(response.Msg.GetAnnouncements(), e.clock.Now()), nil
}

func (e *Entries) share(ctx context.Context, index int, batch []fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	request := connect.NewRequest(&peer.ShareRequest{Announcements: codec.EndpointsToWire(batch, e.clock.Now())})
	if _, err := e.clients[index].Share(ctx, request); err != nil {
		e.logger.Debug("announcements_lost", zap.Int("entry", index), zap.Error(err))
	}
}
