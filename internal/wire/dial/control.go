package dial

import (
	"context"
	"net/http"
	"slices"
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

// LeaderHeader names, in the answer of a replica that doesn't lead, the process that does.
const LeaderHeader = "Cowslip-Leader"

// Target is a process as others reach it.
type Target struct {
	// Name is the process's name.
	Name string
	// Address is its host:port for other processes.
	Address string
}

// replica is one control process.
type replica struct {
	name    string
	control peer.ControlClient
	members peer.MembersClient
}

// Control reaches the leader among the control processes; it is safe for concurrent use.
type Control struct {
	replicas []replica
	// leader is the index of the replica that answered last.
	leader atomic.Int64
}

// NewControl returns a client of the control processes.
func NewControl(client *http.Client, targets []Target) *Control {
	c := &Control{}
	for _, t := range targets {
		url := "http://" + t.Address
		c.replicas = append(c.replicas, replica{
			name: t.Name, control: peer.NewControlClient(client, url), members: peer.NewMembersClient(client, url),
		})
	}
	return c
}

// Submit proposes a command on the leader; the command's request identity makes a second try safe.
func (c *Control) Submit(ctx context.Context, command record.Command) (record.Result, error) {
	request := &peer.SubmitRequest{Command: codec.CommandToWire(command)}
	var result record.Result
	err := c.each(ctx, func(ctx context.Context, r replica) error {
		response, err := r.control.Submit(ctx, connect.NewRequest(request))
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
	err := c.each(ctx, func(ctx context.Context, r replica) error {
		response, err := r.control.Renew(ctx, connect.NewRequest(request))
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
	err := c.each(ctx, func(ctx context.Context, r replica) error {
		response, err := r.control.State(ctx, connect.NewRequest(&peer.StateRequest{}))
		if err != nil {
			return err
		}
		state = response.Msg
		return nil
	})
	return state, err
}

// each calls the replicas, the one that answered last first and then whom a replica names as the leader, until one answers.
func (c *Control) each(ctx context.Context, call func(context.Context, replica) error) error {
	next := int(c.leader.Load())
	tried := make([]bool, len(c.replicas))
	var last error
	for next >= 0 && ctx.Err() == nil {
		tried[next] = true
		if last = c.try(ctx, c.replicas[next], call); last == nil {
			c.leader.Store(int64(next))
			return nil
		}
		next = c.after(tried, last)
	}
	return errors.Wrap(last, "no control process answered as the leader")
}

// after returns the index of the replica to try next, -1 for none.
func (c *Control) after(tried []bool, err error) int {
	var answer *connect.Error
	if errors.As(err, &answer) {
		name := answer.Meta().Get(LeaderHeader)
		named := slices.IndexFunc(c.replicas, func(r replica) bool { return r.name == name })
		if named >= 0 && !tried[named] {
			return named
		}
	}
	return slices.Index(tried, false)
}

func (c *Control) try(ctx context.Context, r replica, call func(context.Context, replica) error) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return call(ctx, r)
}
