package place

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// stepLimit is the most jobs that one step starts.
const stepLimit = 200

// Plan starts waiting jobs, makes room for urgent ones and for those within their quota, and holds what fits nowhere.
func Plan(in Input) []record.Action {
	v := newView(in)
	actions := v.leave()
	waiting := v.waiting()
	started := 0
	for _, j := range waiting {
		if started == stepLimit {
			break
		}
		made, ok := v.start(j)
		actions = append(actions, made...)
		if ok {
			started++
		}
	}
	if len(waiting) == 0 {
		actions = append(actions, v.restore()...)
	}
	return actions
}

// waiting returns the jobs to start: urgent ones first, then by how little of its quota a team uses, then the oldest.
func (v *view) waiting() []fleet.Job {
	var jobs []fleet.Job
	for _, j := range v.Jobs {
		if j.Phase == fleet.JobWaiting && !v.Held[j.Name] && !isRunner(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b fleet.Job) int {
		return cmp.Or(
			compareBool(b.Urgent, a.Urgent), cmp.Compare(v.share(a.Team), v.share(b.Team)),
			a.Submitted.Compare(b.Submitted), cmp.Compare(a.Name, b.Name),
		)
	})
	return jobs
}

// share is the part of its quota that a team uses, in thousandths.
func (v *view) share(team string) int64 {
	return v.usage[team].Cores * thousand / max(1, v.quotas[team].Cores)
}

// start finds a worker for a job, makes room for it where it has the right, or says why it can't ever run.
func (v *view) start(j fleet.Job) ([]record.Action, bool) {
	size := v.estimate(j)
	if reason, ok := v.never(j, size); ok {
		return []record.Action{action(record.JobChange{Step: record.JobHold, Names: []string{j.Name}}, reason)}, false
	}
	within := v.withinQuota(j.Team, size)
	if w := v.best(j, size); w != nil {
		rule := "the fullest worker that has room, in the rack with the fewest of the team's jobs"
		if !within {
			rule += "; borrowed beyond the team's quota until others need it"
		}
		return []record.Action{v.place(w, j, rule)}, true
	}
	if !within && !j.Urgent {
		return nil, false
	}
	return v.makeRoom(j, size, within)
}

// never says why a job fits on no worker of its pool, however empty, or has failed on all that it fits on.
func (v *view) never(j fleet.Job, size fleet.Size) (record.Reason, bool) {
	var largest fleet.Size
	fitting, failed := 0, 0
	for _, w := range v.pools[j.Pool] {
		if fits(size, w.Size) {
			fitting++
			if v.avoid[[2]string{j.Name, w.Name}] {
				failed++
			}
		}
		largest.Cores = max(largest.Cores, w.Size.Cores)
		largest.MemoryMB = max(largest.MemoryMB, w.Size.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, w.Size.Accelerators)
	}
	switch {
	case fitting == 0:
		return record.Reason{
			Inputs: fmt.Sprintf("needs %s; the most that a VM of pool %q has is %s", text(size), j.Pool, text(largest)),
			Rule:   "a job that fits on no VM of its pool, however empty, is held at once",
			Change: "a larger VM in the pool, or a smaller job, and cowslip job release",
		}, true
	case failed == fitting && failed > 1:
		return record.Reason{
			Inputs: fmt.Sprintf("fits on %d VMs of pool %q and has failed on each", fitting, j.Pool),
			Rule:   "a job that failed on every VM that it fits on is held",
			Change: "cowslip job release, once the job is mended",
		}, true
	case failed == fitting:
		// One failure is not enough: the only worker is tried again.
		for _, w := range v.pools[j.Pool] {
			delete(v.avoid, [2]string{j.Name, w.Name})
		}
	}
	return record.Reason{}, false
}

// best returns the worker with the least room left over; nil where none has room.
func (v *view) best(j fleet.Job, size fleet.Size) *worker {
	var best *worker
	for _, w := range v.pools[j.Pool] {
		if !v.takes(w, j) || !fits(size, w.free) {
			continue
		}
		if best == nil || v.better(j, w, best) {
			best = w
		}
	}
	return best
}

// takes says whether a worker takes new jobs, this one among them.
func (v *view) takes(w *worker, j fleet.Job) bool {
	return w.Phase == fleet.PhaseActive && !v.Reserved[w.Name] && !v.avoid[[2]string{j.Name, w.Name}]
}

func (v *view) better(j fleet.Job, a, b *worker) bool {
	return cmp.Or(
		cmp.Compare(a.free.Accelerators, b.free.Accelerators),
		cmp.Compare(v.crowd[crowdKey{j.Team, a.Domain}], v.crowd[crowdKey{j.Team, b.Domain}]),
		cmp.Compare(a.free.Cores, b.free.Cores), cmp.Compare(a.Name, b.Name),
	) < 0
}

func (v *view) place(w *worker, j fleet.Job, rule string) record.Action {
	reason := record.Reason{
		Inputs: fmt.Sprintf("needs %s, VM %s has %s free; team %s uses %d of %d cores", text(v.estimate(j)), w.Name, text(w.free), j.Team, v.usage[j.Team].Cores, v.quotas[j.Team].Cores),
		Rule:   rule, Change: "the job's use, or the team's quota",
	}
	j.Phase, j.VM = fleet.JobRunning, w.Name
	v.put(w, j)
	return action(record.JobChange{
		Step: record.JobPlace, Names: []string{j.Name}, Attempt: j.Attempt, VM: w.Name, LeaseUntil: v.Now.Add(v.Lease),
	}, reason)
}

// leave checkpoints what stands on workers that drain, so that it goes on elsewhere.
func (v *view) leave() []record.Action {
	var actions []record.Action
	for _, w := range v.workers {
		if w.Phase != fleet.PhaseDraining {
			continue
		}
		for _, j := range w.jobs {
			if j.Checkpoint && !isRunner(j) {
				actions = append(actions, action(record.JobChange{Step: record.JobCheckpoint, Names: []string{j.Name}, Attempt: j.Attempt}, record.Reason{
					Inputs: "VM " + w.Name + " is draining", Rule: "a job with a checkpoint leaves a VM that drains", Change: "the drain is cancelled",
				}))
			}
		}
	}
	return actions
}

// Explain returns why a job waits, or where it would go.
func Explain(in Input, name string) (record.Reason, bool) {
	v := newView(in)
	for _, j := range in.Jobs {
		if j.Name != name {
			continue
		}
		if j.Phase != fleet.JobWaiting {
			return record.Reason{Inputs: fmt.Sprintf("%s on %q, attempt %d, in use %s", j.Phase, j.VM, j.Attempt, text(j.Used)), Rule: j.Cause, Change: "cowslip job cancel, hold or release"}, true
		}
		if made, _ := v.start(j); len(made) > 0 {
			return made[len(made)-1].Reason, true
		}
		return record.Reason{
			Inputs: fmt.Sprintf("needs %s; team %s uses %d of %d cores", text(v.estimate(j)), j.Team, v.usage[j.Team].Cores, v.quotas[j.Team].Cores),
			Rule:   "no VM of pool " + j.Pool + " has room, and nothing there gives way to the job",
			Change: "a job that ends, a larger quota or more VMs",
		}, true
	}
	return record.Reason{}, false
}

func isRunner(j fleet.Job) bool {
	return j.Team == fleet.RunnerTeam
}

func text(s fleet.Size) string {
	return fmt.Sprintf("%d cores, %d MB, %d accelerators", s.Cores, s.MemoryMB, s.Accelerators)
}

func action(c record.JobChange, reason record.Reason) record.Action {
	c.Cause = reason.String()
	return record.Action{Reason: reason, Command: record.Command{Job: &c}}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
