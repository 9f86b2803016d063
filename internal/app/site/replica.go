package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"go.uber.org/fx"
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
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/link"
	"cowslipstack/internal/wire/peer"
)

// replica is this process's part in the replicated log; its node is nil where there is no disk.
type replica struct {
	node      *node.Node
	transport *transport
	lines     *link.Lines
	failed    chan error
}

// ticksPerHeartbeat divides the time between heartbeats into ticks of the log.
const ticksPerHeartbeat = 2

// firstElection is the least wait for a leader after a start: longer than a former leader's confirmation counts, shorter than
// an election's usual wait, since nobody may lead after a loss of power.
const firstElection = 300 * time.Millisecond

// disk is the data folder of a process, nil where it has none.
type disk struct {
	log   *store.Log
	found store.Recovered
}

func newRoster(settings conf.Site, lc fx.Lifecycle, logger *zap.Logger) (*member.Membership, *disk, error) {
	self := member.Process{
		Name: settings.Name, ControlAddress: settings.Listen.Control,
		Address: net.JoinHostPort(settings.Listen.Host, strconv.Itoa(settings.Listen.PeerPort)),
	}
	if settings.Control.DataFolder == "" {
		return member.New(self, logger), &disk{}, nil
	}
	log, found, err := store.Open(settings.Control.DataFolder, settings.Name, codec.Codec{})
	if err != nil {
		return nil, nil, err
	}
	lc.Append(fx.StopHook(log.Close))
	logger.Info("data_folder_opened", zap.String("identity", fmt.Sprintf("%016x", uint64(found.Identity.ID))),
		zap.Uint64("snapshot", found.Snapshot.Index), zap.Int("entries", len(found.Entries)), zap.Int("torn_bytes", found.TornBytes))
	self.Replica = found.Identity.ID
	return member.New(self, logger), &disk{log: log, found: found}, nil
}

func newLines(c clock.Clock, logger *zap.Logger) (*link.Lines, *inbox) {
	in := &inbox{}
	return link.NewLines(c, logger, in.deliver), in
}

// inbox hands on what comes back over connections that this process has made.
type inbox struct {
	links *links
}

func (i *inbox) deliver(f *peer.Link) {
	if answer := i.links.Deliver(context.Background(), f); answer != nil {
		i.links.send(codec.MessagesFromWire(answer.GetQuorum().GetMessages()))
	}
}

func newReplica(settings conf.Site, l *loop.Loop, c clock.Clock, logger *zap.Logger, r *member.Membership, d *disk, lines *link.Lines) (*replica, error) {
	p := &replica{lines: lines, failed: make(chan error, 1)}
	if d.log == nil {
		return p, nil
	}
	p.transport = &transport{lines: lines, roster: r, holders: map[quorum.ReplicaID]string{}}
	tick := time.Duration(settings.Control.HeartbeatMs) * time.Millisecond / ticksPerHeartbeat
	found := d.found
	n, err := node.New(node.Options{
		Self: quorum.Member{ID: found.Identity.ID, Name: found.Identity.Name}, Agreed: found.Identity.Agreed,
		Loop: l, Clock: c, Logger: logger, Snapshot: found.Snapshot,
		Replica: quorum.New(quorum.Options{
			ID: found.Identity.ID, Hard: found.Hard, Snapshot: found.Snapshot, Entries: found.Entries,
			HeartbeatTicks:     ticksPerHeartbeat,
			ElectionTicks:      int(time.Duration(settings.Control.ElectionMs) * time.Millisecond / tick),
			FirstElectionTicks: int(firstElection / tick),
			Random:             rand.IntN,
		}),
		Transport: p.transport, Codec: codec.Codec{}, Disk: d.log, Tick: tick,
		SnapshotEntries: uint64(settings.Control.SnapshotRecords),
		OnFailure:       p.fail,
	})
	p.node = n
	return p, err
}

// fail takes notice that the replica's part is over; the first cause is enough.
func (p *replica) fail(err error) {
	select {
	case p.failed <- err:
	default:
	}
}

// watchDisk ends the process where its disk fails, so that it starts again with what the disk holds.
func (p *replica) watchDisk(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-p.failed:
		return err
	}
}

// members returns the replicas of the log; it runs on the control loop.
func (p *replica) members() []batch.MemberView {
	var all []batch.MemberView
	for _, s := range p.node.MemberStatusesNow() {
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

func newEngine(settings conf.Site, p *replica, r *member.Membership, c clock.Clock, u clock.Uptime, o *orders, logger *zap.Logger) *sched.Scheduler {
	if p.node == nil {
		return nil
	}
	return sched.New(sched.Options{
		Log: p.node, Clock: c, Uptime: u, Logger: logger, ProcessName: settings.Name, ControlAddress: settings.Listen.Control,
		PlatformLimits: boundsOf(settings), SendOrder: o.put, Members: p.members,
		HasEnoughVoters: func() bool {
			_, members, _ := p.node.Self()
			return r.HasEnoughVoters(members, settings.Control.Losses)
		},
	})
}

func newLocal(l *loop.Loop, e *sched.Scheduler) *local {
	return &local{loop: l, engine: e}
}

func newLinks(l *loop.Loop, p *replica, r *member.Membership, own *local, u clock.Uptime, in *inbox, logger *zap.Logger) *links {
	in.links = &links{loop: l, node: p.node, roster: r, local: own, uptime: u, logger: logger, transport: p.transport}
	return in.links
}

func newGreeter(settings conf.Site, l *links, lines *link.Lines, c clock.Clock, logger *zap.Logger) (*greeter, error) {
	g := &greeter{links: l, lines: lines, clock: c, logger: logger, mayForm: settings.Control.FirstStart}
	if err := g.seed(settings); err != nil {
		return nil, err
	}
	if g.mayForm {
		l.roster.BeginBootstrap(*g.seeds.Load(), l.uptime.Milliseconds())
	}
	return g, nil
}
