package dial

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

const (
	// maxQueuedBatches bounds the message batches queued for one process; further batches are dropped.
	maxQueuedBatches = 256
	deliverTimeout   = time.Second
)

// Replicas sends messages to the other replicas, with a queue and a goroutine for each process.
type Replicas struct {
	self    string
	logger  *zap.Logger
	names   []string
	queues  map[string]chan []quorum.Message
	clients map[string]peer.ReplicaClient
	control *Control
	// processes maps replicas to the names of their processes. Only the control loop may use it.
	processes map[quorum.ReplicaID]string
}

// NewReplicas returns a sender for the process named self to the other processes.
func NewReplicas(client *http.Client, self string, others []Target, control *Control, logger *zap.Logger) *Replicas {
	r := &Replicas{
		self:      self,
		logger:    logger,
		queues:    map[string]chan []quorum.Message{},
		clients:   map[string]peer.ReplicaClient{},
		control:   control,
		processes: map[quorum.ReplicaID]string{},
	}
	for _, t := range others {
		r.names = append(r.names, t.Name)
		r.queues[t.Name] = make(chan []quorum.Message, maxQueuedBatches)
		r.clients[t.Name] = peer.NewReplicaClient(client, "http://"+t.Address)
	}
	return r
}

// Receiver handles messages from the named process and returns messages to send back.
type Receiver interface {
	Deliver(ctx context.Context, name string, messages []quorum.Message) ([]quorum.Message, error)
}

// Names returns the names of the other processes. Run must be called once for each.
func (r *Replicas) Names() []string {
	return slices.Clone(r.names)
}

// SetProcess records the process that holds a replica. Only the control loop may call it.
func (r *Replicas) SetProcess(id quorum.ReplicaID, name string) {
	r.processes[id] = name
}

// Send queues messages without blocking. A message is dropped if its queue is full. Only the control loop may call
// it.
func (r *Replicas) Send(messages []quorum.Message) {
	batches := map[string][]quorum.Message{}
	for _, m := range messages {
		batches[r.processes[m.To]] = append(batches[r.processes[m.To]], m)
	}
	for name, batch := range batches {
		r.queue(name, batch)
	}
}

func (r *Replicas) queue(name string, batch []quorum.Message) {
	select {
	case r.queues[name] <- batch:
	default:
	}
}

// Run sends the queued messages to one process and passes its answers to the receiver until the context ends.
func (r *Replicas) Run(ctx context.Context, name string, receiver Receiver) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-r.queues[name]:
			for len(r.queues[name]) > 0 {
				batch = append(batch, <-r.queues[name]...)
			}
			r.deliver(ctx, name, batch, receiver)
		}
	}
}

// Hello asks a process for the identity and members of its replica.
func (r *Replicas) Hello(ctx context.Context, name string) (node.ReplicaInfo, error) {
	client, ok := r.clients[name]
	if !ok {
		return node.ReplicaInfo{}, errors.Newf("no control process is named %q", name)
	}
	response, err := client.Hello(ctx, connect.NewRequest(&peer.HelloRequest{}))
	if err != nil {
		return node.ReplicaInfo{}, err
	}
	info := node.ReplicaInfo{HasState: response.Msg.GetHasState(), Members: codec.MembersFromWire(response.Msg.GetMembers())}
	if self := codec.MembersFromWire([]*peer.Member{response.Msg.GetSelf()}); len(self) == 1 {
		info.Self = self[0]
	}
	return info, nil
}

// Agree asks the empty replica of a process to sync the initial members to disk.
func (r *Replicas) Agree(ctx context.Context, name string, members []quorum.Member) error {
	_, err := r.clients[name].Agree(ctx, connect.NewRequest(&peer.AgreeRequest{Members: codec.MembersToWire(members)}))
	return err
}

// Join asks the leader to add a replica as a learner.
func (r *Replicas) Join(ctx context.Context, self quorum.Member) error {
	_, err := r.control.Change(ctx, connect.NewRequest(&peer.MembersChangeRequest{
		Kind: uint32(quorum.ChangeAdd), Member: codec.MembersToWire([]quorum.Member{self})[0],
	}))
	return err
}

func (r *Replicas) deliver(ctx context.Context, name string, batch []quorum.Message, receiver Receiver) {
	callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	request := connect.NewRequest(&peer.DeliverRequest{Name: r.self, Messages: codec.MessagesToWire(batch)})
	response, err := r.clients[name].Deliver(callCtx, request)
	if err != nil {
		r.logger.Debug("messages_lost", zap.String("to", name), zap.Error(err))
		return
	}
	answers := codec.MessagesFromWire(response.Msg.GetMessages())
	if len(answers) == 0 {
		return
	}
	next, err := receiver.Deliver(ctx, name, answers)
	if err != nil {
		r.logger.Debug("answers_lost", zap.String("from", name), zap.Error(err))
		return
	}
	if len(next) > 0 {
		r.queue(name, next)
	}
}
