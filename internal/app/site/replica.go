package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/ctrl/store"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/pools"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
)

// replica is this process's replica of the log; its node is nil if the process has no disk.
type replica struct {
	node        *node.Node
	transport   *transport
	connections *link.Connections
	// failures receives the first error that stops the node.
	failures chan error
}

// ticksPerHeartbeat is the heartbeat interval of the replicated log in ticks.
const ticksPerHeartbeat = 2

// firstElectionTimeout is the minimum timeout of the first election after a start. It is as long as a former leader of an earlier
// version relies on a confirmation, and shorter than the usual election timeout because after a power loss there may be no leader.
const firstElectionTimeout = 300 * time.Millisecond

// disk is the opened data folder of a process; its log is nil if there is none.
type disk struct {
	log       *store.Log
	recovered store.Recovered
}

// close closes the log, if there is one.
func (d *disk) close() error {
	if d.log == nil {
		return nil
	}
	return d.log.Close()
}

// newDisk opens the data folder, if the settings name one.
func newDisk(settings conf.Site) (*disk, error) {
	if settings.Control.DataFolder == "" {
		return &disk{}, nil
	}
	log, recovered, err := store.Open(settings.Control.DataFolder, settings.Name, codec.Codec{})
	if err != nil {
		return nil, err
	}
	return &disk{log: log, recovered: recovered}, nil
}

func newMembership(settings conf.Site, d *disk, logger *zap.Logger) *member.Membership {
	self := member.Process{
		Name: settings.Name, ControlAddress: settings.Listen.Control,
		Address: net.JoinHostPort(settings.Listen.Host, strconv.Itoa(settings.Listen.PeerPort)),
	}
	if d.log != nil {
		found := &d.recovered
		logger.Info("data_folder_opened", zap.String("identity", fmt.Sprintf("%016x", uint64(found.Identity.ID))),
			zap.Uint64("snapshot", found.Snapshot.Index), zap.Int("entries", len(found.Entries)), zap.Int("torn_bytes", found.TornBytes))
		self.Replica = found.Identity.ID
	}
	return member.New(self, logger)
}

func newConnections(c clock.Clock, logger *zap.Logger) (*link.Connections, *inbox) {
	in := &inbox{}
	return link.NewConnections(c, logger, in.deliver), in
}

// inbox passes on frames that arrive over outgoing connections and answer no call.
type inbox struct {
	peers *peerHandler
}

func (i *inbox) deliver(ctx context.Context, f *peer.Link) {
	if answer := i.peers.Deliver(ctx, f); answer != nil {
		i.peers.send(codec.MessagesFromWire(answer.GetQuorum().GetMessages()))
	}
}

func newReplica(settings conf.Site, l *loop.Loop, c clock.Clock, logger *zap.Logger, m *member.Membership, d *disk, connections *link.Connections) (*replica, error) {
	r := &replica{connections: connections, failures: make(chan error, 1)}
	if d.log == nil {
		return r, nil
	}
	r.transport = &transport{connections: connections, membership: m, processes: map[quorum.ReplicaID]string{}}
	tick := time.Duration(settings.Control.HeartbeatMs) * time.Millisecond / ticksPerHeartbeat
	recovered := d.recovered
	n, err := node.New(node.Options{
		Self: quorum.Member{ID: recovered.Identity.ID, Name: recovered.Identity.Name}, Agreed: recovered.Identity.Agreed,
		Loop: l, Clock: c, Logger: logger, Snapshot: recovered.Snapshot,
		Replica: quorum.New(quorum.Options{
			ID: recovered.Identity.ID, Hard: recovered.Hard, Snapshot: recovered.Snapshot, Entries: recovered.Entries,
			HeartbeatTicks:     ticksPerHeartbeat,
			ElectionTicks:      int(time.Duration(settings.Control.ElectionMs) * time.Millisecond / tick),
			FirstElectionTicks: int(firstElectionTimeout / tick),
			Random:             rand.IntN,
			KeptBytes:          logMemory(settings),
		}),
		Transport: r.transport, Codec: codec.Codec{}, Disk: d.log, Tick: tick,
		SnapshotEntries: uint64(settings.Control.SnapshotRecords), SnapshotBytes: logMemory(settings),
		OnFailure: r.fail,
	})
	r.node = n
	return r, err
}

// fail records that the node has failed; later errors are dropped.
func (r *replica) fail(err error) {
	select {
	case r.failures <- err:
	default:
	}
}

// watchDisk returns the node's failure, such as a disk error. That ends the process, which restarts from its disk.
func (r *replica) watchDisk(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-r.failures:
		return err
	}
}

// memberViews returns the members of the group with their roles. It runs on the control loop.
func (r *replica) memberViews() []batch.MemberView {
	var all []batch.MemberView
	for _, s := range r.node.MemberStatusesNow() {
		role := "learner"
		switch {
		case s.Leader:
			role = "leader"
		case s.Member.Voter:
			role = "voter"
		}
		all = append(all, batch.MemberView{Name: s.Member.Name, Role: role, RecentlyHeard: s.Heard, CaughtUp: s.CaughtUp})
	}
	return all
}

func newScheduler(settings conf.Site, r *replica, m *member.Membership, c clock.Clock, u clock.Uptime, o *orderQueues, logger *zap.Logger) *sched.Scheduler {
	if r.node == nil {
		return nil
	}
	return sched.New(sched.Options{
		PoolPlanner: pools.Planner{},
		Log:         r.node, Clock: c, Uptime: u, Logger: logger, ProcessName: settings.Name, ControlAddress: settings.Listen.Control,
		PlatformLimits: platformLimits(settings), JobMemoryBytes: jobMemory(settings),
		ReportMemoryBytes: reportMemory(settings), SendOrder: o.enqueue, Members: r.memberViews,
		HasEnoughVoters: func() bool {
			_, members, _ := r.node.Self()
			return m.HasEnoughVoters(members, settings.Control.Losses)
		},
	})
}

func newLocal(l *loop.Loop, s *sched.Scheduler, u clock.Uptime) *local {
	return &local{loop: l, scheduler: s, uptime: u}
}

func newPeerHandler(l *loop.Loop, r *replica, m *member.Membership, own *local, u clock.Uptime, in *inbox, logger *zap.Logger) *peerHandler {
	in.peers = &peerHandler{loop: l, node: r.node, membership: m, local: own, uptime: u, logger: logger, transport: r.transport}
	return in.peers
}

func newGossiper(settings conf.Site, h *peerHandler, connections *link.Connections, c clock.Clock, logger *zap.Logger) (*gossiper, error) {
	g := &gossiper{peers: h, connections: connections, clock: c, logger: logger, firstStart: settings.Control.FirstStart}
	if err := g.setSeeds(settings); err != nil {
		return nil, err
	}
	if g.firstStart {
		h.membership.BeginBootstrap(*g.seeds.Load(), h.uptime.Milliseconds())
	}
	return g, nil
}
