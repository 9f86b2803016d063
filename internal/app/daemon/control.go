package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/lease"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/store"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/dial"
	"cowslipstack/internal/wire/serve"
)

// controlModule provides and starts the components of the control role.
var controlModule = fx.Options(
	fx.Provide(newNode, newKeeper, newReplicaSender, newReplicaService, newControlService, newEnvironmentService, newFleetService),
	fx.Invoke(startControl, startLeader),
)

// ticksPerHeartbeat is the number of ticks of the consensus log between two heartbeats.
const ticksPerHeartbeat = 5

// snapshotBytes is the number of bytes of log entries from which a snapshot is made.
const snapshotBytes = 16 << 20

// newNode opens the data folder and returns the replica of the consensus log that it holds.
func newNode(settings conf.Daemon, lc fx.Lifecycle, l *loop.Loop, c clock.Clock, logger *zap.Logger, sender *dial.Replicas) (*node.Node, error) {
	log, recovered, err := store.Open(settings.Control.DataFolder, string(settings.Name), codec.Codec{})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(log.Close))
	logger.Info("data_folder_opened", zap.String("identity", fmt.Sprintf("%016x", uint64(recovered.Identity.ID))),
		zap.Uint64("snapshot", recovered.Snapshot.Index), zap.Int("entries", len(recovered.Entries)), zap.Int("torn_bytes", recovered.TornBytes))
	tick := conf.Milliseconds(settings.Control.HeartbeatMs) / ticksPerHeartbeat
	return node.New(node.Options{
		Self: quorum.Member{ID: recovered.Identity.ID, Name: recovered.Identity.Name}, Agreed: recovered.Identity.Agreed,
		Loop: l, Clock: c, Logger: logger, Snapshot: recovered.Snapshot,
		Replica: quorum.New(quorum.Options{
			ID: recovered.Identity.ID, Hard: recovered.Hard, Snapshot: recovered.Snapshot, Entries: recovered.Entries,
			HeartbeatTicks: ticksPerHeartbeat,
			ElectionTicks:  int(conf.Milliseconds(settings.Control.ElectionMs) / tick),
			Random:         rand.IntN,
			KeptBytes:      snapshotBytes,
		}),
		Transport: sender, Codec: codec.Codec{}, Disk: log, Tick: tick,
		SnapshotEntries: uint64(settings.Control.SnapshotRecords), SnapshotBytes: snapshotBytes,
	})
}

// newKeeper returns the keeper of the leases of all entries in the settings.
func newKeeper(settings conf.Daemon, n *node.Node, c clock.Clock, logger *zap.Logger) *lease.Keeper {
	var entries []string
	for _, p := range settings.EntryPeers() {
		entries = append(entries, string(p.Name))
	}
	return lease.NewKeeper(lease.Options{
		Node: n, Clock: c, Logger: logger, Entries: entries, Lease: conf.Milliseconds(settings.Entry.LeaseMs),
	})
}

// newReplicaSender returns the sender of messages to the other control replicas.
func newReplicaSender(settings conf.Daemon, client *http.Client, control *dial.Control, logger *zap.Logger) *dial.Replicas {
	peers := slices.DeleteFunc(targets(settings.ControlPeers()), func(t dial.Target) bool { return t.Name == string(settings.Name) })
	return dial.NewReplicas(client, string(settings.Name), peers, control, logger)
}

func newReplicaService(settings conf.Daemon, n *node.Node) *serve.Replica {
	s := &serve.Replica{Group: n}
	for _, p := range settings.ControlPeers() {
		s.Names = append(s.Names, string(p.Name))
	}
	return s
}

func newControlService(n *node.Node, k *lease.Keeper, c clock.Clock) *serve.Control {
	return &serve.Control{Node: n, Keeper: k, Clock: c}
}

func newEnvironmentService(settings conf.Daemon, n *node.Node, k *lease.Keeper, c clock.Clock) *serve.Environment {
	return &serve.Environment{Node: n, Keeper: k, Clock: c, LeaseDurationMS: int64(settings.Entry.LeaseMs)}
}

// handOverOnStop hands the leadership over to another replica when the process stops.
func handOverOnStop(lc fx.Lifecycle, n *node.Node, logger *zap.Logger) {
	lc.Append(fx.StopHook(func(ctx context.Context) {
		if err := n.HandOver(ctx); err != nil {
			logger.Info("leadership_not_handed_over", zap.String("cause", err.Error()))
		}
	}))
}

// startControl starts the goroutines of the control role.
func startControl(n *node.Node, k *lease.Keeper, sender *dial.Replicas, g *tasks.Group) {
	g.Start("disk", n.RunDisk)
	g.Start("node", n.Run)
	g.Start("lease_confirm", k.RunConfirm)
	g.Start("lease_watch", k.RunRefresh)
	g.Start("join", func(ctx context.Context) error { return n.RunJoin(ctx, sender) })
	for _, name := range sender.Names() {
		g.Start("replica_sender", func(ctx context.Context) error { return sender.Run(ctx, name, n) })
	}
}
