package dial

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/edge/agent"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// tryTimeout bounds one call to one replica, so that a replica that was cut off doesn't hold up the others.
const tryTimeout = time.Second

// Control reaches the leader among the control processes; it is safe for concurrent use.
type Control struct {
	clients []peer.ControlClient
	// leader is the index of the replica that answered last.
	leader atomic.Int64
}

// NewControl returns a client of the control processes at the addresses.
func NewControl(client *http.Client, addresses []string) *Control {
	c := &Control{}
	for _, address := range addresses {
		c.clients = append(c.clients, peer.NewControlClient(client, "http://"+address))
	}
	return c
}

// Submit proposes a command on the leader; the command's request identity makes a second try safe.
func (c *Control) Submit(ctx context.Context, command record.Command) (record.Result, error) {
	request := &peer.SubmitRequest{Command: codec.CommandToWire(command)}
	var result record.Result
	err := c.each(ctx, func(ctx context.Context, client peer.ControlClient) error {
		response, err := client.Submit(ctx, connect.NewRequest(request))
		if err != nil {
			return err
		}
		result = codec.ResultFromWire(response.Msg.GetResult())
		return nil
	})
	return result, err
}

// Renew renews an entry's lease.
func (c *Control) Renew(ctx context.Context, entry string, revision uint64) (agent.Renewal, error) {
	request := &peer.RenewRequest{Entry: entry, Revision: revision}
	var renewal agent.Renewal
	err := c.each(ctx, func(ctx context.Context, client peer.ControlClient) error {
		response, err := client.Renew(ctx, connect.NewRequest(request))
		if err != nil {
			return err
		}
		renewal = agent.Renewal{Revision: response.Msg.GetRevision(), Document: response.Msg.GetDocument()}
		return nil
	})
	return renewal, err
}

// State returns the replicated state as the leader tells it.
func (c *Control) State(ctx context.Context) (*peer.StateResponse, error) {
	var state *peer.StateResponse
	err := c.each(ctx, func(ctx context.Context, client peer.ControlClient) error {
		response, err := client.State(ctx, connect.NewRequest(&peer.StateRequest{}))
		if err != nil {
			return err
		}
		state = response.Msg
		return nil
	})
	return state, err
}

// each calls the replicas in turn, the one that answered last first, until one answers.
func (c *Control) each(ctx context.Context, call func(context.Context, peer.ControlClient) error) error {
	first := int(c.leader.Load())
	var last error
	for i := range c.clients {
		index := (first + i) % len(c.clients)
		if last = c.try(ctx, c.clients[index], call); last == nil {
			c.leader.Store(int64(index))
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Wrap(last, "no control process answered as the leader")
}

func (c *Control) try(ctx context.Context, client peer.ControlClient, call func(context.Context, peer.ControlClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return call(ctx, client)
}
