package sched

import (
	"slices"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// startsAtOnce bounds the starts of one answer.
const startsAtOnce = 64

// give chooses tasks for a worker's free room and adds their starts to the next record.
func (e *Scheduler) give(w *worker, sequence uint64, now int64) []batch.StartOrder {
	pool := e.current().Pool(w.pool)
	if pool == nil || pool.Standby {
		return nil
	}
	if e.fleet.held(w) {
		return e.giveLast(w, sequence, now)
	}
	if w.tried(now) {
		return e.giveTrial(w, sequence, now)
	}
	orders := e.giveGangs(w, sequence)
	q := e.queue(w.pool)
	for _, one := range e.ordered(q, now) {
		if len(orders) >= startsAtOnce || w.free.MemoryMB <= 0 {
			break
		}
		if one.item.Lasting && e.fleet.doomed(w) && e.elsewhere(w, one, now) {
			continue
		}
		orders = append(orders, e.giveWork(w, q, one, sequence, now)...)
	}
	return append(orders, e.giveCopies(w, q, sequence, now)...)
}

// giveTrial gives one task to a worker that was shunned, where it runs nothing.
func (e *Scheduler) giveTrial(w *worker, sequence uint64, now int64) []batch.StartOrder {
	if len(w.running)+w.starting > 0 {
		return nil
	}
	q := e.queue(w.pool)
	for _, one := range e.ordered(q, now) {
		if len(one.ready) == 0 || one.item.Lasting && e.elsewhere(w, one, now) {
			continue
		}
		rest := one.ready[1:]
		one.ready = one.ready[:1:1]
		orders := e.giveWork(w, q, one, sequence, now)
		one.ready = append(one.ready, rest...)
		if len(orders) > 0 {
			return orders
		}
	}
	return nil
}

// giveLast gives lasting tasks to a worker whose VM is to leave, where no other worker of its pool can take them.
func (e *Scheduler) giveLast(w *worker, sequence uint64, now int64) []batch.StartOrder {
	if v := e.fleet.vms[e.fleet.byWorker[w.id]]; v.ordered || v.doneMs > 0 {
		return nil
	}
	q := e.queue(w.pool)
	var orders []batch.StartOrder
	for _, one := range e.ordered(q, now) {
		if one.item.Lasting && !e.elsewhere(w, one, now) {
			orders = append(orders, e.giveWork(w, q, one, sequence, now)...)
		}
	}
	return orders
}

// elsewhere says whether a worker that stays can take a task of a job.
func (e *Scheduler) elsewhere(not *worker, one *work, now int64) bool {
	for _, id := range one.ready {
		step := &one.job.Job.Steps[id.Step]
		for _, w := range e.workers {
			if w != not && w.pool == not.pool && w.usable(now) && now-w.heardMs < silentMs && !e.fleet.held(w) &&
				!e.fleet.doomed(w) && w.free.Holds(step.Room()) && (step.PerWorker == 0 || e.countOn(w, one.job, id) < step.PerWorker) {
				return true
			}
		}
	}
	return false
}

// silentMs is how long a worker may be silent and still be counted on, in milliseconds.
const silentMs = 1000

// giveWork gives a worker those ready tasks of one job that fit.
func (e *Scheduler) giveWork(w *worker, q *poolQueue, one *work, sequence uint64, now int64) []batch.StartOrder {
	var orders []batch.StartOrder
	left := one.ready[:0:0]
	for i, id := range one.ready {
		step := &one.job.Job.Steps[id.Step]
		ticket, ok := e.mayRun(w, one, id, step, now)
		if len(orders) >= startsAtOnce {
			left = append(left, one.ready[i:]...)
			break
		}
		if !ok {
			left = append(left, id)
			continue
		}
		orders = append(orders, e.start(w, one.job, id, ticket, sequence))
	}
	q.demand -= len(one.ready) - len(left)
	one.ready = left
	return orders
}

// mayRun says whether a worker may run a task now, and with which ticket.
func (e *Scheduler) mayRun(w *worker, one *work, id batch.TaskID, step *batch.Step, now int64) (ticket string, ok bool) {
	switch {
	case e.strays[id] > now:
		return "", false
	case !w.free.Holds(step.Room()):
		return "", false
	case step.RequiredLabel != "" && !slices.Contains(w.labels, step.RequiredLabel):
		return "", false
	case step.PerWorker > 0 && e.countOn(w, one.job, id) >= step.PerWorker:
		return "", false
	case step.DataRack != "" && step.DataRack != w.rack && !e.awayAllowed(one, step):
		return "", false
	}
	if !e.advised(one.job) {
		return "", true
	}
	return e.ticket(w, one.job, id, now)
}

// countOn returns how many tasks of a step and occurrence run on a worker, or are about to.
func (e *Scheduler) countOn(w *worker, j *jobs.Job, id batch.TaskID) int {
	count := 0
	at := j.Place(id.Occurrence, id.Step)
	for i := range j.Job.Steps[id.Step].Count {
		count += runsOf(&j.Tasks[at+i], w.id)
		other := batch.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i}
		if e.starting[other] && e.startingOn[other] == w.id {
			count++
		}
	}
	return count
}

// awayMs is how long a task waits for a worker near its data before another will do, in milliseconds.
const awayMs = 1200

// awayAllowed says whether a task may run away from its data.
func (e *Scheduler) awayAllowed(one *work, step *batch.Step) bool {
	waited := e.wall() - one.job.Job.AcceptedMs
	return waited > awayMs || !e.rackKnown(one, step)
}

// rackKnown says whether a worker of the job's pool stands in the step's rack.
func (e *Scheduler) rackKnown(one *work, step *batch.Step) bool {
	pool := e.poolOf(one.job)
	for _, w := range e.workers {
		if w.pool == pool && w.rack == step.DataRack && !w.draining && !w.left {
			return true
		}
	}
	return false
}

// start adds an attempt's start to the next record and takes its room.
func (e *Scheduler) start(w *worker, j *jobs.Job, id batch.TaskID, ticket string, sequence uint64) batch.StartOrder {
	t := j.Task(id)
	number := t.Attempt + 1
	step := &j.Job.Steps[id.Step]
	if step.Gang {
		number = e.gangs[gangOf(id)].attempt
	}
	if j.Phase == batch.PhaseQueued && id.Index == 0 && id.Step == 0 {
		observeStart(w.pool, e.wall()-j.Job.AcceptedMs)
	}
	w.free = w.free.Less(step.Room())
	e.starting[id] = true
	e.startingOn[id] = w.id
	w.starting++
	e.commits.next.Starts = append(e.commits.next.Starts, batch.Start{
		Task: id, Attempt: number, Worker: w.id, Incarnation: w.incarnation, Sequence: sequence,
	})
	return batch.StartOrder{Task: id, Attempt: number, Text: j.Job.Text, Checkpoint: t.Checkpoint, Ticket: ticket}
}

// runsOf returns the attempts of a task that may be running on a worker.
func runsOf(t *jobs.Task, worker string) int {
	count := 0
	for _, r := range t.Runs {
		if r.Worker == worker {
			count++
		}
	}
	return count
}
