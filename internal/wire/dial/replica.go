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
	// messagesWaiting is the most message batches that wait for one replica; beyond it they are lost.
	messagesWaiting = 256
	deliverTimeout  = time.Second
)

// Replicas sends messages to the other replicas, to each process on a goroutine of its own.
type Replicas struct {
	self    string
	logger  *zap.Logger
	names   []string
	queues  map[string]chan []quorum.Message
	clients map[string]peer.ReplicaClient
	control *Control
	// holders are the names of the processes that hold replicas; they belong to the control loop.
	holders map[quorum.ReplicaID]string
}

// NewReplicas returns a sender from the named process to the others.
func NewReplicas(client *http.Client, self string, others []Target, control *Control, logger *zap.Logger) *Replicas {
	r := &Replicas{
		self:    self,
		logger:  logger,
		queues:  map[string]chan []quorum.Message{},
		clients: map[string]peer.ReplicaClient{},
		control: control,
		holders: map[quorum.ReplicaID]string{},
	}
	for _, t := range others {
		r.names = append(r.names, t.Name)
		r.queues[t.Name] = make(chan []quorum.Message, messagesWaiting)
		r.clients[t.Name] = peer.NewReplicaClient(client, "http://"+t.Address)
	}
	return r
}

// Receiver takes messages and returns its answers to them.
type Receiver interface {
	Deliver(ctx context.Context, name string, messages []quorum.Message) ([]quorum.Message, error)
}

// Names returns the processes that Run is to be called for.
func (r *Replicas) Names() []string {
	return slices.Clone(r.names)
}

// SetProcess tells which process holds a replica.
func (r *Replicas) SetProcess(id quorum.ReplicaID, name string) {
	r.holders[id] = name
}

// Send queues messages and returns at once; a message that finds its queue full is lost.
func (r *Replicas) Send(messages []quorum.Message) {
	batches := map[string][]quorum.Message{}
	for _, m := range messages {
		batches[r.holders[m.To]] = append(batches[r.holders[m.To]], m)
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

// Run delivers to one process, and hands its answers to the receiver, until the context ends.
func (r *Replicas) Run(ctx context.Context, name string, to Receiver) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-r.queues[name]:
			for len(r.queues[name]) > 0 {
				batch = append(batch, <-r.queues[name]...)
			}
			r.deliver(ctx, name, batch, to)
		}
	}
}

// Hello asks a process who its replica is.
func (r *Replicas) Hello(ctx context.Context, name string) (node.ReplicaInfo, error) {
	client, ok := r.clients[name]
	if !ok {
		return node.ReplicaInfo{}, errors.Newf("no control process is named %q", name)
	}
	response, err := client.Hello(ctx, connect.NewRequest(&peer.HelloRequest{}))
	if err != nil {
		return node.ReplicaInfo{}, err
	}
	g := node.ReplicaInfo{HasState: response.Msg.GetHasState(), Members: codec.MembersFromWire(response.Msg.GetMembers())}
	if self := codec.MembersFromWire([]*peer.Member{response.Msg.GetSelf()}); len(self) == 1 {
		g.Self = self[0]
	}
	return g, nil
}

// Agree asks a process's empty replica to sync the first members.
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

func (r *Replicas) deliver(ctx context.Context, name string, batch []quorum.Message, to Receiver) {
	call, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	request := connect.NewRequest(&peer.DeliverRequest{Name: r.self, Messages: codec.MessagesToWire(batch)})
	response, err := r.clients[name].Deliver(call, request)
	if err != nil {
		r.logger.Debug("messages_lost", zap.String("to", name), zap.Error(err))
		return
	}
	answers := codec.MessagesFromWire(response.Msg.GetMessages())
	if len(answers) == 0 {
		return
	}
	next, err := to.Deliver(ctx, name, answers)
	if err != nil {
		r.logger.Debug("answers_lost", zap.String("from", name), zap.Error(err))
		return
	}
	if len(next) > 0 {
		r.queue(name, next)
	}
}
