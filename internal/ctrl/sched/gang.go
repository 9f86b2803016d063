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
	// account is the client account of the job, and charged what each member counts for it.
	account string
	charged batch.Resources
	// begun is set once a member was ordered.
	begun bool
}

// dropGangPlan drops the plan of a gang, with the members that weren't ordered.
func (s *Scheduler) dropGangPlan(key stepKey, g *gangPlan) {
	s.accounts.Unplan(g.account, g.charged, len(g.workers))
	delete(s.gangs, key)
}

// planGangs plans gangs that could start, and drops plans that weren't carried out in time.
func (s *Scheduler) planGangs(now int64) {
	for key, g := range s.gangs {
		if len(g.workers) == 0 || now-g.plannedMs > s.options.PlatformLimits.GangMs/2 || s.jobs[key.job] == nil {
			s.dropGangPlan(key, g)
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
	if !s.mayHoldMore(j, batch.TaskID{Step: stepIndex}, step.Count) {
		return false
	}
	if rooms[pool] == nil {
		rooms[pool] = s.roomOf(pool, now)
	}
	if !rooms[pool].holds(step) {
		return false
	}
	g := &gangPlan{
		attempt: attempt, workers: map[batch.TaskID]string{}, tickets: map[batch.TaskID]string{}, plannedMs: now,
		need: step.ReservedResources(), account: j.Spec.Account, charged: step.Need,
	}
	if !s.placeGang(j, occurrence, stepIndex, g, rooms[pool], now) {
		return false
	}
	s.gangs[key] = g
	s.accounts.Plan(g.account, g.charged, len(g.workers))
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

// assignGangs starts the members that are planned on a worker and fit its free resources.
func (s *Scheduler) assignGangs(w *worker, sequence uint64) []batch.StartOrder {
	var orders []batch.StartOrder
	for _, g := range s.gangs {
		if s.awaitsAbandoned(g) {
			continue
		}
		for id, workerID := range g.workers {
			j, t := s.findTask(id)
			if workerID != w.id || t == nil || !w.free.Covers(g.need) {
				continue
			}
			if !g.begun && !s.mayBeginGang(j, g, id) {
				continue
			}
			g.begun = true
			s.accounts.Unplan(g.account, g.charged, 1)
			delete(g.workers, id)
			orders = append(orders, s.startAttempt(w, j, id, g.tickets[id], sequence))
		}
	}
	return orders
}

// mayBeginGang reports whether the limit of an account still allows all members of a gang that is planned: it may have been
// lowered since, or an attempt that was given up still runs. Once a member is ordered the others follow whatever the limit, since
// they would wait for those that don't come.
func (s *Scheduler) mayBeginGang(j *jobs.Job, g *gangPlan, id batch.TaskID) bool {
	s.accounts.Unplan(g.account, g.charged, len(g.workers))
	defer s.accounts.Plan(g.account, g.charged, len(g.workers))
	return s.mayHoldMore(j, id, len(g.workers))
}

// awaitsAbandoned reports whether a given-up attempt of a planned member may still run.
func (s *Scheduler) awaitsAbandoned(g *gangPlan) bool {
	for id := range g.workers {
		if s.abandoned[id] > 0 {
			return true
		}
	}
	return false
}
