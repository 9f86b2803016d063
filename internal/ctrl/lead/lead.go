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
	// stepEvery is the time between planning steps.
	stepEvery = 500 * time.Millisecond
	// stepTimeout bounds one planning step with its records and operations.
	stepTimeout = 10 * time.Second
	// pace is how many times as long as it planned the leader rests, so that planning takes a fiftieth of a core.
	pace = 49
	// longestRest bounds the rest.
	longestRest = 4 * time.Second
	// seenSteps is how many steps in a row must see a VM lost or back.
	seenSteps = 2
)

// Node is the replicated state as the leader uses it.
type Node interface {
	// Submit makes a change and waits for its result.
	Submit(context.Context, record.Command) (record.Result, error)
	// Confirm returns once a quorum has confirmed this replica as the leader.
	Confirm(context.Context) error
	// View runs a function with the state for reading.
	View(context.Context, func(*state.State)) error
}

// Entries is what the entries tell the leader with their lease renewals.
type Entries interface {
	// Drained says whether no entry has, or can still start, a request on a VM.
	Drained(vm string, epoch uint64) bool
	// Reports returns the services' counts, added up over the entries; they only rise.
	Reports() []fleet.Report
}

// Platform runs the VMs.
type Platform interface {
	// Machines returns all VMs.
	Machines(context.Context) ([]fleet.Machine, error)
	// Do starts an operation, or finds out how far it is where it was started before.
	Do(context.Context, fleet.Operation) (fleet.OperationState, error)
}

// Options says what a leader works with; all fields are needed.
type Options struct {
	// Node holds the replicated state.
	Node Node
	// Entries tells of drains and requests.
	Entries Entries
	// Platform runs the VMs.
	Platform Platform
	// Clock gives the time.
	Clock clock.Clock
	// Logger takes each decision with its reason.
	Logger *zap.Logger
}

// Leader plans and drives while its node leads; one goroutine runs it.
type Leader struct {
	options     Options
	revision    uint64
	environment docs.Environment
	// seen counts the steps in a row that saw a VM lost or back.
	seen map[string]int
	// leases are the leases that the platform was told of in this term.
	leases map[string]time.Time
	// listed says whether the platform told of most VMs in this step.
	listed bool
	// next is when the leader plans again, unless an urgent job comes in.
	next time.Time
	// samples are the reports that the next ones are compared with.
	samples samples
	steps   *metrics.Summary
}

// New returns a leader that does nothing until it is run.
func New(o Options) *Leader {
	l := &Leader{options: o, steps: metrics.GetOrCreateSummary("cowslip_plan_step_seconds")}
	l.forget()
	return l
}

// Run plans until the context ends.
func (l *Leader) Run(ctx context.Context) error {
	ticker := l.options.Clock.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			if l.options.Clock.Now().Before(l.next) && !l.urgent(ctx) {
				continue
			}
			if err := l.Step(ctx); err != nil && ctx.Err() == nil {
				l.options.Logger.Warn("plan_step_failed", zap.String("error", err.Error()))
			}
		}
	}
}

// Step observes, plans and drives once; it does nothing on a replica that doesn't lead.
func (l *Leader) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := l.options.Node.Confirm(ctx); errors.Is(err, quorum.ErrNotLeader) {
		l.forget()
		return nil
	} else if err != nil {
		return errors.Wrap(err, "confirm")
	}
	s, err := l.situation(ctx)
	if err != nil || l.revision == 0 {
		return err
	}
	began := s.Now
	observed := l.observe(s)
	for name, d := range l.samples.demands {
		s.Demands[name] = d
	}
	actions := append(Decide(s), observed...)
	planned := l.options.Clock.Now()
	l.steps.Update(planned.Sub(began).Seconds())
	l.next = planned.Add(min(pace*planned.Sub(began), longestRest))
	for _, a := range actions {
		if err := l.submit(ctx, a); err != nil {
			return err
		}
	}
	if err := l.driveJobs(ctx, s); err != nil {
		return err
	}
	return l.drive(ctx, s)
}

// urgent says whether an urgent job waits to be started.
func (l *Leader) urgent(ctx context.Context) bool {
	waits := false
	look := func(st *state.State) {
		for _, j := range st.Jobs {
			waits = waits || (j.Urgent && j.Phase == fleet.JobWaiting)
		}
	}
	return l.options.Node.View(ctx, look) == nil && waits
}

// situation copies the state and asks the platform for its VMs.
func (l *Leader) situation(ctx context.Context) (Situation, error) {
	machines, err := l.options.Platform.Machines(ctx)
	if err != nil {
		return Situation{}, errors.Wrap(err, "read the platform's VMs")
	}
	var c copied
	if err := l.options.Node.View(ctx, func(st *state.State) { take(st, &c) }); err != nil {
		return Situation{}, errors.Wrap(err, "read the state")
	}
	if c.revision != l.revision {
		environment, err := docs.Parse("document in force", c.text)
		if err != nil {
			return Situation{}, errors.Wrap(err, "read the document in force")
		}
		l.environment, l.revision = environment, c.revision
	}
	s := c.situation(l.options.Clock.Now(), l.environment)
	s.Machines = make(map[string]fleet.Machine, len(machines))
	for _, m := range machines {
		s.Machines[m.Name] = m
	}
	return s, nil
}

// forget drops what was seen as the leader; a new term starts anew.
func (l *Leader) forget() {
	l.seen, l.samples, l.leases = map[string]int{}, samples{}, map[string]time.Time{}
}
