package lead

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

const (
	// stepInterval is the time between the ticks on which a step may run.
	stepInterval = 500 * time.Millisecond
	// stepTimeout bounds one step with its commands and operations.
	stepTimeout = 10 * time.Second
	// restFactor is the ratio of the rest after a plan to the time that planning took. It limits planning to 1/50 of a
	// core.
	restFactor = 49
	// maxRest bounds the rest after a plan.
	maxRest = 4 * time.Second
	// healthSteps is how many consecutive steps must observe that a VM is lost or has returned before it is recorded.
	healthSteps = 2
)

// Node gives the leader access to the replicated state.
type Node interface {
	// Submit proposes a command and waits for its result.
	Submit(context.Context, record.Command) (record.Result, error)
	// Confirm returns once a quorum has confirmed this replica as the leader.
	Confirm(context.Context) error
	// View runs a function on the state, which the function only reads.
	View(context.Context, func(*state.State)) error
}

// Entries provides what the entries report with their lease renewals.
type Entries interface {
	// Drained reports whether no entry has a request in progress on the VM or can start one under the epoch.
	Drained(vm string, epoch uint64) bool
	// Reports returns each service's request counts, summed over the entries; its counters never decrease.
	Reports() []fleet.ServiceReport
}

// Platform runs the VMs.
type Platform interface {
	// VMs returns all VMs.
	VMs(context.Context) ([]fleet.PlatformVM, error)
	// Do starts an operation and returns its state; if the same operation was started before, it only returns its state.
	Do(context.Context, fleet.Operation) (fleet.OperationState, error)
}

// Options holds the dependencies of a Leader; all fields are required.
type Options struct {
	// Node holds the replicated state.
	Node Node
	// Entries reports drains and request counts.
	Entries Entries
	// Platform runs the VMs.
	Platform Platform
	// Clock gives the time.
	Clock clock.Clock
	// Logger logs each decision with its reason.
	Logger *zap.Logger
}

// Leader plans and reconciles while its node leads; only one goroutine may use it.
type Leader struct {
	options     Options
	revision    uint64
	environment docs.Environment
	// observedSteps counts, by VM, the consecutive steps that observed its loss or its return.
	observedSteps map[string]int
	// leases holds, by job, the end of the lease that this leader last sent to the platform in this term.
	leases map[string]time.Time
	// mostListed is true if the platform lists more than half of the VMs in this step.
	mostListed bool
	// nextStep is when the leader plans again, unless an urgent job arrives.
	nextStep time.Time
	// samples holds the earlier reports that new ones are compared with.
	samples     samples
	stepSeconds *metrics.Summary
}

// New returns a leader; it does nothing until Run or Step is called.
func New(o Options) *Leader {
	l := &Leader{options: o, stepSeconds: metrics.GetOrCreateSummary("cowslip_plan_step_seconds")}
	l.reset()
	return l
}

// Run takes steps until the context ends.
func (l *Leader) Run(ctx context.Context) error {
	ticker := l.options.Clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			if l.options.Clock.Now().Before(l.nextStep) && !l.urgentJobWaits(ctx) {
				continue
			}
			if err := l.Step(ctx); err != nil && ctx.Err() == nil {
				l.options.Logger.Warn("plan_step_failed", zap.String("error", err.Error()))
			}
		}
	}
}

// Step observes, plans and reconciles once; on a replica that doesn't lead it does nothing.
func (l *Leader) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := l.options.Node.Confirm(ctx); errors.Is(err, quorum.ErrNotLeader) {
		l.reset()
		return nil
	} else if err != nil {
		return errors.Wrap(err, "confirm")
	}
	in, err := l.readStepInput(ctx)
	if err != nil || l.revision == 0 {
		return err
	}
	started := in.Now
	observed := l.observe(in)
	for name, d := range l.samples.demands {
		in.Demands[name] = d
	}
	actions := append(Decide(in), observed...)
	planned := l.options.Clock.Now()
	l.stepSeconds.Update(planned.Sub(started).Seconds())
	l.nextStep = planned.Add(min(restFactor*planned.Sub(started), maxRest))
	for _, a := range actions {
		if err := l.submit(ctx, a); err != nil {
			return err
		}
	}
	if err := l.reconcileJobs(ctx, in); err != nil {
		return err
	}
	return l.reconcileVMs(ctx, in)
}

// urgentJobWaits reports whether an urgent job waits to be placed.
func (l *Leader) urgentJobWaits(ctx context.Context) bool {
	waits := false
	read := func(st *state.State) {
		for _, j := range st.Jobs {
			waits = waits || (j.Urgent && j.Phase == fleet.JobWaiting)
		}
	}
	return l.options.Node.View(ctx, read) == nil && waits
}

// readStepInput copies the replicated state and reads the platform's VMs.
func (l *Leader) readStepInput(ctx context.Context) (Input, error) {
	vms, err := l.options.Platform.VMs(ctx)
	if err != nil {
		return Input{}, errors.Wrap(err, "read the platform's VMs")
	}
	var c stateCopy
	if err := l.options.Node.View(ctx, func(st *state.State) { copyState(st, &c) }); err != nil {
		return Input{}, errors.Wrap(err, "read the state")
	}
	if c.revision != l.revision {
		environment, err := docs.Parse("document in force", c.text)
		if err != nil {
			return Input{}, errors.Wrap(err, "read the document in force")
		}
		l.environment, l.revision = environment, c.revision
	}
	in := c.inputAt(l.options.Clock.Now(), l.environment)
	in.PlatformVMs = make(map[string]fleet.PlatformVM, len(vms))
	for _, m := range vms {
		in.PlatformVMs[m.Name] = m
	}
	return in, nil
}

// reset discards what was observed as the leader, so that a new term starts without it.
func (l *Leader) reset() {
	l.observedSteps, l.samples, l.leases = map[string]int{}, samples{}, map[string]time.Time{}
}
