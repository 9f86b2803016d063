package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/record"
)

// Transport sends messages to other replicas; it must not block and may lose them.
type Transport interface {
	Send(messages []quorum.Message)
}

// Codec turns commands into the bytes of log entries and back.
type Codec interface {
	EncodeCommand(record.Command) ([]byte, error)
	DecodeCommand([]byte) (record.Command, error)
}

// Disk syncs log entries; it may block.
type Disk interface {
	Append([]quorum.Entry) error
}

// Options says what a node works with; all fields are needed.
type Options struct {
	// Loop owns the node's state.
	Loop *loop.Loop
	// Clock gives the heartbeats.
	Clock clock.Clock
	// Logger takes the node's events.
	Logger *zap.Logger
	// Replica is the log, with what the disk held.
	Replica *quorum.Replica
	// Transport reaches the other replicas.
	Transport Transport
	// Codec encodes commands.
	Codec Codec
	// Disk syncs the log.
	Disk Disk
	// Heartbeat is the time between ticks.
	Heartbeat time.Duration
}

// Node is one control process's part in the replicated state; its exported methods are safe for concurrent use.
type Node struct {
	options Options
	machine *state.Machine
	// writes holds what waits for the disk; its room bounds what one node has in flight.
	writes  chan []quorum.Entry
	waiting map[uint64]chan record.Result
	reads   map[uint64]chan struct{}
}

// writesWaiting is the most batches that wait for the disk.
const writesWaiting = 1024

// New returns a node; it does nothing until it is run.
func New(o Options) *Node {
	return &Node{
		options: o,
		machine: state.NewMachine(),
		writes:  make(chan []quorum.Entry, writesWaiting),
		waiting: map[uint64]chan record.Result{},
		reads:   map[uint64]chan struct{}{},
	}
}

// Run ticks the log until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ticker := n.options.Clock.NewTicker(n.options.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			tick := func() {
				n.options.Replica.Tick()
				n.drive()
			}
			if err := n.options.Loop.Post(ctx, tick); err != nil {
				return nil
			}
		}
	}
}

// RunDisk syncs the log until the context ends; it fails where the disk does.
func (n *Node) RunDisk(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case entries := <-n.writes:
			if err := n.sync(ctx, entries); err != nil {
				return err
			}
		}
	}
}

// sync writes a batch and all others that wait under one sync.
func (n *Node) sync(ctx context.Context, entries []quorum.Entry) error {
	for len(n.writes) > 0 {
		entries = append(entries, <-n.writes...)
	}
	if err := n.options.Disk.Append(entries); err != nil {
		return errors.Wrap(err, "replicated log")
	}
	last := entries[len(entries)-1].Index
	persisted := func() {
		n.options.Replica.Persisted(last)
		n.drive()
	}
	if err := n.options.Loop.Post(ctx, persisted); err != nil {
		return nil
	}
	return nil
}

// Deliver takes messages from another replica.
func (n *Node) Deliver(ctx context.Context, messages []quorum.Message) error {
	return n.options.Loop.Post(ctx, func() {
		for _, m := range messages {
			n.options.Replica.Step(m)
		}
		n.drive()
	})
}

// Submit proposes a command and waits for its result; it fails with quorum.ErrNotLeader on a follower.
// Where it fails otherwise, the command may still be applied.
func (n *Node) Submit(ctx context.Context, c record.Command) (record.Result, error) {
	data, err := n.options.Codec.EncodeCommand(c)
	if err != nil {
		return record.Result{}, errors.Wrap(err, "encode command")
	}
	result := make(chan record.Result, 1)
	var index uint64
	var refused error
	propose := func() {
		if index, refused = n.options.Replica.Propose(data); refused == nil {
			n.waiting[index] = result
			n.drive()
		}
	}
	if err := n.options.Loop.Call(ctx, propose); err != nil {
		return record.Result{}, err
	}
	if refused != nil {
		return record.Result{}, refused
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return record.Result{}, errors.Wrap(ctx.Err(), "wait for the command to be applied")
	}
}

// Confirm returns once a quorum has confirmed that this replica led when Confirm was called.
func (n *Node) Confirm(ctx context.Context) error {
	done := make(chan struct{})
	var refused error
	read := func() {
		var id uint64
		if id, refused = n.options.Replica.Read(); refused == nil {
			n.reads[id] = done
			n.drive()
		}
	}
	if err := n.options.Loop.Call(ctx, read); err != nil {
		return err
	}
	if refused != nil {
		return refused
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a quorum's confirmation")
	}
}

// View runs a function on the loop with the state for reading; the function must copy what it keeps.
func (n *Node) View(ctx context.Context, view func(*state.State)) error {
	return n.options.Loop.Call(ctx, func() { view(n.machine.State()) })
}

// Leader returns the replica that leads, 0 where none is known.
func (n *Node) Leader(ctx context.Context) (quorum.ReplicaID, error) {
	var leader quorum.ReplicaID
	err := n.options.Loop.Call(ctx, func() { leader = n.options.Replica.Leader() })
	return leader, err
}

// drive does what the log wants done; it runs on the loop.
func (n *Node) drive() {
	out := n.options.Replica.Take()
	if len(out.Append) > 0 {
		n.writes <- out.Append
	}
	if len(out.Messages) > 0 {
		n.options.Transport.Send(out.Messages)
	}
	for _, e := range out.Committed {
		n.apply(e)
	}
	for _, id := range out.Reads {
		if done, ok := n.reads[id]; ok {
			close(done)
			delete(n.reads, id)
		}
	}
}

func (n *Node) apply(e quorum.Entry) {
	if e.Kind != quorum.EntryCommand {
		return
	}
	c, err := n.options.Codec.DecodeCommand(e.Data)
	if err != nil {
		n.options.Logger.Error("command_not_decoded", zap.Uint64("index", e.Index), zap.Error(err))
		return
	}
	result := n.machine.Apply(e.Index, c)
	n.options.Logger.Info("command_applied", zap.Uint64("index", e.Index), zap.String("request_id", c.RequestID),
		zap.Stringer("code", result.Code), zap.Uint64("revision", result.Revision))
	if waiting, ok := n.waiting[e.Index]; ok {
		waiting <- result
		delete(n.waiting, e.Index)
	}
}
