package sched

import (
	"slices"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// maxStartsPerReply limits the starts in one heartbeat reply.
const maxStartsPerReply = 64

// assignTasks chooses tasks for a worker's free resources and adds their starts to the next command.
func (s *Scheduler) assignTasks(w *worker, sequence uint64, now int64) []batch.StartOrder {
	pool := s.currentConfiguration().Pool(w.pool)
	if pool == nil || pool.Standby {
		return nil
	}
	q := s.heardQueue(w)
	if s.awaitsSuspect(w) {
		return nil
	}
	if s.awaitsVM(w, now) {
		s.fleet.listWanted = true
		return nil
	}
	if orders := s.assignOverdue(w, q, sequence, now); len(orders) > 0 {
		return orders
	}
	w.keptFree = s.runsOneAlone(w) && (w.keptFree || s.mayHold(w, q, now))
	switch {
	case w.keptFree || now < w.quarantineUntilMs:
		return nil
	case s.fleet.leaving(w):
		return s.assignWhileDraining(w, q, sequence, now)
	case w.onProbation(now):
		return s.assignProbation(w, q, sequence, now)
	}
	if orders, kept := s.assignAlone(w, q, sequence, now); kept {
		return orders
	}
	orders := s.assignGangs(w, sequence)
	if slices.ContainsFunc(orders, s.suspected) {
		return orders
	}
	if suspects := s.assignSuspect(w, q, sequence, now); len(suspects) > 0 {
		return suspects
	}
	maintenanceDue := s.fleet.maintenanceDue(w)
	for _, job := range s.orderedJobs(q, now) {
		if len(orders) >= maxStartsPerReply || w.free.MemoryMB <= 0 || !w.free.Covers(q.leastNeed) {
			break
		}
		if job.item.LongRunning && maintenanceDue {
			orders = append(orders, s.assignOnly(w, q, job, s.onlyHere(w, now), sequence, now)...)
			continue
		}
		orders = append(orders, s.assignJob(w, q, job, sequence, now)...)
	}
	return append(orders, s.assignCopies(w, q, sequence, now)...)
}

// assignProbation assigns one task to a worker on probation, if it runs none that began there since.
func (s *Scheduler) assignProbation(w *worker, q *poolQueue, sequence uint64, now int64) []batch.StartOrder {
	if w.triesOne() {
		return nil
	}
	for _, job := range s.orderedJobs(q, now) {
		if len(job.ready) == 0 || job.item.LongRunning && s.fitsElsewhere(w, job, job.ready[0], now) {
			continue
		}
		first := job.ready[0]
		isFirst := func(_ *activeJob, id batch.TaskID) bool { return id == first }
		if orders := s.assignOnly(w, q, job, isFirst, sequence, now); len(orders) > 0 {
			return orders
		}
	}
	return nil
}

// assignWhileDraining assigns long-running tasks to a worker whose VM is draining, if no other worker of its pool
// can take them.
func (s *Scheduler) assignWhileDraining(w *worker, q *poolQueue, sequence uint64, now int64) []batch.StartOrder {
	if s.isOrdered(w) {
		return nil
	}
	if orders := s.assignSuspect(w, q, sequence, now); len(orders) > 0 {
		return orders
	}
	var orders []batch.StartOrder
	for _, job := range s.orderedJobs(q, now) {
		if job.item.LongRunning {
			orders = append(orders, s.assignOnly(w, q, job, s.onlyHere(w, now), sequence, now)...)
		}
	}
	return orders
}

// isOrdered reports whether an order for a worker's VM is in flight, or was answered and isn't verified yet.
func (s *Scheduler) isOrdered(w *worker) bool {
	v := s.fleet.vms[s.fleet.byWorker[w.id]]
	return v != nil && v.isOrdered()
}

// onlyHere returns a function that reports whether no other worker of a worker's pool takes a ready task.
func (s *Scheduler) onlyHere(w *worker, now int64) func(job *activeJob, id batch.TaskID) bool {
	// last is the last step that was asked about: its tasks differ in nothing that matters here.
	var last stepKey
	elsewhere := false
	return func(job *activeJob, id batch.TaskID) bool {
		if key := stepOf(id); key != last {
			last, elsewhere = key, s.fitsElsewhere(w, job, id, now)
		}
		return !elsewhere
	}
}

// assignOnly assigns the ready tasks of a job that fit a worker, of those that a function picks.
func (s *Scheduler) assignOnly(w *worker, q *poolQueue, job *activeJob, picks func(job *activeJob, id batch.TaskID) bool,
	sequence uint64, now int64,
) []batch.StartOrder {
	if !w.free.Covers(job.leastNeed) {
		return nil
	}
	var picked, rest []batch.TaskID
	for _, id := range job.ready {
		if picks(job, id) {
			picked = append(picked, id)
		} else {
			rest = append(rest, id)
		}
	}
	job.ready = picked
	orders := s.assignJob(w, q, job, sequence, now)
	job.ready = append(job.ready, rest...)
	return orders
}

// fitsElsewhere reports whether another worker of a worker's pool, whose VM isn't due for maintenance, takes a task of a job now
// or in a moment.
func (s *Scheduler) fitsElsewhere(except *worker, job *activeJob, id batch.TaskID, now int64) bool {
	for _, other := range s.workers {
		if other != except && other.pool == except.pool && !s.fleet.maintenanceDue(other) && s.closedTo(other, now).isBrief() &&
			s.unfitRoomFor(other, job, id) == fit {
			return true
		}
	}
	return false
}

// maxSilenceMs is how long after its last heartbeat a worker still counts as available, in milliseconds.
const maxSilenceMs = 1000

// assignJob assigns the ready tasks of one job that fit a worker.
func (s *Scheduler) assignJob(w *worker, q *poolQueue, job *activeJob, sequence uint64, now int64) []batch.StartOrder {
	if !w.free.Covers(job.leastNeed) || !s.mayHoldAny(job) {
		return nil
	}
	hasSuspects := len(job.suspects)+len(job.onTrial) > 0
	var orders []batch.StartOrder
	// refused is the last step of which the worker may run no task, allowed the last one of which it may.
	var refused, allowed stepKey
	left := 0
	for _, id := range job.ready {
		key := stepOf(id)
		if len(orders) < maxStartsPerReply && key != refused && s.abandoned[id] == 0 {
			ticket, ok := s.mayRun(w, job, id, now)
			if ok && (!hasSuspects || key == allowed || !s.stepSuspected(job, key)) {
				allowed = key
				orders = append(orders, s.startAttempt(w, job.state, id, ticket, sequence))
				continue
			}
			refused = key
		}
		job.ready[left] = id
		left++
	}
	q.demand -= len(job.ready) - left
	job.ready = job.ready[:left]
	return orders
}

// mayRun reports whether a worker may run a task now, and with which ticket.
func (s *Scheduler) mayRun(w *worker, job *activeJob, id batch.TaskID, now int64) (ticket string, ok bool) {
	if s.abandoned[id] > 0 || !s.mayHoldMore(job.state, id, 1) {
		return "", false
	}
	return s.mayRunStep(w, job, id, now)
}

// mayRunStep reports whether a worker may run one more task of a step now, and with which ticket; it holds for any
// task of the step.
func (s *Scheduler) mayRunStep(w *worker, job *activeJob, id batch.TaskID, now int64) (ticket string, ok bool) {
	if s.unfitRoomFor(w, job, id) != fit {
		return "", false
	}
	if !s.needsPermit(job.state) {
		return "", true
	}
	return s.permitTicket(w, job.state, id, now)
}

// countOn returns how many tasks of a step and occurrence run on a worker or are starting there.
func (s *Scheduler) countOn(w *worker, j *jobs.Job, id batch.TaskID) int {
	count := 0
	first := j.FirstTask(id.Occurrence, id.Step)
	for i := range j.Spec.Steps[id.Step].Count {
		count += runsOn(&j.Tasks[first+i], w.id)
		other := batch.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i}
		if s.starting[other] && s.startingWorker[other] == w.id {
			count++
		}
	}
	return count
}

// localityWaitMs is how long a task waits for a worker in the rack of its data before any worker may run it, in
// milliseconds.
const localityWaitMs = 1200

// remoteAllowed reports whether a task may run outside the rack of its data.
func (s *Scheduler) remoteAllowed(job *activeJob, step *batch.Step) bool {
	waited := s.wallMs() - job.state.Spec.AcceptedMs
	return waited > localityWaitMs || !s.rackHasWorker(job, step)
}

// rackHasWorker reports whether the step's rack contains a worker of the job's pool.
func (s *Scheduler) rackHasWorker(job *activeJob, step *batch.Step) bool {
	pool := s.poolOf(job.state)
	for _, w := range s.workers {
		if w.pool == pool && w.rack == step.DataRack && !w.draining && !w.left {
			return true
		}
	}
	return false
}

// startAttempt adds an attempt's start to the next command and reserves its resources.
func (s *Scheduler) startAttempt(w *worker, j *jobs.Job, id batch.TaskID, ticket string, sequence uint64) batch.StartOrder {
	t := j.Task(id)
	number := t.LastAttempt + 1
	step := &j.Spec.Steps[id.Step]
	if step.Gang {
		number = s.gangs[stepOf(id)].attempt
	}
	w.free = w.free.Sub(step.ReservedResources())
	s.accounts.Propose(id, j.Spec.Account, step.Need)
	s.starting[id] = true
	s.startingWorker[id] = w.id
	w.starting++
	s.proposals.pending.Starts = append(s.proposals.pending.Starts, batch.AttemptStart{
		Task: id, Attempt: number, Worker: w.id, Incarnation: w.incarnation, Sequence: sequence,
	})
	return batch.StartOrder{Task: id, Attempt: number, Text: j.Spec.Text, Checkpoint: t.Checkpoint, Ticket: ticket}
}

// runsOn returns how many attempts of a task may be running on a worker.
func runsOn(t *jobs.Task, worker string) int {
	count := 0
	for _, r := range t.Attempts {
		if r.Worker == worker {
			count++
		}
	}
	return count
}
