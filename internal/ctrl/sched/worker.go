package sched

import (
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// worker is the scheduler's view of one worker.
type worker struct {
	id          string
	pool        string
	address     string
	incarnation int64
	// sequence is the number of this incarnation's last accepted heartbeat.
	sequence uint64
	// heardMs is the uptime of its last heartbeat, and leaseEndMs the uptime by which its lease has expired on any
	// clock.
	heardMs    int64
	leaseEndMs int64
	// answeredSequence is the highest heartbeat of this incarnation that this leader has answered with its orders, and
	// lastOrderMs the uptime at which it last ordered a start.
	answeredSequence uint64
	lastOrderMs      int64
	// joinedMs is the uptime at which this leader first heard this incarnation, and firstClockMs the worker's clock in that
	// heartbeat.
	joinedMs     int64
	firstClockMs int64
	// repliesEndMs is the uptime from which no reply sent so far is obeyed any more, by this incarnation or a later one, and
	// formerRepliesEndMs that for the replies to former incarnations.
	repliesEndMs, formerRepliesEndMs int64
	// inDoubt are the attempts of ended incarnations that a later one may still begin.
	inDoubt map[attemptID]doubt
	// suspect is the suspect that it was last ordered to start; zero once that has ended.
	suspect suspectStart
	// keptFree is set while it runs a task alone, or gets no orders so that it can.
	keptFree bool
	// alone is the last task that it was ordered to run alone.
	alone batch.TaskID
	// inherited is set until this leader has received a heartbeat from it.
	inherited bool
	draining  bool
	left      bool
	// unnamedLeaveMs is the uptime of a deregistration that named no incarnation, and may be a former one's; 0 for none.
	unnamedLeaveMs int64
	// leftIncarnation is the newest incarnation that has deregistered, which may never have been heard.
	leftIncarnation int64
	// crashed is set once it was found to have crashed or restarted, and listedDown once the VM list shows its VM down.
	crashed    bool
	listedDown bool
	// vm is the name of the VM on which it was last listed; empty for none.
	vm string
	// listedUpMs is the uptime of the last request for the VM list that shows it up on its VM.
	listedUpMs int64
	capacity   batch.Resources
	labels     []string
	rack       string
	// free are the resources left after the last heartbeat and the starts assigned since.
	free batch.Resources
	// overfullMs is the uptime of its last heartbeat that listed more than its capacity.
	overfullMs int64
	// acknowledged is the number of this incarnation's last end that is recorded.
	acknowledged uint64
	// unreadRows is the number of rows that could not be read in the last heartbeat, and unreadEnded that of ended rows among
	// them. unreadRunning is that of running rows in the last heartbeat in which none of them could be an attempt that was missing.
	unreadRows, unreadRunning, unreadEnded int
	// moreEnds is set if the last heartbeat had no place for all ends.
	moreEnds bool
	// endsDropped is set once an impossible end report of this incarnation was logged.
	endsDropped bool
	// running are the attempts that the last heartbeat listed.
	running map[batch.TaskID]*attempt
	// abandoned holds, by task, the attempt that it has listed after that was given up, as long as it may still run.
	abandoned map[batch.TaskID]int
	// starting is the number of starts that are proposed and not yet applied.
	starting int
	// failures counts the attempts that failed or stalled there since the last one that was done; no tasks are
	// assigned before uptime quarantineUntilMs, and one at a time before uptime probationUntilMs.
	failures          int
	quarantineUntilMs int64
	probationUntilMs  int64
	// failedJobs are the jobs of the last failures.
	failedJobs []string
	// intervalMs is the heartbeat interval that it was last asked for, in milliseconds.
	intervalMs int64
	// share is the CPU share of its best-effort tasks, in percent.
	share int
	// reportBytes is about how many bytes are kept of its last heartbeat.
	reportBytes int64
}

// attempt is the progress of one attempt that a worker lists.
type attempt struct {
	number  int
	percent int
	// load is the tail latency in milliseconds of a long-running task, and the CPU use in millicores of any other.
	load float64
	// orderedMs is the uptime by which it had begun or its start was ordered; 0 if a former leader may have ordered it.
	orderedMs int64
	// sinceMs and progressMs are the uptimes at which it was first listed and at which its progress last changed.
	sinceMs    int64
	progressMs int64
	// share is the CPU share that it was last ordered, in percent.
	share int
}

// workerOf returns the view of a worker, new if the worker is unknown.
func (s *Scheduler) workerOf(id string) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{id: id, running: map[batch.TaskID]*attempt{}, share: fullSharePercent}
		s.workers[id] = w
	}
	return w
}

// fullSharePercent is the CPU share of a task that isn't throttled, in percent.
const fullSharePercent = 100

// rackLabel is the index of the rack among a worker's labels.
const rackLabel = 1

func rackOf(labels []string) string {
	if len(labels) <= rackLabel {
		return ""
	}
	return labels[rackLabel]
}

// takesOrders reports whether a worker may be ordered to start tasks. One that has restarted gets none while a reply to its
// former incarnation may arrive: that would acknowledge ends of its own that the leader hasn't heard of.
func (w *worker) takesOrders(now int64) bool {
	return !w.draining && !w.left && !w.inherited && now >= w.formerRepliesEndMs
}

// usable reports whether a worker takes new tasks of any kind.
func (w *worker) usable(now int64) bool {
	return w.takesOrders(now) && now >= w.quarantineUntilMs
}

// onProbation reports whether a worker on which attempts failed, and whose quarantine is over or that got none, has yet to
// finish a task: it gets one at a time.
func (w *worker) onProbation(now int64) bool {
	return now < w.probationUntilMs && w.failures >= quarantineFailures-1
}

// triesOne reports whether a worker on probation runs or starts a task that began there since the probation did.
func (w *worker) triesOne() bool {
	if w.starting > 0 {
		return true
	}
	for _, a := range w.running {
		if a.sinceMs >= w.quarantineUntilMs {
			return true
		}
	}
	return false
}

// expireLeases ends what runs on workers whose lease has expired on any clock, and forgets workers that are silent
// for long.
func (s *Scheduler) expireLeases(now int64) {
	for _, w := range s.workers {
		if w.leaseEndMs > 0 && w.leaseEndMs <= now {
			w.leaseEndMs = 0
			leaseExpiriesTotal.Inc()
			s.loseAttempts(w, w.incarnation, "lease_lapsed", goneForGood)
			s.releaseAbandoned(w)
		}
		if w.leaseEndMs == 0 && now-w.heardMs >= forgetMs {
			s.forget(w)
		}
	}
}

// forgetMs is how long after its last heartbeat a worker is remembered, in milliseconds.
const forgetMs = 15_000

// availablePercent is the progress from which a long-running task counts as available.
const availablePercent = 100

// available reports whether a long-running task is known to be available.
func (s *Scheduler) available(t *jobs.Task, id batch.TaskID) bool {
	for _, r := range t.Attempts {
		w := s.workers[r.Worker]
		if w == nil || w.draining || w.left || s.now()-w.heardMs > maxSilenceMs {
			continue
		}
		name := s.fleet.byWorker[w.id]
		if v := s.fleet.vms[name]; v != nil && (v.orderPending || v.unverifiedMs > 0 || s.fleet.maybeDownUntilMs[name] > s.now()) {
			// An order that ends it is in flight, or one of a former leader may be.
			continue
		}
		if a := w.running[id]; a != nil && a.number == r.Number && a.percent >= availablePercent {
			return true
		}
	}
	return false
}
