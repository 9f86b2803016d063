package sched

import (
	"slices"

	"cowslipstack/internal/model/batch"
)

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
