package daemon

import (
	"net/http"

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

// controlModule holds the parts of the control role.
var controlModule = fx.Options(
	fx.Provide(newNode, newKeeper, newReplicaSender, newReplicaService, newControlService),
	fx.Invoke(startControl),
)

func newNode(settings conf.Daemon, lc fx.Lifecycle, l *loop.Loop, c clock.Clock, logger *zap.Logger, sender *dial.Replicas) (*node.Node, error) {
	log, entries, err := store.Open(settings.Control.DataFolder, codec.Codec{})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(log.Close))
	options := quorum.Options{Entries: entries}
	for id, name := range replicaNames(settings) {
		options.Voters = append(options.Voters, id)
		if name == string(settings.Name) {
			options.ID = id
		}
	}
	return node.New(node.Options{
		Loop: l, Clock: c, Logger: logger, Replica: quorum.New(options),
		Transport: sender, Codec: codec.Codec{}, Disk: log,
		Heartbeat: conf.Milliseconds(settings.Control.HeartbeatMs),
	}), nil
}

func newKeeper(n *node.Node, c clock.Clock) *lease.Keeper {
	return lease.NewKeeper(n, c)
}

func newReplicaSender(settings conf.Daemon, client *http.Client, logger *zap.Logger) *dial.Replicas {
	others := map[quorum.ReplicaID]string{}
	for i, p := range settings.ControlPeers() {
		if p.Name != settings.Name {
			others[replicaID(i)] = p.Address
		}
	}
	return dial.NewReplicas(client, others, logger)
}

func newReplicaService(n *node.Node) *serve.Replica {
	return &serve.Replica{Node: n}
}

func newControlService(settings conf.Daemon, n *node.Node, k *lease.Keeper, c clock.Clock) *serve.Control {
	return &serve.Control{Node: n, Keeper: k, Clock: c, Names: replicaNames(settings)}
}

func startControl(n *node.Node, sender *dial.Replicas, g *tasks.Group) {
	g.Start("disk", n.RunDisk)
	g.Start("node", n.Run)
	for _, id := range sender.IDs() {
		g.Start("replica_sender", senderRun(sender, id))
	}
}

func replicaNames(settings conf.Daemon) map[quorum.ReplicaID]string {
	names := map[quorum.ReplicaID]string{}
	for i, p := range settings.ControlPeers() {
		names[replicaID(i)] = string(p.Name)
	}
	return names
}

func replicaID(index int) quorum.ReplicaID {
	return quorum.ReplicaID(index + 1)
}
