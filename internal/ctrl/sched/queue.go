package sched

import (
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/order"
	"cowslipstack/internal/plan/pools"
)

// work is a job that isn't over, as the leader sees it.
type work struct {
	job *jobs.Job
	// pool is the pool that runs it; queued says that it stands in the pool's order.
	pool   string
	queued bool
	item   order.Item
	// ready are the tasks that could start now, gangs excepted.
	ready []batch.TaskID
	// copyable are the tasks with one attempt of which a copy may run beside it.
	copyable []batch.TaskID
	// readyRoom and runRoom are what ready and begun tasks hold, soonRoom what tasks hold of the steps that open after those.
	readyRoom, runRoom, soonRoom pools.Room
	// apart is how many VMs its tasks need that keep apart from each other.
	apart int
	// chainMs is the longest remaining chain of work, and objectiveMs the time from its acceptance until its SLO.
	chainMs     int64
	objectiveMs int64
	// dueMs is when the next occurrence that isn't due becomes so, in Unix milliseconds; 0 for none.
	dueMs int64
}

// poolQueue is what waits for one pool.
type poolQueue struct {
	works map[string]*work
	// order is the order in which jobs get room; those that came since it was worked out stand at its end.
	order    []*work
	sortedMs int64
	// demand is the count of ready tasks, and copyable that of tasks of which a copy may run.
	demand, copyable int
}

// sortMs is how long an order of jobs holds, in milliseconds.
const sortMs = 50

func (e *Scheduler) queue(pool string) *poolQueue {
	q := e.queues[pool]
	if q == nil {
		q = &poolQueue{works: map[string]*work{}}
		e.queues[pool] = q
	}
	return q
}

// poolOf returns the pool that runs a job's tasks by the configuration in force.
func (e *Scheduler) poolOf(j *jobs.Job) string {
	c := e.current()
	for i := range c.Queues {
		if c.Queues[i].Key() == j.Job.Queue {
			return c.Queues[i].Pool
		}
	}
	return j.Job.Pool
}

// touch works out anew what is known of a job that has changed.
func (e *Scheduler) touch(id string) {
	j := e.options.Log.Book().Job(id)
	old := e.jobs[id]
	if j == nil || j.Phase.Over() {
		if old != nil {
			e.learnWork(old)
			e.drop(old)
			delete(e.jobs, id)
			// The order may still hold it: it has nothing to give.
			old.ready = nil
		}
		return
	}
	w := e.describe(j)
	pool := e.poolOf(j)
	if old != nil && old.pool == pool {
		e.queue(pool).demand += len(w.ready) - len(old.ready)
		e.queue(pool).copyable += len(w.copyable) - len(old.copyable)
		w.pool, w.queued = pool, old.queued
		*old = *w
	} else {
		if old != nil {
			e.drop(old)
			old.ready = nil
		}
		w.pool = pool
		e.jobs[id] = w
		e.queue(pool).works[id] = w
		e.queue(pool).demand += len(w.ready)
		e.queue(pool).copyable += len(w.copyable)
	}
	e.enqueue(e.jobs[id])
}

// drop takes a job out of its pool's queue.
func (e *Scheduler) drop(w *work) {
	q := e.queue(w.pool)
	delete(q.works, w.job.Job.ID)
	q.demand -= len(w.ready)
	q.copyable -= len(w.copyable)
}

// enqueue puts a job with ready tasks at the end of its pool's order, until that is worked out anew.
func (e *Scheduler) enqueue(w *work) {
	if len(w.ready) > 0 && !w.queued {
		w.queued = true
		q := e.queue(w.pool)
		q.order = append(q.order, w)
	}
}

// describe works out what a job could start, and how it stands.
func (e *Scheduler) describe(j *jobs.Job) *work {
	w := &work{job: j, item: order.Item{ID: j.Job.ID}}
	scale := e.learned.scaleOf(j.Job.Queue)
	var chains []float64
	for k := range j.Job.Occurrences() {
		if due := j.Job.Due(k); due > 0 && e.wall() < due-dueEarlyMs {
			w.dueMs = due
			break
		}
		chains = chains[:0]
		for s := range j.Job.Steps {
			chains = append(chains, e.describeStep(w, k, s, scale, chains))
			w.chainMs = max(w.chainMs, int64(chains[s]))
		}
	}
	e.rate(w)
	return w
}

// describeStep adds a step to what a job could start, and returns its longest remaining chain, with those before it.
func (e *Scheduler) describeStep(w *work, k, s int, scale float64, chains []float64) float64 {
	j := w.job
	step := &j.Job.Steps[s]
	taskMs := float64(step.EstimateMs) * scale
	w.item.TotalMs += int64(float64(step.Count) * taskMs * float64(step.Need.CPUMilli) / milli)
	before := 0.0
	for _, a := range step.After {
		before = max(before, chains[a])
	}
	left := j.StepLeft(k, s)
	if left == 0 {
		return before
	}
	if step.LongRunning {
		w.item.Lasting = true
	}
	w.item.WorkMs += int64(float64(left) * taskMs * float64(step.Need.CPUMilli) / milli)
	open := j.Open(k, s)
	if !open {
		if e.opensSoon(j, k, step) {
			w.soonRoom = w.soonRoom.Add(roomOf(step, left))
		}
		return before + taskMs
	}
	w.apart = max(w.apart, apart(step, left))
	at := j.Place(k, s)
	for i := range step.Count {
		t := &j.Tasks[at+i]
		if t.Done {
			continue
		}
		id := batch.TaskID{Job: j.Job.ID, Occurrence: k, Step: s, Index: i}
		if len(t.Runs) > 0 || e.starting[id] {
			w.runRoom = w.runRoom.Add(roomOf(step, 1))
			if step.Speculative && !step.Gang && !step.LongRunning && len(t.Runs) == 1 {
				w.copyable = append(w.copyable, id)
			}
			continue
		}
		w.readyRoom = w.readyRoom.Add(roomOf(step, 1))
		if !step.Gang {
			w.ready = append(w.ready, id)
		}
	}
	return before + taskMs
}

// roomOf returns what a count of a step's tasks hold.
func roomOf(step *batch.Step, count int) pools.Room {
	room := step.Room()
	return pools.Room{CPUMilli: int64(count) * room.CPUMilli, MemoryMB: int64(count) * room.MemoryMB}
}

// roundsApart is how many tasks that keep apart and end by themselves may run after each other on one VM.
const roundsApart = 2

// apart returns how many VMs a step needs for tasks that keep apart.
func apart(step *batch.Step, left int) int {
	if step.PerWorker <= 0 {
		return 0
	}
	on := step.PerWorker
	if !step.LongRunning {
		on *= roundsApart
	}
	return (left + on - 1) / on
}

// opensSoon says whether all steps before a step are at work.
func (e *Scheduler) opensSoon(j *jobs.Job, k int, step *batch.Step) bool {
	for _, a := range step.After {
		if j.StepLeft(k, a) > 0 && !j.Open(k, a) {
			return false
		}
	}
	return true
}

// milli is the count of thousandths in one.
const milli = 1000

// rate works out a job's SLO and its place among others.
func (e *Scheduler) rate(w *work) {
	c := e.current()
	slack, target := 1.0, int64(0)
	for i := range c.Queues {
		if q := &c.Queues[i]; q.Key() == w.job.Job.Queue {
			slack, target = q.SlackFactor, q.TargetLatencyMs
			w.item.Priority = q.Priority
			break
		}
	}
	var longest int64
	for i := range w.job.Job.Steps {
		longest += w.job.Job.Steps[i].EstimateMs
	}
	scale := e.learned.scaleOf(w.job.Job.Queue)
	w.objectiveMs = int64(slack*float64(longest)*scale) + target
	w.item.MeanMs = e.learned.meanWork(w.job.Job.Queue, w.item.TotalMs)
	w.item.SlackMs = w.job.Job.AcceptedMs + w.objectiveMs - w.chainMs - e.wall()
}

// ordered returns the works of a pool in the order in which they get room.
func (e *Scheduler) ordered(q *poolQueue, now int64) []*work {
	if now-q.sortedMs < sortMs {
		return q.order
	}
	clear(q.order)
	q.order, q.sortedMs = q.order[:0], now
	for _, w := range q.works {
		if w.queued = len(w.ready) > 0; !w.queued {
			continue
		}
		w.item.SlackMs = w.job.Job.AcceptedMs + w.objectiveMs - w.chainMs - e.wall()
		q.order = append(q.order, w)
	}
	order.Sort(q.order, func(w *work) *order.Item { return &w.item })
	return q.order
}

// openDue opens occurrences whose time has come.
func (e *Scheduler) openDue() {
	now := e.wall()
	for id, w := range e.jobs {
		if w.dueMs > 0 && now >= w.dueMs-dueEarlyMs {
			e.touch(id)
		}
	}
}
