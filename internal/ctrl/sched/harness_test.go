package sched_test

import (
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/pools"
)

// fakeLog applies proposals to the batch state when the script commits them.
type fakeLog struct {
	batch         *jobs.StateMachine
	leads         bool
	term          uint64
	paused        bool
	busy          bool
	proposals     []func()
	confirmations []func(error)
	wallMs        func() int64
}

func (l *fakeLog) Leads() (bool, uint64)     { return l.leads, l.term }
func (l *fakeLog) Batch() *jobs.StateMachine { return l.batch }

func (l *fakeLog) ProposeNow(c record.Command, done func(error)) error {
	if l.busy {
		return quorum.ErrBusy
	}
	l.proposals = append(l.proposals, func() {
		l.batch.Apply(c.Batch, l.wallMs())
		done(nil)
	})
	return nil
}

func (l *fakeLog) ConfirmNow(done func(error)) error {
	if !l.leads {
		return quorum.ErrNotLeader
	}
	l.confirmations = append(l.confirmations, done)
	return nil
}

// commitAll applies what was proposed and confirms what was asked, until nothing is left.
func (l *fakeLog) commitAll() {
	for !l.paused && len(l.proposals)+len(l.confirmations) > 0 {
		confirmations := l.confirmations
		l.confirmations = nil
		l.commitRecords()
		for _, confirm := range confirmations {
			confirm(nil)
		}
	}
}

// commitRecords applies what was proposed so far, and nothing that is proposed because of it.
func (l *fakeLog) commitRecords() {
	proposals := l.proposals
	l.proposals = nil
	for _, apply := range proposals {
		apply()
	}
}

// answerConfirmations confirms what was asked so far, and nothing that is asked because of it.
func (l *fakeLog) answerConfirmations() {
	confirmations := l.confirmations
	l.confirmations = nil
	for _, confirm := range confirmations {
		confirm(nil)
	}
}

// failConfirmations fails what was asked so far, as the log does when its replica loses the leadership.
func (l *fakeLog) failConfirmations() {
	confirmations := l.confirmations
	l.confirmations = nil
	for _, confirm := range confirmations {
		confirm(node.ErrUnknown)
	}
}

// uptime is a monotonic clock that the script advances.
type uptime struct{ ms int64 }

func (u *uptime) Milliseconds() int64 { return u.ms }

// platformLimits are those of the platform in the tests.
var platformLimits = sched.PlatformLimits{
	LeaseMaxMs: 6000, GangMs: 3000, StopMs: 900, MoveMs: 1500, MaintenanceMs: 2000, HolderLockMs: 3000, MaxOrdersPerS: 64,
}

// harness is a scheduler with fakes of everything that it depends on.
type harness struct {
	log             *fakeLog
	uptime          *uptime
	clock           *clock.Manual
	scheduler       *sched.Scheduler
	orders          []sched.Order
	replies         []string
	sequence        map[string]uint64
	hasEnoughVoters bool
	// queuedMs is how long calls have waited for the control loop when they are handled.
	queuedMs int64
	planner  sched.PoolPlanner
	logger   *zap.Logger
	// jobMemoryBytes is the memory for jobs.
	jobMemoryBytes int64
	// reportMemoryBytes is the memory for heartbeats of workers that are on no VM of the list.
	reportMemoryBytes int64
}

func newHarness() *harness {
	return newLoggedHarness(zap.NewNop())
}

func newLoggedHarness(logger *zap.Logger) *harness {
	h := &harness{
		uptime: &uptime{ms: 100_000}, clock: clock.NewManual(time.Unix(1_000, 0)), sequence: map[string]uint64{}, hasEnoughVoters: true,
		planner: pools.Planner{}, logger: logger, jobMemoryBytes: 1 << 40, reportMemoryBytes: 1 << 40,
	}
	h.log = &fakeLog{batch: jobs.New(), wallMs: func() int64 { return h.clock.Now().UnixMilli() }}
	h.start("leader-a")
	return h
}

// start creates a scheduler for a process of the given name on the present batch state, as the leader of the next
// term.
func (h *harness) start(processName string) {
	h.scheduler = sched.New(sched.Options{
		Log: h.log, Clock: h.clock, Uptime: h.uptime, Logger: h.logger, ProcessName: processName, ControlAddress: processName + ":1",
		PlatformLimits: platformLimits,
		JobMemoryBytes: h.jobMemoryBytes, ReportMemoryBytes: h.reportMemoryBytes,
		HasEnoughVoters: func() bool { return h.hasEnoughVoters },
		PoolPlanner:     h.planner,
		Members: func() []batch.MemberView {
			return []batch.MemberView{{Name: processName, Role: "leader", RecentlyHeard: true, CaughtUp: true}}
		},
		SendOrder: func(o sched.Order) bool {
			h.orders = append(h.orders, o)
			return true
		},
	})
	h.log.term++
	h.log.leads = true
	h.scheduler.HandleLogChange()
	h.log.commitAll()
}

// call makes a call and records its reply once it arrives.
func (h *harness) call(name string, c *batch.Call) {
	h.scheduler.Call(c, h.uptime.ms-h.queuedMs, func(r batch.Reply) { h.replies = append(h.replies, name+": "+describe(r)) })
	h.log.commitAll()
}
