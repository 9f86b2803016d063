package site

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/sched"
)

// memberCheckInterval is the time between checks of the group's members.
const memberCheckInterval = 100 * time.Millisecond

// controlTicker runs the periodic work of the control loop.
type controlTicker struct {
	loop       *loop.Loop
	clock      clock.Clock
	uptime     clock.Uptime
	node       *node.Node
	scheduler  *sched.Scheduler
	membership *member.Membership
	// tolerableLosses is how many voters may be lost at once.
	tolerableLosses int
	logger          *zap.Logger
	// changePending means that a membership change is in progress.
	changePending bool
}

// newControlTicker returns the ticker and lets it handle the steps of the log; nil if the process has no disk.
func newControlTicker(p startParams) *controlTicker {
	n := p.Replica.node
	if n == nil {
		return nil
	}
	t := &controlTicker{
		loop: p.Loop, clock: p.Clock, uptime: p.Uptime, node: n, scheduler: p.Scheduler, membership: p.Membership,
		tolerableLosses: p.Settings.Control.Losses, logger: p.Logger,
	}
	n.OnStep(t.handleLogStep)
	return t
}

// Run ticks the scheduler and checks the members until the context ends.
func (t *controlTicker) Run(ctx context.Context) error {
	ticker := t.clock.NewTicker(sched.TickMs * time.Millisecond)
	defer ticker.Stop()
	lastCheck := t.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			now := t.clock.Now()
			checkMembers := now.Sub(lastCheck) >= memberCheckInterval || now.Before(lastCheck)
			if checkMembers {
				lastCheck = now
			}
			if err := t.loop.Post(ctx, func() { t.tick(checkMembers) }); err != nil {
				return nil
			}
		}
	}
}

// tick ticks the scheduler and, if this process leads and no change is pending, may start a membership change.
func (t *controlTicker) tick(checkMembers bool) {
	t.scheduler.Tick()
	leads, _ := t.node.Leads()
	if !checkMembers || !leads || t.changePending || !t.scheduler.Active() {
		return
	}
	change, ok := t.membership.NextChange(t.node.MemberStatusesNow(), t.tolerableLosses, t.uptime.Milliseconds())
	if !ok {
		return
	}
	t.changePending = true
	t.logger.Info("members_changing", zap.Stringer("change", change.Kind), zap.String("name", change.Member.Name),
		zap.String("identity", fmt.Sprintf("%016x", uint64(change.Member.ID))))
	t.changeMembers(change)
}

// changeMembers proposes a membership change.
func (t *controlTicker) changeMembers(c quorum.Change) {
	err := t.node.ChangeNow(c, func(err error) {
		t.changePending = false
		if err != nil {
			t.logger.Info("members_not_changed", zap.String("name", c.Member.Name), zap.Error(err))
		}
	})
	if err != nil {
		t.changePending = false
		t.logger.Info("members_not_changed", zap.String("name", c.Member.Name), zap.Error(err))
	}
}

// handleLogStep runs on the control loop after each step of the log: it updates the leader and notifies the scheduler.
func (t *controlTicker) handleLogStep() {
	_, term := t.node.Leads()
	if name := t.node.LeaderName(); name != "" {
		t.membership.SetLeader(name, term)
	}
	t.scheduler.HandleLogChange()
}
