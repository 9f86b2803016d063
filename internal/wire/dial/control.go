package dial

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/grant"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

const (
	// tryTimeout bounds one call to one replica, so that a replica that was cut off doesn't hold up the others.
	tryTimeout = time.Second
	// renewTimeout bounds one try of a renewal, so that the lease leaves time for a second one.
	renewTimeout = 700 * time.Millisecond
)

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
	name        string
	control     peer.ControlClient
	members     peer.MembersClient
	environment peer.EnvironmentClient
	fleet       peer.FleetClient
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
			environment: peer.NewEnvironmentClient(client, url),
			fleet:       peer.NewFleetClient(client, url),
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
func (c *Control) Renew(ctx context.Context, renewal grant.Renewal) (grant.Grant, error) {
	request := codec.RenewalToWire(renewal)
	var g grant.Grant
	err := c.eachWithin(ctx, renewTimeout, func(ctx context.Context, r replica) error {
		response, err := r.control.Renew(ctx, connect.NewRequest(request))
		if err != nil {
			return err
		}
		g = codec.GrantFromWire(response.Msg)
		return nil
	})
	return g, err
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

// each calls the replicas, the one that answered last first and then whom a replica names as the leader, until
// one answers or refuses for good.
func (c *Control) each(ctx context.Context, call func(context.Context, replica) error) error {
	return c.eachWithin(ctx, tryTimeout, call)
}

func (c *Control) eachWithin(ctx context.Context, timeout time.Duration, call func(context.Context, replica) error) error {
	next := int(c.leader.Load())
	tried := make([]bool, len(c.replicas))
	var last error
	for next >= 0 && ctx.Err() == nil {
		tried[next] = true
		last = c.try(ctx, timeout, c.replicas[next], call)
		if last == nil || refused(last) {
			c.leader.Store(int64(next))
			return last
		}
		failed := next
		next = c.after(tried, last)
		// A replica that was cut off is not the first to be asked by the next call too.
		c.leader.CompareAndSwap(int64(failed), int64(max(next, 0)))
	}
	if connect.CodeOf(last) == connect.CodeFailedPrecondition {
		// Nothing was done: a later try may find a leader.
		last = connect.NewError(connect.CodeUnavailable, last)
	}
	return errors.Wrap(last, "no control process answered as the leader")
}

// refused says whether the leader itself answered that the call can't be done.
func refused(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAborted, connect.CodePermissionDenied,
		connect.CodeResourceExhausted:
		return true
	default:
		return false
	}
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

func (c *Control) try(ctx context.Context, timeout time.Duration, r replica, call func(context.Context, replica) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, r)
}
