package bench

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/store"
	"cowslipstack/internal/wire/codec"
)

// The heartbeat interval and the election timeout are in ticks.
const (
	benchTick      = 50 * time.Millisecond
	benchHeartbeat = 5
	benchElection  = 20
	pollInterval   = 20 * time.Millisecond
)

// network carries messages between the replicas of one process; cut holds the replicas that are partitioned from all
// others.
type network struct {
	mu    sync.RWMutex
	nodes map[quorum.ReplicaID]*replica
	cut   map[quorum.ReplicaID]bool
}

// replica is one node with its disk, its log and its goroutines.
type replica struct {
	id    quorum.ReplicaID
	name  string
	node  *node.Node
	tasks *tasks.Group
	log   *store.Log
	disk  *testDisk
	// folder is the data folder of a replica in memory, nil for one on the local disk.
	folder *memoryFolder
	inbox  chan []quorum.Message
	net    *network
}

// Send puts messages into the receivers' inboxes. It drops messages from and to a partitioned replica, and those that
// find a full inbox.
func (r *replica) Send(messages []quorum.Message) {
	r.net.mu.RLock()
	defer r.net.mu.RUnlock()
	for _, m := range messages {
		to := r.net.nodes[m.To]
		if to == nil || r.net.cut[m.To] || r.net.cut[r.id] {
			continue
		}
		select {
		case to.inbox <- []quorum.Message{m}:
		default:
		}
	}
}

// SetProcess does nothing: replicas are looked up by their identity, not by an address.
func (r *replica) SetProcess(quorum.ReplicaID, string) {}

// receive delivers arriving messages until the context ends.
func (r *replica) receive(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case messages := <-r.inbox:
			for len(r.inbox) > 0 {
				messages = append(messages, <-r.inbox...)
			}
			if err := r.deliver(ctx, messages); err != nil {
				return nil
			}
		}
	}
}

// deliver passes messages to the node in batches of one sender and sends its answers back.
func (r *replica) deliver(ctx context.Context, messages []quorum.Message) error {
	for len(messages) > 0 {
		count := slices.IndexFunc(messages, func(m quorum.Message) bool { return m.From != messages[0].From })
		if count < 0 {
			count = len(messages)
		}
		answers, err := r.node.Deliver(ctx, "", messages[:count])
		if err != nil {
			return err
		}
		r.Send(answers)
		messages = messages[count:]
	}
	return nil
}

// Names returns the names of all other replicas. With Hello, Agree and Join it lets replicas form a group.
func (r *replica) Names() []string {
	var names []string
	for _, o := range r.net.nodes {
		if o != r {
			names = append(names, o.name)
		}
	}
	return names
}

func (r *replica) byName(name string) *replica {
	for _, o := range r.net.nodes {
		if o.name == name {
			return o
		}
	}
	return nil
}

// Hello asks another replica for its identity and members.
func (r *replica) Hello(ctx context.Context, name string) (node.ReplicaInfo, error) {
	return r.byName(name).node.Hello(ctx)
}

// Agree asks another replica to sync the first members of the group.
func (r *replica) Agree(ctx context.Context, name string, members []quorum.Member) error {
	return r.byName(name).node.Agree(ctx, members)
}

// Join always returns node.ErrOtherGroup: no replica is added as a learner here.
func (r *replica) Join(context.Context, quorum.Member) error { return node.ErrOtherGroup }

// ungroupedDisk syncs each write separately, without group commit.
type ungroupedDisk struct{ *store.Log }

func (d ungroupedDisk) Save(writes []quorum.Write) error {
	for _, w := range writes {
		if err := d.Log.Save([]quorum.Write{w}); err != nil {
			return err
		}
	}
	return nil
}

// openReplica opens a replica on a data folder and starts its loop.
func openReplica(tb testing.TB, folder, name string, grouped bool) *replica {
	tb.Helper()
	log, found, err := store.Open(folder, name, codec.Codec{})
	if err != nil {
		tb.Fatal(err)
	}
	r := newReplica(log, found)
	var disk node.Disk = r.disk
	if !grouped {
		disk = ungroupedDisk{log}
	}
	r.startLoop(tb, found, disk, 8192)
	return r
}

// openReplicaInMemory opens a replica on an empty data folder in memory and starts its loop.
func openReplicaInMemory(tb testing.TB, name string, snapshotEntries uint64) *replica {
	tb.Helper()
	folder := newMemoryFolder()
	log, found, err := store.OpenFolder(folder, name, codec.Codec{})
	if err != nil {
		tb.Fatal(err)
	}
	r := newReplica(log, found)
	r.folder = folder
	r.startLoop(tb, found, log, snapshotEntries)
	return r
}

func newReplica(log *store.Log, found store.Recovered) *replica {
	return &replica{
		id: found.Identity.ID, name: found.Identity.Name, log: log, disk: &testDisk{Log: log},
		inbox: make(chan []quorum.Message, 4096),
	}
}

// startLoop creates the replica's node and starts its loop.
func (r *replica) startLoop(tb testing.TB, found store.Recovered, disk node.Disk, snapshotEntries uint64) {
	tb.Helper()
	l := loop.New(loop.DefaultCapacity)
	var err error
	r.node, err = node.New(node.Options{
		Self: quorum.Member{ID: r.id, Name: r.name}, Agreed: found.Identity.Agreed,
		Loop: l, Clock: clock.System{}, Logger: zap.NewNop(), Snapshot: found.Snapshot,
		Replica: quorum.New(quorum.Options{
			ID: r.id, Hard: found.Hard, Snapshot: found.Snapshot, Entries: found.Entries,
			HeartbeatTicks: benchHeartbeat, ElectionTicks: benchElection, Random: rand.IntN,
		}),
		Transport: r, Codec: codec.Codec{}, Disk: disk, Tick: benchTick, SnapshotEntries: snapshotEntries,
	})
	if err != nil {
		tb.Fatal(err)
	}
	r.tasks = tasks.NewGroup(context.Background())
	r.tasks.Start("loop", l.Run)
}

// startGroup starts replicas with these names and with data folders on the local disk, which then form a group.
func startGroup(tb testing.TB, names []string, grouped bool) *network {
	tb.Helper()
	base := tb.TempDir()
	replicas := make([]*replica, 0, len(names))
	for _, name := range names {
		replicas = append(replicas, openReplica(tb, filepath.Join(base, name), name, grouped))
	}
	return joinReplicas(tb, replicas)
}

// startGroupInMemory starts replicas with data folders in memory, which then form a group.
func startGroupInMemory(tb testing.TB, names []string, snapshotEntries uint64) *network {
	tb.Helper()
	replicas := make([]*replica, 0, len(names))
	for _, name := range names {
		replicas = append(replicas, openReplicaInMemory(tb, name, snapshotEntries))
	}
	return joinReplicas(tb, replicas)
}

// joinReplicas connects replicas, which then form a group; they stop when the test ends.
func joinReplicas(tb testing.TB, replicas []*replica) *network {
	tb.Helper()
	n := &network{nodes: map[quorum.ReplicaID]*replica{}, cut: map[quorum.ReplicaID]bool{}}
	for _, r := range replicas {
		r.net = n
		n.nodes[r.id] = r
	}
	for _, r := range n.nodes {
		r.tasks.Start("receive", r.receive)
		r.tasks.Start("disk", r.node.RunDisk)
		r.tasks.Start("node", r.node.Run)
		r.tasks.Start("join", func(ctx context.Context) error { return r.node.RunJoin(ctx, r) })
	}
	tb.Cleanup(func() {
		for _, r := range n.nodes {
			if err := r.tasks.Stop(); err != nil {
				tb.Error(err)
			}
			if err := r.log.Close(); err != nil {
				tb.Error(err)
			}
		}
	})
	return n
}

// leader waits until a quorum confirms a replica that isn't partitioned as the leader.
func (n *network) leader(tb testing.TB) *replica {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for _, r := range n.nodes {
			if n.isCut(r.id) {
				continue
			}
			once, stop := context.WithTimeout(ctx, time.Second)
			err := r.node.Confirm(once)
			stop()
			if err == nil {
				return r
			}
		}
		select {
		case <-ctx.Done():
			tb.Fatal("no leader")
		case <-ticker.C:
		}
	}
}

func (n *network) isCut(id quorum.ReplicaID) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.cut[id]
}

func (n *network) setCut(id quorum.ReplicaID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut
}
