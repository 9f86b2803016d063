package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	job              string
	occurrence, step int
}

func stepOf(id batch.TaskID) stepKey {
	return stepKey{job: id.Job, occurrence: id.Occurrence, step: id.Step}
}

// gangPlan assigns the members of a gang to workers until each has been ordered.
type gangPlan struct {
	attempt int
	// workers holds the worker of each member that isn't ordered yet.
	workers map[batch.TaskID]string
	// tickets holds the tickets of the members' permits.
	tickets map[batch.TaskID]string
	// plannedMs is the uptime at which the plan was made.
	plannedMs int64
	need      batch.Resources
}

// planGangs plans gangs that could start, and drops plans that weren't carried out in time.
func (s *Scheduler) planGangs(now int64) {
	for key, g := range s.gangs {
		if len(g.workers) == 0 || now-g.plannedMs > s.options.PlatformLimits.GangMs/2 || s.jobs[key.job] == nil {
			delete(s.gangs, key)
		}
	}
	rooms := map[string]*poolRoom{}
	s.moveMembers(rooms, now)
	for _, job := range s.gangJobs {
		for stepIndex := range job.state.Spec.Steps {
			if !job.state.Spec.Steps[stepIndex].Gang {
				continue
			}
			for occurrence := range job.state.Spec.Occurrences() {
				if s.planGang(rooms, job.state, occurrence, stepIndex, now) {
					// Less room is left for the next gang.
					delete(rooms, s.poolOf(job.state))
				}
			}
		}
	}
}

// planGang plans a gang if it could start and its workers have room, and reports whether it did.
func (s *Scheduler) planGang(rooms map[string]*poolRoom, j *jobs.Job, occurrence, stepIndex int, now int64) bool {
	key := stepKey{job: j.Spec.ID, occurrence: occurrence, step: stepIndex}
	due := j.Spec.DueMs(occurrence)
	if s.gangs[key] != nil || j.StepTasksLeft(occurrence, stepIndex) == 0 || !j.StepOpen(occurrence, stepIndex) ||
		(due > 0 && s.wallMs() < due) {
		return false
	}
	attempt := s.nextGangAttempt(j, occurrence, stepIndex)
	if attempt == 0 {
		// A former attempt still runs somewhere; its workers end it when a member is gone.
		return false
	}
	step, pool := &j.Spec.Steps[stepIndex], s.poolOf(j)
	if rooms[pool] == nil {
		rooms[pool] = s.roomOf(pool, now)
	}
	if !rooms[pool].holds(step) {
		return false
	}
	g := &gangPlan{
		attempt: attempt, workers: map[batch.TaskID]string{}, tickets: map[batch.TaskID]string{}, plannedMs: now,
		need: step.ReservedResources(),
	}
	if !s.placeGang(j, occurrence, stepIndex, g, rooms[pool], now) {
		return false
	}
	s.gangs[key] = g
	s.options.Logger.Info("gang_planned", zap.String("job", j.Spec.ID), zap.Int("step", stepIndex), zap.Int("attempt", g.attempt),
		zap.Int("members", step.Count))
	return true
}

// nextGangAttempt returns the number of a gang's next attempt, 0 while a former one may run.
func (s *Scheduler) nextGangAttempt(j *jobs.Job, occurrence, stepIndex int) int {
	attempt, first := 0, j.FirstTask(occurrence, stepIndex)
	for i := range j.Spec.Steps[stepIndex].Count {
		t := &j.Tasks[first+i]
		if len(t.Attempts) > 0 || s.starting[batch.TaskID{Job: j.Spec.ID, Occurrence: occurrence, Step: stepIndex, Index: i}] {
			return 0
		}
		attempt = max(attempt, t.LastAttempt+1)
	}
	return attempt
}

// gangBroken reports whether a member of a gang's attempt has ended, so that the other members can't continue.
func gangBroken(j *jobs.Job, id batch.TaskID, attempt int) bool {
	first := j.FirstTask(id.Occurrence, id.Step)
	for i := range j.Spec.Steps[id.Step].Count {
		if t := &j.Tasks[first+i]; t.LastAttempt == attempt && len(t.Attempts) == 0 {
			return true
		}
	}
	return false
}

// poolRoom holds the workers of a pool that take new tasks, in a fixed order, and what the planned gangs leave free.
type poolRoom struct {
	ids     []string
	workers map[string]*worker
	free    map[string]batch.Resources
	racks   []string
}

func (s *Scheduler) roomOf(pool string, now int64) *poolRoom {
	room := &poolRoom{workers: map[string]*worker{}, free: map[string]batch.Resources{}}
	for id, w := range s.workers {
		if w.pool == pool && w.usable(now) && !w.onProbation(now) && !w.keptFree && now-w.heardMs < leaseMs && !s.fleet.leaving(w) {
			room.ids, room.workers[id], room.free[id] = append(room.ids, id), w, w.free
		}
	}
	slices.Sort(room.ids)
	for _, other := range s.gangs {
		for _, id := range other.workers {
			room.free[id] = room.free[id].Sub(other.need)
		}
	}
	room.racks = s.racksOf(room.ids)
	return room
}

// holds reports whether there are resources for all members of a gang at once.
func (r *poolRoom) holds(step *batch.Step) bool {
	need, members := step.ReservedResources(), 0
	for _, id := range r.ids {
		if step.RequiredLabel != "" && !slices.Contains(r.workers[id].labels, step.RequiredLabel) {
			continue
		}
		free := r.free[id]
		for count := 0; free.Covers(need) && (step.MaxPerWorker == 0 || count < step.MaxPerWorker); count++ {
			if members++; members == step.Count {
				return true
			}
			free = free.Sub(need)
		}
	}
	return false
}

// placeGang finds a worker for each member: all in one rack if the step requests it and a rack has enough free
// resources, otherwise across racks.
func (s *Scheduler) placeGang(j *jobs.Job, occurrence, stepIndex int, g *gangPlan, room *poolRoom, now int64) bool {
	step := &j.Spec.Steps[stepIndex]
	racks := []string{""}
	if step.SameRack {
		racks = append(slices.Clone(room.racks), "")
	}
	for _, rack := range racks {
		if s.placeMembers(j, occurrence, stepIndex, g, room.ids, room.free, rack, now) {
			return true
		}
	}
	return false
}

// racksOf returns the distinct racks of workers.
func (s *Scheduler) racksOf(ids []string) []string {
	var all []string
	for _, id := range ids {
		if r := s.workers[id].rack; !slices.Contains(all, r) {
			all = append(all, r)
		}
	}
	return all
}

// placeMembers assigns all members to workers, of one rack unless rack is empty, and reports whether every member
// was placed.
func (s *Scheduler) placeMembers(j *jobs.Job, occurrence, stepIndex int, g *gangPlan,
	ids []string, free map[string]batch.Resources, rack string, now int64,
) bool {
	step := &j.Spec.Steps[stepIndex]
	left := map[string]batch.Resources{}
	clear(g.workers)
	index := 0
	job := &activeJob{state: j}
	for _, id := range ids {
		w := s.workers[id]
		if rack != "" && w.rack != rack {
			continue
		}
		left[id] = free[id]
		for count := 0; index < step.Count && left[id].Covers(step.ReservedResources()) && (step.MaxPerWorker == 0 || count < step.MaxPerWorker); count++ {
			task := batch.TaskID{Job: j.Spec.ID, Occurrence: occurrence, Step: stepIndex, Index: index}
			ticket, ok := s.mayRunIn(left[id], w, job, task, now)
			if !ok {
				break
			}
			left[id] = left[id].Sub(step.ReservedResources())
			g.workers[task], g.tickets[task] = id, ticket
			index++
		}
	}
	return index == step.Count
}

// mayRunIn reports whether a worker may run a task now in a part of its resources, and with which ticket.
func (s *Scheduler) mayRunIn(free batch.Resources, w *worker, job *activeJob, id batch.TaskID, now int64) (ticket string, ok bool) {
	saved := w.free
	w.free = free
	ticket, ok = s.mayRun(w, job, id, &job.state.Spec.Steps[id.Step], now)
	w.free = saved
	return ticket, ok
}

// moveMembers plans members on other workers if theirs takes no tasks any more, or has become too small for all that
// are planned on it.
func (s *Scheduler) moveMembers(rooms map[string]*poolRoom, now int64) {
	for key, g := range s.gangs {
		j := s.jobs[key.job].state
		pool := s.poolOf(j)
		if rooms[pool] == nil {
			rooms[pool] = s.roomOf(pool, now)
		}
		for i := range j.Spec.Steps[key.step].Count {
			id := batch.TaskID{Job: key.job, Occurrence: key.occurrence, Step: key.step, Index: i}
			if from, planned := g.workers[id]; planned && !rooms[pool].takesPlanned(from) {
				s.moveMember(j, g, id, rooms[pool], now)
			}
		}
	}
}

// takesPlanned reports whether a worker takes new tasks and has resources for all members that are planned on it.
func (r *poolRoom) takesPlanned(id string) bool {
	return r.workers[id] != nil && r.free[id].Covers(batch.Resources{})
}

// moveMember plans a member on the first other worker that may run it, of the same rack if the step requests it and there
// is one.
func (s *Scheduler) moveMember(j *jobs.Job, g *gangPlan, id batch.TaskID, room *poolRoom, now int64) {
	step, from, candidates := &j.Spec.Steps[id.Step], g.workers[id], room.ids
	if former := s.workers[from]; former != nil && step.SameRack {
		candidates = room.inRackFirst(former.rack)
	}
	for _, to := range candidates {
		w := room.workers[to]
		if step.MaxPerWorker > 0 && s.countOn(w, j, id)+g.plannedOn(to) >= step.MaxPerWorker {
			continue
		}
		ticket, ok := s.mayRunIn(room.free[to], w, &activeJob{state: j}, id, now)
		if !ok {
			continue
		}
		s.options.Logger.Info("gang_member_moved", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("index", id.Index),
			zap.Int("attempt", g.attempt), zap.String("from", from), zap.String("to", to))
		room.free[from], room.free[to] = room.free[from].Add(g.need), room.free[to].Sub(g.need)
		g.workers[id], g.tickets[id] = to, ticket
		return
	}
}

// inRackFirst returns the workers, those of a rack before the others.
func (r *poolRoom) inRackFirst(rack string) []string {
	var within, others []string
	for _, id := range r.ids {
		if r.workers[id].rack == rack {
			within = append(within, id)
		} else {
			others = append(others, id)
		}
	}
	return append(within, others...)
}

// plannedOn returns how many members are planned on a worker.
func (g *gangPlan) plannedOn(worker string) int {
	count := 0
	for _, id := range g.workers {
		if id == worker {
			count++
		}
	}
	return count
}

// assignGangs starts the members that are planned on a worker and fit its free resources.
func (s *Scheduler) assignGangs(w *worker, sequence uint64) []batch.StartOrder {
	var orders []batch.StartOrder
	for _, g := range s.gangs {
		for id, workerID := range g.workers {
			j, t := s.findTask(id)
			if workerID != w.id || t == nil || !w.free.Covers(g.need) {
				continue
			}
			delete(g.workers, id)
			orders = append(orders, s.startAttempt(w, j, id, g.tickets[id], sequence))
		}
	}
	return orders
}
