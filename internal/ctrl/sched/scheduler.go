package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/acct"
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
)

// Log is the part of the replicated log that the scheduler uses; its methods are called on the control loop.
type Log interface {
	// Leads reports whether this process is the leader, and the current term.
	Leads() (bool, uint64)
	// Batch returns the batch state that the applied log entries have built.
	Batch() *jobs.StateMachine
	// ProposeNow proposes a command; done is called once it is applied or lost.
	ProposeNow(c record.Command, done func(error)) error
	// ConfirmNow asks a quorum whether this process still leads.
	ConfirmNow(done func(error)) error
}

// Options are the dependencies and settings of a scheduler; all fields are required.
type Options struct {
	// Log is the replicated log.
	Log Log
	// Clock is the wall clock.
	Clock clock.Clock
	// Uptime is the monotonic time that leases are measured by.
	Uptime clock.Uptime
	// Logger records the scheduler's decisions.
	Logger *zap.Logger
	// ProcessName is this process's name in orders to the platform.
	ProcessName string
	// ControlAddress is this process's control address, given to workers.
	ControlAddress string
	// PlatformLimits are the platform's durations and limits.
	PlatformLimits PlatformLimits
	// JobMemoryBytes is the memory that the stored jobs may take, by the estimate of package jobs.
	JobMemoryBytes int64
	// ReportMemoryBytes is the memory that the last heartbeats of all workers may take for one to be heard that is on no VM of the list.
	ReportMemoryBytes int64
	// HasEnoughVoters reports whether enough replicas vote for a system without a configuration to accept calls.
	HasEnoughVoters func() bool
	// Members returns the replicas of the log, for inspection by operators.
	Members func() []batch.MemberView
	// PoolPlanner decides which VMs move to another pool.
	PoolPlanner PoolPlanner
	// SendOrder queues a request to the platform; it returns false when too many are queued.
	SendOrder func(Order) bool
}

// PlatformLimits are the platform's durations and limits.
type PlatformLimits struct {
	// LeaseMaxMs is the longest lease of a worker, in milliseconds.
	LeaseMaxMs int64
	// GangMs is how long a gang member waits for the other members, in milliseconds.
	GangMs int64
	// StopMs is how long a worker may take to stop a task, in milliseconds.
	StopMs int64
	// MoveMs and MaintenanceMs are how long a VM is unavailable during a move and during maintenance, in milliseconds.
	MoveMs, MaintenanceMs int64
	// HolderLockMs is how long after an order for a VM the platform accepts none from another holder, in milliseconds.
	HolderLockMs int64
	// MaxOrdersPerS limits moves and maintenance orders per second, over all processes.
	MaxOrdersPerS float64
}

// Scheduler is the leader's batch scheduler; its methods must be called on the control loop.
type Scheduler struct {
	options Options
	// active is set while this process leads and has applied everything that former leaders committed.
	active bool
	term   uint64
	// activeSinceMs is the uptime at which it became active, and tookOver is set if another leader was active before.
	activeSinceMs int64
	tookOver      bool
	// formerStopsUntilMs is the uptime until which a worker may still obey a stop that a former leader ordered.
	formerStopsUntilMs int64
	// abandoned counts, by task, the workers that may still run an attempt of it that was given up; no attempt of it starts until
	// none may.
	abandoned map[batch.TaskID]int
	// stopping holds, by task, the attempt of a long-running task that is being stopped to restart on another VM.
	stopping map[batch.TaskID]int

	// accounts are the client accounts of the configuration in force.
	accounts *acct.Accounts
	// refusals are the jobs that were refused for want of room.
	refusals *acct.Refusals
	// submitting holds, by identity, the new jobs whose record is proposed and not yet applied.
	submitting map[string]*jobRecord
	// submittingBytes is the memory that these jobs take.
	submittingBytes proposedBytes
	// burials are the cancels of unknown jobs that wait until they are recorded.
	burials *burials

	// ordered are the orders to workers that aren't logged yet.
	ordered []string

	proposals  proposals
	leadership leadership
	workers    map[string]*worker
	// workerByAddress holds the identity of the worker last heard at each address.
	workerByAddress map[string]string
	// reportBytes is about how many bytes are kept of the workers' last heartbeats.
	reportBytes int64
	queues      map[string]*poolQueue
	jobs        map[string]*activeJob
	// gangJobs are the jobs with gangs, and scheduledJobs those with an occurrence that is still to become due.
	gangJobs, scheduledJobs map[string]*activeJob
	// configurationVersion is that of the configuration that the view of the jobs is based on.
	configurationVersion uint64
	// starting holds the tasks whose start is proposed and not yet applied.
	starting map[batch.TaskID]bool
	// startingWorker holds the workers of these tasks.
	startingWorker map[batch.TaskID]string
	gangs          map[stepKey]*gangPlan
	fleet          fleetView
	permits        permits
	estimates      estimates
	// unexplainedMs holds, by address, the uptimes of recent crashes for which no task was given up.
	unexplainedMs map[string][]int64
	// crashedMs holds, by pool, the uptime at which a worker was last found to have crashed.
	crashedMs map[string]int64
	// countedPools are the pools whose waiting jobs were last counted for the metrics, at the uptime waitingCountedMs.
	countedPools     []string
	waitingCountedMs int64
	// countedAccounts are the accounts that the metrics were last set for.
	countedAccounts []string
}

// New returns a scheduler that is inactive until its process leads.
func New(o Options) *Scheduler {
	s := &Scheduler{options: o}
	s.reset()
	return s
}

func (s *Scheduler) reset() {
	clearWaitingGauges(s.countedPools)
	s.countedPools = nil
	clearAccountGauges(s.countedAccounts)
	s.countedAccounts = nil
	s.active, s.formerStopsUntilMs = false, 0
	s.workers, s.workerByAddress = map[string]*worker{}, map[string]string{}
	s.queues, s.jobs = map[string]*poolQueue{}, map[string]*activeJob{}
	s.gangJobs, s.scheduledJobs = map[string]*activeJob{}, map[string]*activeJob{}
	s.stopping, s.abandoned = map[batch.TaskID]int{}, map[batch.TaskID]int{}
	s.starting, s.startingWorker, s.gangs = map[batch.TaskID]bool{}, map[batch.TaskID]string{}, map[stepKey]*gangPlan{}
	s.fleet, s.permits, s.unexplainedMs = newFleetView(), newPermits(), map[string][]int64{}
	s.crashedMs, s.submitting, s.accounts = map[string]int64{}, map[string]*jobRecord{}, acct.New(s.options.Log.Batch())
	s.refusals, s.burials = acct.NewRefusals(), newBurials()
	s.reportBytes = 0
	s.submittingBytes = proposedBytes{byAccount: map[string]int64{}}
	s.estimates = estimates{scale: map[batch.QueueKey]*mean{}, work: map[batch.QueueKey]*mean{}}
}

// Active reports whether the scheduler accepts calls.
func (s *Scheduler) Active() bool {
	return s.active
}

// HandleLogChange handles progress of the log: a change of leadership, or newly applied entries.
func (s *Scheduler) HandleLogChange() {
	leads, term := s.options.Log.Leads()
	if s.term != term || !leads {
		if s.active || s.leadership.confirming {
			s.stepDown(term)
		}
		s.term = term
	}
	if leads && !s.active && !s.leadership.confirming {
		s.confirmLeadership()
	}
	if s.active {
		s.refreshChangedJobs()
	}
}

// stepDown fails all waiting calls and drops the scheduler's state; the next leader decides anew.
func (s *Scheduler) stepDown(term uint64) {
	s.flushOrdered()
	s.options.Logger.Info("control_lost", zap.Uint64("term", s.term), zap.Uint64("next_term", term),
		zap.Int("waiting", len(s.proposals.waiting)+len(s.leadership.waiting)+len(s.leadership.late)))
	waiting, unconfirmed := s.proposals.waiting, append(s.leadership.waiting, s.leadership.late...)
	s.proposals, s.leadership = proposals{}, leadership{}
	s.reset()
	for _, done := range waiting {
		done(false)
	}
	for _, done := range unconfirmed {
		done(false)
	}
}

// activate starts scheduling once a quorum has confirmed the leadership: by then everything committed before is
// applied.
func (s *Scheduler) activate() {
	s.active = true
	s.activeSinceMs = s.now()
	machine := s.options.Log.Batch()
	s.tookOver = machine.State().Leader.Name != ""
	for vm, o := range machine.State().VMOrders {
		// The order may still be in progress; maintenance begins when it arrives.
		s.fleet.maybeDownUntilMs[vm] = s.activeSinceMs + s.options.PlatformLimits.MaintenanceMs + milli - (machine.State().LeaderTimeMs - o.LeaderTimeMs)
		if o.Holder != s.options.ProcessName {
			// The platform rejects another holder's order for a while; at least this much of that time has passed.
			s.fleet.orderNotBeforeMs[vm] = s.activeSinceMs + s.options.PlatformLimits.HolderLockMs - (machine.State().LeaderTimeMs - o.LeaderTimeMs)
		}
	}
	machine.TakeChanged()
	s.configurationVersion = machine.State().Configuration.Version
	for id := range machine.Jobs() {
		s.refreshJob(id)
	}
	for _, id := range machine.Workers() {
		s.adoptWorker(id)
		s.formerStopsUntilMs = s.activeSinceMs + replyValidMs + s.options.PlatformLimits.StopMs
	}
	s.options.Logger.Info("control_taken", zap.Uint64("term", s.term), zap.Int("jobs", len(machine.Jobs())),
		zap.Int("workers_with_tasks", len(s.workers)), zap.Uint64("configuration", machine.State().Configuration.Version))
}

// adoptWorker takes over a worker with attempts that a former leader started.
func (s *Scheduler) adoptWorker(id string) {
	w := s.workerOf(id)
	w.inherited, w.heardMs = true, s.activeSinceMs
	// Upper bound of any lease that a former leader granted, on the oldest confirmation it may have used.
	w.leaseEndMs = s.activeSinceMs + withClockDrift(s.workerLeaseMs()) + formerConfirmationMs
	w.repliesEndMs = s.activeSinceMs + formerConfirmationMs + replyWindowMs
	for task := range s.options.Log.Batch().TasksOn(id) {
		_, t := s.findTask(task)
		for _, r := range t.Attempts {
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
	s.adoptDoubts(w)
}

// refreshChangedJobs updates the scheduler's view of the jobs that applied log entries have changed, by themselves or
// with the configuration.
func (s *Scheduler) refreshChangedJobs() {
	for _, id := range s.options.Log.Batch().TakeChanged() {
		s.refreshJob(id)
	}
	if version := s.currentConfiguration().Version; version != s.configurationVersion {
		s.configurationVersion = version
		s.reconfigureJobs()
	}
}

// reconfigureJobs moves jobs whose queue has another pool now, and renews what orders the others.
func (s *Scheduler) reconfigureJobs() {
	for id, job := range s.jobs {
		if job.pool != s.poolOf(job.state) {
			s.options.Logger.Info("job_pool_changed", zap.String("job", id), zap.String("pool", s.poolOf(job.state)),
				zap.String("former", job.pool), zap.Uint64("configuration", s.configurationVersion))
			s.refreshJob(id)
		} else {
			s.setOrderInputs(job)
		}
	}
}

// Tick performs the periodic work; it must be called every TickMs.
func (s *Scheduler) Tick() {
	s.flushOrdered()
	leads, _ := s.options.Log.Leads()
	if !leads || !s.active {
		return
	}
	now := s.now()
	s.confirmLate()
	s.expireLeases(now)
	s.awaitSettling(now)
	s.openDueOccurrences()
	s.planGangs(now)
	s.manageFleet(now)
	s.observeWaitingJobs(now)
	s.flush()
}

func (s *Scheduler) now() int64 {
	return s.options.Uptime.Milliseconds()
}

func (s *Scheduler) wallMs() int64 {
	return s.options.Clock.Now().UnixMilli()
}

// workerLeaseMs returns the lease that workers are granted, in milliseconds.
func (s *Scheduler) workerLeaseMs() int64 {
	return min(leaseMs, s.options.PlatformLimits.LeaseMaxMs)
}

// withClockDrift returns the longest time that a lease may last on a worker with a slow clock.
func withClockDrift(leaseMs int64) int64 {
	return leaseMs + leaseMs*driftPercent/100 + driftMarginMs
}
