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
	// callTimeout bounds a call to one replica, so that an unreachable replica leaves time to try the others.
	callTimeout = time.Second
	// renewTimeout bounds one attempt to renew a lease, so that a second attempt fits before the lease expires.
	renewTimeout = 700 * time.Millisecond
)

// LeaderHeader is the error header in which a replica that is not the leader names the leader's process.
const LeaderHeader = "Cowslip-Leader"

// Target is the name and address of a process.
type Target struct {
	// Name identifies the process in the settings.
	Name string
	// Address is the host:port at which it serves other processes.
	Address string
}

// replica holds the clients of one control process.
type replica struct {
	name        string
	control     peer.ControlClient
	members     peer.MembersClient
	environment peer.EnvironmentClient
	fleet       peer.FleetClient
}

// Control calls the leader of the control processes. It is safe for concurrent use.
type Control struct {
	replicas []replica
	// leader is the index of the replica to try first, the one that answered last.
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

// Submit proposes a command on the leader. The command's request ID is its idempotency key, so a retry is safe.
func (c *Control) Submit(ctx context.Context, command record.Command) (record.Result, error) {
	request := &peer.SubmitRequest{Command: codec.CommandToWire(command)}
	var result record.Result
	err := c.callLeader(ctx, func(ctx context.Context, r replica) error {
		response, err := r.control.Submit(ctx, connect.NewRequest(request))
		if err != nil {
			return err
		}
		result = codec.ResultFromWire(response.Msg.GetResult())
		return nil
	})
	return result, err
}

// Renew renews an entry's lease with the leader.
func (c *Control) Renew(ctx context.Context, renewal grant.Renewal) (grant.Grant, error) {
	request := codec.RenewalToWire(renewal)
	var g grant.Grant
	err := c.callLeaderWithin(ctx, renewTimeout, func(ctx context.Context, r replica) error {
		response, err := r.control.Renew(ctx, connect.NewRequest(request))
		if err != nil {
			return err
		}
		g = codec.GrantFromWire(response.Msg)
		return nil
	})
	return g, err
}

// State returns the leader's replicated state.
func (c *Control) State(ctx context.Context) (*peer.StateResponse, error) {
	var state *peer.StateResponse
	err := c.callLeader(ctx, func(ctx context.Context, r replica) error {
		response, err := r.control.State(ctx, connect.NewRequest(&peer.StateRequest{}))
		if err != nil {
			return err
		}
		state = response.Msg
		return nil
	})
	return state, err
}

// clientCall is a method of one of a replica's clients.
type clientCall[C, Q, S any] func(C, context.Context, *connect.Request[Q]) (*connect.Response[S], error)

// askLeader makes a call of the leader, by the client that clientOf selects.
func askLeader[C, Q, S any](ctx context.Context, c *Control, q *connect.Request[Q], clientOf func(replica) C, call clientCall[C, Q, S]) (*connect.Response[S], error) {
	var response *connect.Response[S]
	err := c.callLeader(ctx, func(ctx context.Context, r replica) error {
		var err error
		response, err = call(clientOf(r), ctx, connect.NewRequest(q.Msg))
		return err
	})
	return response, err
}

// callLeader tries the replicas until one succeeds or the leader rejects the call. It starts with the one that
// answered last and then prefers the one that a replica names as the leader.
func (c *Control) callLeader(ctx context.Context, call func(context.Context, replica) error) error {
	return c.callLeaderWithin(ctx, callTimeout, call)
}

func (c *Control) callLeaderWithin(ctx context.Context, timeout time.Duration, call func(context.Context, replica) error) error {
	next := int(c.leader.Load())
	tried := make([]bool, len(c.replicas))
	var lastErr error
	for next >= 0 && ctx.Err() == nil {
		tried[next] = true
		lastErr = c.callReplica(ctx, timeout, c.replicas[next], call)
		if lastErr == nil || isRefusal(lastErr) {
			c.leader.Store(int64(next))
			return lastErr
		}
		failed := next
		next = c.nextReplica(tried, lastErr)
		// Later calls don't start with the replica that failed.
		c.leader.CompareAndSwap(int64(failed), int64(max(next, 0)))
	}
	if lastErr == nil {
		return errors.Wrap(ctx.Err(), "no control process was called")
	}
	if connect.CodeOf(lastErr) == connect.CodeFailedPrecondition {
		// The call had no effect, and a retry may find a leader.
		lastErr = connect.NewError(connect.CodeUnavailable, lastErr)
	}
	return errors.Wrap(lastErr, "no control process answered as the leader")
}

// isRefusal reports whether the leader itself rejected the call, so that other replicas need not be tried.
func isRefusal(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAborted, connect.CodePermissionDenied,
		connect.CodeResourceExhausted:
		return true
	default:
		return false
	}
}

// nextReplica returns the index of the replica to try next: the leader named by err, else the first not tried.
// It returns -1 if none is left.
func (c *Control) nextReplica(tried []bool, err error) int {
	var answer *connect.Error
	if errors.As(err, &answer) {
		name := answer.Meta().Get(LeaderHeader)
		leader := slices.IndexFunc(c.replicas, func(r replica) bool { return r.name == name })
		if leader >= 0 && !tried[leader] {
			return leader
		}
	}
	return slices.Index(tried, false)
}

func (c *Control) callReplica(ctx context.Context, timeout time.Duration, r replica, call func(context.Context, replica) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, r)
}
