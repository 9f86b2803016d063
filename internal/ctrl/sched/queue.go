package sched

import (
	"slices"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/order"
	"cowslipstack/internal/plan/pools"
)

// activeJob is the scheduler's view of a job that hasn't ended.
type activeJob struct {
	state *jobs.Job
	// pool is the pool that runs it; queued is set while the job stands in the pool's order.
	pool   string
	queued bool
	// waiting is set until a worker has begun a task of the job.
	waiting bool
	item    order.Item
	// ready are the tasks that could start now, except those of gangs.
	ready []batch.TaskID
	// suspects are the tasks that could start under which a worker has crashed, and onTrial those that have started since or
	// whose attempt is in doubt; none of them is in ready, nor of a gang.
	suspects, onTrial []batch.TaskID
	// alone are the tasks that could start where nothing else can be the cause of a crash; none of them is in the lists above.
	alone []batch.TaskID
	// unplacedSinceMs holds, for the tasks that last and wait for a worker, the uptime since which they do.
	unplacedSinceMs map[batch.TaskID]int64
	// longestSinceMs is the earliest of these, and unplacedNeed a lower bound of what each of them reserves.
	longestSinceMs int64
	unplacedNeed   batch.Resources
	// spared counts, by task, the crashes of its workers that weren't counted because others crashed together with them.
	spared map[batch.TaskID]int
	// crashedAt holds, for tasks that last, the addresses of the workers whose crashes were counted against them.
	crashedAt map[batch.TaskID][]string
	// leastNeed is a lower bound of what a ready task reserves, in each dimension.
	leastNeed batch.Resources
	// copyable are the tasks with a single attempt, of which a speculative copy may run.
	copyable []batch.TaskID
	// readyResources and runningResources are what ready and started tasks reserve, nextResources what the tasks of
	// the steps that open after those will reserve.
	readyResources, runningResources, nextResources pools.Resources
	// readyAccelerators are the accelerators that ready tasks reserve.
	readyAccelerators int64
	// minVMs is the number of VMs needed by tasks of which only a limited number may share a worker.
	minVMs int
	// criticalPathMs is the longest remaining chain of dependent steps, and objectiveMs the time from acceptance to
	// its SLO.
	criticalPathMs int64
	objectiveMs    int64
	// allRunningMs is the uptime since which all tasks of the open steps run, 0 while some wait, and openTaskMs the longest
	// estimate of these tasks.
	allRunningMs, openTaskMs int64
	// sinceMs is when the time to its SLO began: its acceptance, or the due time of its first occurrence that isn't done, in
	// Unix milliseconds; 0 while none is due.
	sinceMs int64
	// nextDueMs is when the next occurrence becomes due, in Unix milliseconds; 0 for none.
	nextDueMs int64
}

// poolQueue holds the jobs that run in one pool.
type poolQueue struct {
	jobs map[string]*activeJob
	// order is the order in which jobs get resources; jobs that were added since it was last sorted stand at its
	// end.
	order    []*activeJob
	sortedMs int64
	// leastNeed is a lower bound of what a ready task of these jobs reserves, in each dimension.
	leastNeed batch.Resources
	// demand is the number of ready tasks, and copyable the number of tasks of which a speculative copy may run.
	demand, copyable int
	// suspects and alone hold the tasks that start only on certain workers.
	suspects, alone suspectQueue
	// unplaced are the jobs with tasks that last and wait for a worker.
	unplaced map[string]*activeJob
}

// sortIntervalMs is how long a sorted order of jobs is used, in milliseconds.
const sortIntervalMs = 50

func (s *Scheduler) queueOf(pool string) *poolQueue {
	q := s.queues[pool]
	if q == nil {
		q = newPoolQueue()
		s.queues[pool] = q
	}
	return q
}

func newPoolQueue() *poolQueue {
	return &poolQueue{jobs: map[string]*activeJob{}, unplaced: map[string]*activeJob{}}
}

// heardQueue returns the queue of the pool that a worker names; one that nothing else names isn't kept.
func (s *Scheduler) heardQueue(w *worker) *poolQueue {
	if q := s.queues[w.pool]; q != nil {
		return q
	}
	return newPoolQueue()
}

// hasReady reports whether tasks are ready, those that start only on certain workers included.
func (q *poolQueue) hasReady() bool {
	return q.demand+len(q.suspects.order)+len(q.alone.order) > 0
}

// poolOf returns the pool that runs a job's tasks under the current configuration.
func (s *Scheduler) poolOf(j *jobs.Job) string {
	if q := s.currentConfiguration().Queue(j.Spec.Queue); q != nil {
		return q.Pool
	}
	return j.Spec.Pool
}

// refreshJob recomputes the scheduler's view of a job that has changed.
func (s *Scheduler) refreshJob(id string) {
	j := s.options.Log.Batch().Job(id)
	old := s.jobs[id]
	if old != nil && old.waiting && j != nil {
		s.observeBegun(old)
	}
	if j == nil || j.Phase.IsTerminal() {
		if old != nil {
			s.logEnded(old)
			s.learnWork(old)
			s.removeJob(old)
			delete(s.jobs, id)
			delete(s.gangJobs, id)
			delete(s.scheduledJobs, id)
			// The pool's order may still contain it, so its ready tasks are cleared.
			old.ready = nil
		}
		return
	}
	updated := s.describeJob(j)
	updated.noteAllRunning(old, s.now())
	updated.noteUnplaced(old, s.now())
	if old != nil {
		updated.spared, updated.crashedAt = old.spared, old.crashedAt
		updated.item.Rank, updated.item.Scarce = old.item.Rank, old.item.Scarce
	} else {
		updated.item.Rank, updated.item.Scarce = s.fleet.nextRanks[s.poolOf(j)][j.Spec.Account], s.fleet.book != nil
	}
	pool := s.poolOf(j)
	if old != nil && old.pool == pool {
		s.queueOf(pool).demand += len(updated.ready) - len(old.ready)
		s.queueOf(pool).copyable += len(updated.copyable) - len(old.copyable)
		updated.pool, updated.queued = pool, old.queued
		*old = *updated
	} else {
		if old != nil {
			s.removeJob(old)
			old.ready = nil
		}
		updated.pool = pool
		s.jobs[id] = updated
		s.queueOf(pool).jobs[id] = updated
		s.queueOf(pool).demand += len(updated.ready)
		s.queueOf(pool).copyable += len(updated.copyable)
	}
	s.enqueue(s.jobs[id])
	for _, suspect := range s.jobs[id].suspects {
		s.queueOf(pool).suspects.add(suspect, s.now())
	}
	for _, id := range s.jobs[id].alone {
		s.queueOf(pool).alone.add(id, s.now())
	}
	s.trackJob(s.jobs[id])
	if len(updated.unplacedSinceMs) > 0 {
		s.queueOf(pool).unplaced[id] = s.jobs[id]
	} else {
		delete(s.queueOf(pool).unplaced, id)
	}
}

// trackJob notes whether a job has gangs to plan, or an occurrence that is still to become due.
func (s *Scheduler) trackJob(job *activeJob) {
	id := job.state.Spec.ID
	if slices.ContainsFunc(job.state.Spec.Steps, func(step batch.Step) bool { return step.Gang }) {
		s.gangJobs[id] = job
	}
	if job.nextDueMs > 0 {
		s.scheduledJobs[id] = job
	} else {
		delete(s.scheduledJobs, id)
	}
}

// removeJob removes a job from its pool's queue.
func (s *Scheduler) removeJob(job *activeJob) {
	q := s.queueOf(job.pool)
	delete(q.jobs, job.state.Spec.ID)
	delete(q.unplaced, job.state.Spec.ID)
	q.demand -= len(job.ready)
	q.copyable -= len(job.copyable)
}

// enqueue appends a job with ready tasks to its pool's order, unless it stands there; the next sort moves it to its
// place.
func (s *Scheduler) enqueue(job *activeJob) {
	if len(job.ready) == 0 {
		return
	}
	q := s.queueOf(job.pool)
	if !job.queued {
		job.queued = true
		q.order = append(q.order, job)
	}
	q.noteNeed(job)
}

// noteNeed lowers the least need to that of a job in the order.
func (q *poolQueue) noteNeed(job *activeJob) {
	if len(q.order) == 1 {
		q.leastNeed = job.leastNeed
		return
	}
	q.leastNeed = q.leastNeed.Min(job.leastNeed)
}

// orderedJobs returns the jobs of a pool in the order in which they get resources.
func (s *Scheduler) orderedJobs(q *poolQueue, now int64) []*activeJob {
	if now-q.sortedMs < sortIntervalMs {
		return q.order
	}
	clear(q.order)
	q.order, q.sortedMs = q.order[:0], now
	wallMs := s.wallMs()
	for _, job := range q.jobs {
		if job.queued = len(job.ready) > 0; !job.queued {
			continue
		}
		job.item = *s.itemAt(job, wallMs)
		q.order = append(q.order, job)
		q.noteNeed(job)
	}
	order.Sort(q.order, func(job *activeJob) *order.Item { return &job.item })
	return q.order
}

// noteAllRunning notes since when all tasks of the open steps run, given the former view of the job, nil for none.
func (job *activeJob) noteAllRunning(former *activeJob, now int64) {
	switch {
	case job.readyResources != (pools.Resources{}) || job.runningResources == (pools.Resources{}):
	case former != nil && former.allRunningMs > 0 && former.criticalPathMs == job.criticalPathMs:
		job.allRunningMs = former.allRunningMs
	default:
		job.allRunningMs = now
	}
}

// slackMs returns the time until the job's SLO less its longest remaining chain of dependent steps.
func (s *Scheduler) slackMs(job *activeJob, wallMs int64) int64 {
	slackMs := max(job.sinceMs, job.state.Spec.SubmittedMs()) + job.objectiveMs - job.criticalPathMs - wallMs
	if job.allRunningMs > 0 {
		// The chain gets shorter as its tasks run.
		slackMs += min(job.openTaskMs, s.now()-job.allRunningMs)
	}
	return slackMs
}

// itemAt returns the inputs that order the job at a time in Unix milliseconds.
func (s *Scheduler) itemAt(job *activeJob, wallMs int64) *order.Item {
	item := job.item
	item.SlackMs, item.CriticalPathMs = s.slackMs(job, wallMs), job.criticalPathMs
	return &item
}

// isLate reports whether the job's SLO can't be met any more.
func (s *Scheduler) isLate(job *activeJob, wallMs int64) bool {
	return !job.item.LongRunning && s.itemAt(job, wallMs).Late()
}

// openDueOccurrences refreshes jobs with an occurrence that has become due.
func (s *Scheduler) openDueOccurrences() {
	now := s.wallMs()
	for id, job := range s.scheduledJobs {
		if now >= job.nextDueMs-earlyStartMs {
			s.refreshJob(id)
		}
	}
}
