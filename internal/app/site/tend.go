package site

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/sched"
)

// tendPause spaces looks at the members.
const tendPause = 100 * time.Millisecond

// tender runs what the leader does by time.
type tender struct {
	loop   *loop.Loop
	clock  clock.Clock
	uptime clock.Uptime
	node   *node.Node
	engine *sched.Scheduler
	roster *member.Membership
	losses int
	logger *zap.Logger
	// changing says that a change of the members is under way.
	changing bool
}

// Run ticks the engine and tends the members until the context ends.
func (t *tender) Run(ctx context.Context) error {
	ticker := t.clock.NewTicker(sched.TickMs * time.Millisecond)
	defer ticker.Stop()
	tended := t.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			now := t.clock.Now()
			tend := now.Sub(tended) >= tendPause || now.Before(tended)
			if tend {
				tended = now
			}
			if err := t.loop.Post(ctx, func() { t.tick(tend) }); err != nil {
				return nil
			}
		}
	}
}

func (t *tender) tick(tend bool) {
	t.engine.Tick()
	leads, _ := t.node.Leads()
	if !tend || !leads || t.changing || !t.engine.Active() {
		return
	}
	change, ok := t.roster.NextChange(t.node.MemberStatusesNow(), t.losses, t.uptime.Milliseconds())
	if !ok {
		return
	}
	t.changing = true
	t.logger.Info("members_changing", zap.Stringer("change", change.Kind), zap.String("name", change.Member.Name),
		zap.Uint64("identity", uint64(change.Member.ID)))
	t.change(change)
}

func (t *tender) change(c quorum.Change) {
	err := t.node.ChangeNow(c, func(err error) {
		t.changing = false
		if err != nil {
			t.logger.Info("members_not_changed", zap.String("name", c.Member.Name), zap.Error(err))
		}
	})
	if err != nil {
		t.changing = false
		t.logger.Info("members_not_changed", zap.String("name", c.Member.Name), zap.Error(err))
	}
}

// watch takes notice of what the log has done.
func (t *tender) watch() {
	_, term := t.node.Leads()
	if name := t.node.LeaderName(); name != "" {
		t.roster.SetLeader(name, term)
	}
	t.engine.HandleLogChange()
}
