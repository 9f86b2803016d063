package daemon

import (
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/base/tasks"
	"cowslipstack/internal/ctrl/lead"
	"cowslipstack/internal/ctrl/lease"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/wire/dial"
	"cowslipstack/internal/wire/serve"
)

func newFleetService(n *node.Node, c clock.Clock) *serve.Fleet {
	return &serve.Fleet{Node: n, Clock: c}
}

// startLeader starts the reconciliation loop, which plans while this process leads. Without a platform's address in the
// settings there is nothing to reconcile, and it starts nothing.
func startLeader(settings conf.Daemon, n *node.Node, k *lease.Keeper, c clock.Clock, logger *zap.Logger, g *tasks.Group) {
	if settings.Platform.Address == "" {
		return
	}
	reconciler := lead.New(lead.Options{
		Node: n, Entries: k, Platform: dial.NewPlatform(settings.Platform.Address), Clock: c, Logger: logger,
	})
	g.Start("leader", reconciler.Run)
}
