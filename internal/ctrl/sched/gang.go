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
	for _, job := range s.gangJobs {
		for stepIndex := range job.state.Spec.Steps {
			if !job.state.Spec.Steps[stepIndex].Gang {
				continue
			}
			for occurrence := range job.state.Spec.Occurrences() {
				s.planGang(job.state, occurrence, stepIndex, now)
			}
		}
	}
}

func (s *Scheduler) planGang(j *jobs.Job, occurrence, stepIndex int, now int64) {
	key := stepKey{job: j.Spec.ID, occurrence: occurrence, step: stepIndex}
	due := j.Spec.DueMs(occurrence)
	if s.gangs[key] != nil || j.StepTasksLeft(occurrence, stepIndex) == 0 || !j.StepOpen(occurrence, stepIndex) ||
		(due > 0 && s.wallMs() < due) {
		return
	}
	step, first := &j.Spec.Steps[stepIndex], j.FirstTask(occurrence, stepIndex)
	g := &gangPlan{workers: map[batch.TaskID]string{}, tickets: map[batch.TaskID]string{}, plannedMs: now, need: step.ReservedResources()}
	for i := range step.Count {
		t := &j.Tasks[first+i]
		id := batch.TaskID{Job: j.Spec.ID, Occurrence: occurrence, Step: stepIndex, Index: i}
		if len(t.Attempts) > 0 || s.starting[id] {
			// A former attempt still runs somewhere; its workers end it when a member is gone.
			return
		}
		g.attempt = max(g.attempt, t.LastAttempt+1)
	}
	if !s.placeGang(j, occurrence, stepIndex, g, now) {
		return
	}
	s.gangs[key] = g
	s.options.Logger.Info("gang_planned", zap.String("job", j.Spec.ID), zap.Int("step", stepIndex), zap.Int("attempt", g.attempt),
		zap.Int("members", step.Count))
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
func (s *Scheduler) placeGang(j *jobs.Job, occurrence, stepIndex int, g *gangPlan, now int64) bool {
	step := &j.Spec.Steps[stepIndex]
	free := map[string]batch.Resources{}
	var ids []string
	pool := s.poolOf(j)
	for id, w := range s.workers {
		if w.pool == pool && w.usable(now) && !w.onProbation(now) && now-w.heardMs < leaseMs && !s.fleet.leaving(w) {
			ids = append(ids, id)
			free[id] = w.free
		}
	}
	slices.Sort(ids)
	for _, other := range s.gangs {
		for _, id := range other.workers {
			free[id] = free[id].Sub(other.need)
		}
	}
	racks := []string{""}
	if step.SameRack {
		racks = append(s.racksOf(ids), "")
	}
	for _, rack := range racks {
		if s.placeMembers(j, occurrence, stepIndex, g, ids, free, rack, now) {
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
			saved := w.free
			w.free = left[id]
			ticket, ok := s.mayRun(w, job, task, step, now)
			w.free = saved
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
