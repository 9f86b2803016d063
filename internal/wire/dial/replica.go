package dial

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

const (
	// messagesWaiting is the most message batches that wait for one replica; beyond it they are lost.
	messagesWaiting = 256
	deliverTimeout  = 2 * time.Second
)

// Replicas sends messages to the other replicas, each on a goroutine of its own.
type Replicas struct {
	logger *zap.Logger
	queues map[quorum.ReplicaID]chan []quorum.Message
	peers  map[quorum.ReplicaID]peer.ReplicaClient
}

// NewReplicas returns a sender to the replicas at the addresses.
func NewReplicas(client *http.Client, addresses map[quorum.ReplicaID]string, logger *zap.Logger) *Replicas {
	r := &Replicas{
		logger: logger,
		queues: map[quorum.ReplicaID]chan []quorum.Message{},
		peers:  map[quorum.ReplicaID]peer.ReplicaClient{},
	}
	for id, address := range addresses {
		r.queues[id] = make(chan []quorum.Message, messagesWaiting)
		r.peers[id] = peer.NewReplicaClient(client, "http://"+address)
	}
	return r
}

// IDs returns the replicas that Run can be called for.
func (r *Replicas) IDs() []quorum.ReplicaID {
	ids := make([]quorum.ReplicaID, 0, len(r.queues))
	for id := range r.queues {
		ids = append(ids, id)
	}
	return ids
}

// Send queues messages and returns at once; a message that finds its queue full is lost.
func (r *Replicas) Send(messages []quorum.Message) {
	batches := map[quorum.ReplicaID][]quorum.Message{}
	for _, m := range messages {
		batches[m.To] = append(batches[m.To], m)
	}
	for id, batch := range batches {
		select {
		case r.queues[id] <- batch:
		default:
		}
	}
}

// Run delivers to one replica until the context ends.
func (r *Replicas) Run(ctx context.Context, id quorum.ReplicaID) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-r.queues[id]:
			for len(r.queues[id]) > 0 {
				batch = append(batch, <-r.queues[id]...)
			}
			r.deliver(ctx, id, batch)
		}
	}
}

func (r *Replicas) deliver(ctx context.Context, id quorum.ReplicaID, batch []quorum.Message) {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	request := connect.NewRequest(&peer.DeliverRequest{Messages: codec.MessagesToWire(batch)})
	if _, err := r.peers[id].Deliver(ctx, request); err != nil {
		r.logger.Debug("messages_lost", zap.Uint64("replica", uint64(id)), zap.Error(err))
	}
}
