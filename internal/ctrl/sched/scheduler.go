package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
)

// Log is the replicated log, as it is used on the control loop.
type Log interface {
	// Leads says whether this process leads, and in which term.
	Leads() (bool, uint64)
	// Book returns the batch work that the log has built.
	Book() *jobs.Book
	// ProposeNow adds a record; done is called once it is applied or lost.
	ProposeNow(c record.Command, done func(error)) error
	// ConfirmNow asks a quorum whether this process still leads.
	ConfirmNow(done func(error)) error
}

// Options says what a scheduler works with; all fields are needed.
type Options struct {
	// Log is the replicated log.
	Log Log
	// Clock gives the wall clock.
	Clock clock.Clock
	// Uptime gives the time that leases count by.
	Uptime clock.Uptime
	// Logger takes the scheduler's decisions.
	Logger *zap.Logger
	// Holder names this process in orders to the platform.
	Holder string
	// Control is this process's control address, for workers.
	Control string
	// Bounds are the platform's times and limits.
	Bounds Bounds
	// Enough says whether enough replicas vote for a new system to take anything on.
	Enough func() bool
	// Members returns the replicas of the log, for operators.
	Members func() []batch.MemberView
	// Orders takes what is to be asked of the platform; it returns false where too many wait.
	Orders func(Order) bool
}

// Bounds are the platform's times and limits.
type Bounds struct {
	// LeaseMaxMs is the longest lease of a worker, in milliseconds.
	LeaseMaxMs int64
	// GangMs is how long a member of a gang waits for the others, in milliseconds.
	GangMs int64
	// StopMs is how long a worker may take to stop a task, in milliseconds.
	StopMs int64
	// MoveMs and UpkeepMs are how long a VM is away for a move and for maintenance, in milliseconds.
	MoveMs, UpkeepMs int64
	// HolderMs is how long the platform keeps an order's holder apart from the next one, in milliseconds.
	HolderMs int64
	// OrdersPerS bounds moves and maintenance a second, over all processes.
	OrdersPerS float64
}

// Scheduler is the leader's control of batch work; its methods must be called on the control loop.
type Scheduler struct {
	options Options
	// active says that this process leads and has applied all that former leaders committed.
	active bool
	term   uint64
	// activeMs is when it became active, by uptime.
	activeMs int64
	// stopsMs is until when stops of former leaders may still be obeyed, by uptime.
	stopsMs int64
	// strays are tasks of which a worker lists an attempt that was given up: until when none is started, by uptime.
	strays map[batch.TaskID]int64
	// stopping are attempts of lasting tasks that are moved to another VM.
	stopping map[batch.TaskID]int

	commits commits
	fresh   freshness
	workers map[string]*worker
	// addresses are the workers that were last heard of at an address.
	addresses map[string]string
	queues    map[string]*poolQueue
	jobs      map[string]*work
	// starting are tasks whose start is proposed and not yet applied.
	starting map[batch.TaskID]bool
	// startingOn are the workers of these tasks.
	startingOn map[batch.TaskID]string
	gangs      map[gangKey]*gang
	fleet      fleetView
	tickets    tickets
	learned    learned
}

// New returns a scheduler that waits for its process to lead.
func New(o Options) *Scheduler {
	e := &Scheduler{options: o}
	e.reset()
	return e
}

func (e *Scheduler) reset() {
	e.active, e.stopsMs = false, 0
	e.workers, e.addresses = map[string]*worker{}, map[string]string{}
	e.queues, e.jobs = map[string]*poolQueue{}, map[string]*work{}
	e.stopping, e.strays = map[batch.TaskID]int{}, map[batch.TaskID]int64{}
	e.starting, e.startingOn, e.gangs = map[batch.TaskID]bool{}, map[batch.TaskID]string{}, map[gangKey]*gang{}
	e.fleet, e.tickets = newFleetView(), newTickets()
	e.learned = learned{scale: map[batch.QueueKey]*mean{}, work: map[batch.QueueKey]*mean{}}
}

// Active says whether the scheduler takes calls.
func (e *Scheduler) Active() bool {
	return e.active
}

// Watch takes notice of what the log has done: a change of the leadership, or applied records.
func (e *Scheduler) Watch() {
	leads, term := e.options.Log.Leads()
	if e.term != term || !leads {
		if e.active || e.fresh.asking {
			e.depose(term)
		}
		e.term = term
	}
	if leads && !e.active && !e.fresh.asking {
		e.seekConfirmation()
	}
	if e.active {
		e.absorb()
	}
}

// depose gives up what waits; the next leader decides.
func (e *Scheduler) depose(term uint64) {
	e.options.Logger.Info("control_lost", zap.Uint64("term", e.term), zap.Uint64("next_term", term),
		zap.Int("waiting", len(e.commits.waiting)+len(e.fresh.waiting)))
	waiting, unconfirmed := e.commits.waiting, e.fresh.waiting
	e.commits, e.fresh = commits{}, freshness{}
	e.reset()
	for _, done := range waiting {
		done(false)
	}
	for _, done := range unconfirmed {
		done(false)
	}
}

// activate begins control once a quorum has confirmed the leadership: all that was committed before is applied by then.
func (e *Scheduler) activate() {
	e.active = true
	e.activeMs = e.now()
	book := e.options.Log.Book()
	for vm, o := range book.State().Ordered {
		// The order may be under way still; maintenance begins when it arrives.
		e.fleet.maybeDown[vm] = e.activeMs + e.options.Bounds.UpkeepMs + milli - (book.State().LedMs - o.AtMs)
		if o.Holder != e.options.Holder {
			// The platform keeps holders apart; how long ago the order was is known at least so far.
			e.fleet.notBefore[vm] = e.activeMs + e.options.Bounds.HolderMs - (book.State().LedMs - o.AtMs)
		}
	}
	book.Touched()
	for id := range book.Jobs() {
		e.touch(id)
	}
	for _, id := range book.Workers() {
		e.inherit(id)
		e.stopsMs = e.activeMs + answeredMs + e.options.Bounds.StopMs
	}
	e.options.Logger.Info("control_taken", zap.Uint64("term", e.term), zap.Int("jobs", len(book.Jobs())),
		zap.Int("workers_with_tasks", len(e.workers)), zap.Uint64("configuration", book.State().Configuration.Version))
}

// inherit takes over a worker with attempts that a former leader ordered.
func (e *Scheduler) inherit(id string) {
	w := e.worker(id)
	w.inherited, w.heardMs = true, e.activeMs
	// Any former leader granted this lease at the most, on a confirmation that was this old at the most.
	w.lapseMs = e.activeMs + withDrift(e.lease()) + freshMs
	for task := range e.options.Log.Book().RunsOn(id) {
		_, t := e.find(task)
		for _, r := range t.Runs {
			switch {
			case r.Worker != id || r.Incarnation < w.incarnation:
			case r.Incarnation > w.incarnation:
				w.incarnation, w.sequence = r.Incarnation, r.Sequence
			default:
				// Heartbeats up to this one were sent before the worker knew of the attempt.
				w.sequence = max(w.sequence, r.Sequence)
			}
		}
	}
}

// absorb takes over what the log has applied.
func (e *Scheduler) absorb() {
	for _, id := range e.options.Log.Book().Touched() {
		e.touch(id)
	}
}

// Tick does what is due by time; it is called every TickMs.
func (e *Scheduler) Tick() {
	leads, _ := e.options.Log.Leads()
	if !leads || !e.active {
		return
	}
	now := e.now()
	if now-e.fresh.confirmedMs > freshMs/2 {
		e.seekConfirmation()
	}
	e.lapse(now)
	e.forgetStrays(now)
	e.openDue()
	e.planGangs(now)
	e.steerFleet(now)
	e.flush()
}

func (e *Scheduler) now() int64 {
	return e.options.Uptime.Milliseconds()
}

func (e *Scheduler) wall() int64 {
	return e.options.Clock.Now().UnixMilli()
}

// lease returns the lease that workers get, in milliseconds.
func (e *Scheduler) lease() int64 {
	return min(leaseMs, e.options.Bounds.LeaseMaxMs)
}

// withDrift returns how long a lease may last by a worker's clock that is slow.
func withDrift(leaseMs int64) int64 {
	return leaseMs + leaseMs*driftPercent/100 + driftMarginMs
}
