package sched

import "cowslipstack/internal/model/batch"

// Held returns what the scheduler counts for an account.
func (s *Scheduler) Held(account string) batch.Resources {
	return s.accounts.Held(account)
}

// HeldOn is an attempt of a task that a worker lists though it was given up.
type HeldOn struct {
	Task   batch.TaskID
	Worker string
}

// HeldTasks returns the task of each attempt that counts for its account: those in the replicated state, the proposed, those that
// were given up and may run on, and the planned members of gangs. givenUp holds those given up, with their workers.
func (s *Scheduler) HeldTasks() (all []batch.TaskID, givenUp map[HeldOn]bool) {
	givenUp = map[HeldOn]bool{}
	for _, j := range s.options.Log.Batch().Jobs() {
		for index := range j.Tasks {
			for range j.Tasks[index].Attempts {
				all = append(all, j.TaskID(index))
			}
		}
	}
	for id := range s.starting {
		all = append(all, id)
	}
	for _, w := range s.workers {
		for id := range w.abandoned {
			all = append(all, id)
			givenUp[HeldOn{Task: id, Worker: w.id}] = true
		}
	}
	for _, g := range s.gangs {
		for id := range g.workers {
			all = append(all, id)
		}
	}
	return all, givenUp
}
