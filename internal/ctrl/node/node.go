package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/record"
)

// Transport sends messages to other replicas; its methods are called on the loop and must not block.
type Transport interface {
	// Send sends messages; they may be lost.
	Send([]quorum.Message)
	// SetProcess sets the name of the process that holds a replica, so that messages reach it.
	SetProcess(quorum.ReplicaID, string)
}

// Codec encodes and decodes commands and the state.
type Codec interface {
	EncodeCommand(record.Command) ([]byte, error)
	DecodeCommand([]byte) (record.Command, error)
	EncodeState(*state.State) ([]byte, error)
	DecodeState([]byte) (state.State, error)
}

// Disk stores the log; its methods may block.
type Disk interface {
	// Save returns once the writes are synced. After quorum.ErrFull, a call without writes retries those that are left.
	Save([]quorum.Write) error
	// Agree returns once the first members of a group are synced.
	Agree([]quorum.Member) error
}

// Options holds the dependencies of a Node and what its disk held; all fields but Agreed, Snapshot and OnFailure are
// required.
type Options struct {
	// Self is this replica; its Voter field is ignored, since the log decides who votes.
	Self quorum.Member
	// Agreed are the first members that this replica has agreed to, nil for none.
	Agreed []quorum.Member
	// Loop owns the node's state.
	Loop *loop.Loop
	// Clock provides the ticks.
	Clock clock.Clock
	// Logger logs changes of the leader, snapshots and failures.
	Logger *zap.Logger
	// Replica is the replicated log, restored from the disk.
	Replica *quorum.Replica
	// Snapshot is the snapshot that the disk held; its index is 0 if there is none.
	Snapshot quorum.Snapshot
	// Transport sends messages to the other replicas.
	Transport Transport
	// Codec encodes commands and the state.
	Codec Codec
	// Disk syncs the log.
	Disk Disk
	// Tick is the time between ticks of the log.
	Tick time.Duration
	// SnapshotEntries is the number of log entries between two snapshots.
	SnapshotEntries uint64
	// SnapshotBytes is the number of bytes of log entries between two snapshots, if the last snapshot has no more; 0 means no limit.
	SnapshotBytes int
	// OnFailure is called on the loop when this replica has stopped because of a failure; it may be nil.
	OnFailure func(error)
}

// Node runs one replica of the replicated state in a control process. Its exported methods are safe for concurrent use,
// except for those in local.go, which belong to the loop.
type Node struct {
	options   Options
	machine   *state.Machine
	diskQueue *diskQueue

	// The fields below belong to the loop.

	// waiting holds the waiters of proposals, by log index.
	waiting map[uint64]waiter
	// reads holds the callbacks of confirmations that a quorum has not answered yet, by the id of the read.
	reads  map[uint64]func(error)
	agreed []quorum.Member
	// applied and snapshotted are the last log indexes that the machine and the latest snapshot cover.
	applied     uint64
	snapshotted uint64
	// appliedBytes are the bytes of the log entries since the latest snapshot, and snapshotBytes those of the snapshot.
	appliedBytes, snapshotBytes int
	// membersIndex is the log index of the membership that the transport knows.
	membersIndex uint64
	leader       quorum.ReplicaID
	leaderTerm   uint64
	// leaderless is the number of ticks since a leader was known.
	leaderless int
	// deposed is closed, and replaced, when this replica loses the leadership.
	deposed chan struct{}
	// failure is the error with which this replica stopped, nil while it runs.
	failure error
	// deferred are the calls to make at the end of the step; runningDeferred is true while they are made.
	deferred        []func()
	runningDeferred bool
	// onStep is called after each step.
	onStep func()
	// deliveringFrom is the replica whose messages are being delivered, 0 for none; replies are the messages to it, which
	// Deliver returns.
	deliveringFrom quorum.ReplicaID
	replies        []quorum.Message
}

// waiter waits for a proposal to be applied; term is the term in which it was proposed.
type waiter struct {
	term uint64
	done func(outcome)
}

// outcome is the result of a proposal, or the error that makes its result unknown.
type outcome struct {
	result record.Result
	err    error
}

// New returns a node with the state that its disk held; it does nothing until Run and RunDisk are called.
func New(o Options) (*Node, error) {
	n := &Node{
		options:   o,
		machine:   state.NewMachine(),
		diskQueue: newDiskQueue(),
		waiting:   map[uint64]waiter{},
		reads:     map[uint64]func(error){},
		onStep:    func() {},
		agreed:    o.Agreed,
		deposed:   make(chan struct{}),
	}
	if o.Snapshot.Index > 0 {
		if err := n.restore(o.Snapshot); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Run ticks the log until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ticker := n.options.Clock.NewTicker(n.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			tick := func() {
				n.step(n.options.Replica.Tick)
				n.observeElection()
			}
			if err := n.options.Loop.Post(ctx, tick); err != nil {
				return nil
			}
		}
	}
}

// Deliver handles messages, one at least, from a replica of the named process. It returns the messages to that replica
// that result at once.
func (n *Node) Deliver(ctx context.Context, name string, messages []quorum.Message) ([]quorum.Message, error) {
	var replies []quorum.Message
	err := n.options.Loop.Call(ctx, func() {
		n.deliveringFrom, n.replies = messages[0].From, nil
		n.step(func() {
			for _, m := range messages {
				n.options.Transport.SetProcess(m.From, name)
				if !n.options.Replica.Plausible(m) {
					n.options.Logger.Warn("message_refused", zap.Uint64("term", m.Term), zap.Uint64("from", uint64(m.From)))
				}
				n.options.Replica.Step(m)
			}
		})
		replies, n.deliveringFrom = n.replies, 0
	})
	return replies, err
}

// View runs a function on the loop; the function may only read the state and must copy what it keeps.
func (n *Node) View(ctx context.Context, view func(*state.State)) error {
	return n.options.Loop.Call(ctx, func() { view(n.machine.State()) })
}

// Leader returns the name of the leading process, empty if no leader is known.
func (n *Node) Leader(ctx context.Context) (string, error) {
	var name string
	err := n.options.Loop.Call(ctx, func() { name = n.leaderName() })
	return name, err
}

// step runs a step of the log and handles its output; it must be called on the loop. It does nothing after a failure.
func (n *Node) step(step func()) {
	if n.failure != nil {
		return
	}
	step()
	n.handleOutput(n.options.Replica.Take())
	if n.snapshotDue() {
		n.snapshot()
		n.handleOutput(n.options.Replica.Take())
	}
	n.observeChanges()
	n.deferCall(n.onStep)
	n.runDeferred()
}

// snapshotDue reports whether so much was applied since the latest snapshot that another one is to be made.
func (n *Node) snapshotDue() bool {
	if limit := n.options.SnapshotBytes; limit > 0 && n.appliedBytes >= max(limit, n.snapshotBytes) {
		return true
	}
	return n.applied >= n.snapshotted+n.options.SnapshotEntries
}

// deferCall makes a call at the end of the current step, when the log may take another step.
func (n *Node) deferCall(call func()) {
	n.deferred = append(n.deferred, call)
}

// runDeferred makes the deferred calls. A call may itself take a step; the calls which that step defers are made by the
// loop that is already running.
func (n *Node) runDeferred() {
	if n.runningDeferred {
		return
	}
	n.runningDeferred = true
	for len(n.deferred) > 0 {
		call := n.deferred[0]
		n.deferred = n.deferred[1:]
		call()
	}
	n.runningDeferred = false
}
