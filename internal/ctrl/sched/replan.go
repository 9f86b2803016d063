package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// mayRunIn reports whether a worker may run a task now in a part of its resources, and with which ticket.
func (s *Scheduler) mayRunIn(free batch.Resources, w *worker, job *activeJob, id batch.TaskID, now int64) (ticket string, ok bool) {
	saved := w.free
	w.free = free
	ticket, ok = s.mayRun(w, job, id, now)
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
	// The member counts for its account already, wherever it is planned.
	s.accounts.Unplan(g.account, g.charged, 1)
	defer s.accounts.Plan(g.account, g.charged, 1)
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
