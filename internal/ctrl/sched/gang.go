package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// gangKey names one gang: a step of one occurrence.
type gangKey struct {
	job              string
	occurrence, step int
}

func gangOf(id batch.TaskID) gangKey {
	return gangKey{job: id.Job, occurrence: id.Occurrence, step: id.Step}
}

// gang is a plan for all members of a gang, until each has been ordered.
type gang struct {
	attempt int
	// places are the workers of the members that aren't ordered yet.
	places map[batch.TaskID]string
	// tickets are the members' permits.
	tickets map[batch.TaskID]string
	// plannedMs is when it was planned, by uptime.
	plannedMs int64
	need      batch.Capacity
}

// planGangs finds workers for gangs that could start, and drops plans that didn't come about in time.
func (e *Scheduler) planGangs(now int64) {
	for key, g := range e.gangs {
		if len(g.places) == 0 || now-g.plannedMs > e.options.Bounds.GangMs/2 || e.jobs[key.job] == nil {
			delete(e.gangs, key)
		}
	}
	for _, w := range e.jobs {
		for s := range w.job.Job.Steps {
			if !w.job.Job.Steps[s].Gang {
				continue
			}
			for k := range w.job.Job.Occurrences() {
				e.planGang(w.job, k, s, now)
			}
		}
	}
}

func (e *Scheduler) planGang(j *jobs.Job, k, s int, now int64) {
	key := gangKey{job: j.Job.ID, occurrence: k, step: s}
	due := j.Job.Due(k)
	if e.gangs[key] != nil || j.StepLeft(k, s) == 0 || !j.Open(k, s) || (due > 0 && e.wall() < due) {
		return
	}
	step, at := &j.Job.Steps[s], j.Place(k, s)
	g := &gang{places: map[batch.TaskID]string{}, tickets: map[batch.TaskID]string{}, plannedMs: now, need: step.Room()}
	for i := range step.Count {
		t := &j.Tasks[at+i]
		id := batch.TaskID{Job: j.Job.ID, Occurrence: k, Step: s, Index: i}
		if len(t.Runs) > 0 || e.starting[id] {
			// A former attempt isn't over everywhere; its workers end it when a member is gone.
			return
		}
		g.attempt = max(g.attempt, t.Attempt+1)
	}
	if !e.placeGang(j, k, s, g, now) {
		return
	}
	e.gangs[key] = g
	e.options.Logger.Info("gang_planned", zap.String("job", j.Job.ID), zap.Int("step", s), zap.Int("attempt", g.attempt),
		zap.Int("members", step.Count))
}

// broken says whether a member of a gang's attempt has ended, so that the others can't go on.
func broken(j *jobs.Job, id batch.TaskID, attempt int) bool {
	at := j.Place(id.Occurrence, id.Step)
	for i := range j.Job.Steps[id.Step].Count {
		if t := &j.Tasks[at+i]; t.Attempt == attempt && len(t.Runs) == 0 {
			return true
		}
	}
	return false
}

// placeGang finds a worker for each member, in one rack where the step asks for it and one has room.
func (e *Scheduler) placeGang(j *jobs.Job, k, s int, g *gang, now int64) bool {
	step := &j.Job.Steps[s]
	free := map[string]batch.Capacity{}
	var ids []string
	pool := e.poolOf(j)
	for id, w := range e.workers {
		if w.pool == pool && w.usable(now) && !w.tried(now) && now-w.heardMs < leaseMs && !e.fleet.held(w) {
			ids = append(ids, id)
			free[id] = w.free
		}
	}
	slices.Sort(ids)
	for _, other := range e.gangs {
		for _, id := range other.places {
			free[id] = free[id].Less(other.need)
		}
	}
	racks := []string{""}
	if step.SameRack {
		racks = append(e.racks(ids), "")
	}
	for _, rack := range racks {
		if e.fill(j, k, s, g, ids, free, rack, now) {
			return true
		}
	}
	return false
}

// racks returns the racks of workers, each once.
func (e *Scheduler) racks(ids []string) []string {
	var all []string
	for _, id := range ids {
		if r := e.workers[id].rack; !slices.Contains(all, r) {
			all = append(all, r)
		}
	}
	return all
}

// fill puts all members on workers, of one rack where it isn't empty; it reports whether all found room.
func (e *Scheduler) fill(j *jobs.Job, k, s int, g *gang, ids []string, free map[string]batch.Capacity, rack string, now int64) bool {
	step := &j.Job.Steps[s]
	left := map[string]batch.Capacity{}
	clear(g.places)
	index := 0
	one := &work{job: j}
	for _, id := range ids {
		w := e.workers[id]
		if rack != "" && w.rack != rack {
			continue
		}
		left[id] = free[id]
		for on := 0; index < step.Count && left[id].Holds(step.Room()) && (step.PerWorker == 0 || on < step.PerWorker); on++ {
			task := batch.TaskID{Job: j.Job.ID, Occurrence: k, Step: s, Index: index}
			saved := w.free
			w.free = left[id]
			ticket, ok := e.mayRun(w, one, task, step, now)
			w.free = saved
			if !ok {
				break
			}
			left[id] = left[id].Less(step.Room())
			g.places[task], g.tickets[task] = id, ticket
			index++
		}
	}
	return index == step.Count
}

// giveGangs orders the members that are planned on a worker, and keeps the room of others.
func (e *Scheduler) giveGangs(w *worker, sequence uint64) []batch.StartOrder {
	var orders []batch.StartOrder
	for _, g := range e.gangs {
		for id, place := range g.places {
			j, t := e.find(id)
			if place != w.id || t == nil || !w.free.Holds(g.need) {
				continue
			}
			delete(g.places, id)
			orders = append(orders, e.start(w, j, id, g.tickets[id], sequence))
		}
	}
	return orders
}
