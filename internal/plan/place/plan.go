package place

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// maxStartsPerStep limits the jobs that one planning step starts.
const maxStartsPerStep = 200

// Plan starts waiting jobs, preempts others for urgent jobs and for jobs within their team's quota, and holds jobs that
// fit on no worker.
func Plan(in Input) []record.Action {
	v := newView(in)
	actions := v.checkpointDraining()
	waiting := v.waiting()
	started := 0
	for _, j := range waiting {
		if started == maxStartsPerStep {
			break
		}
		planned, ok := v.startJob(j)
		actions = append(actions, planned...)
		if ok {
			started++
		}
	}
	if len(waiting) == 0 {
		actions = append(actions, v.restore()...)
	}
	return actions
}

// waiting returns the jobs to start: urgent ones first, then those of the teams that use least of their quota, then the
// oldest.
func (v *view) waiting() []fleet.Job {
	var jobs []fleet.Job
	for _, j := range v.Jobs {
		if j.Phase == fleet.JobWaiting && !v.Held[j.Name] && !isRunner(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b fleet.Job) int {
		return cmp.Or(
			compareBool(b.Urgent, a.Urgent), cmp.Compare(v.quotaUse(a.Team), v.quotaUse(b.Team)),
			a.Submitted.Compare(b.Submitted), cmp.Compare(a.Name, b.Name),
		)
	})
	return jobs
}

// quotaUse returns the part of its core quota that a team uses, in thousandths.
func (v *view) quotaUse(team string) int64 {
	return v.usage[team].Cores * thousand / max(1, v.quotas[team].Cores)
}

// startJob places a job on a worker, preempts others for it if it is urgent or within its quota, or holds it with the
// reason if it can never run. It reports whether the job starts.
func (v *view) startJob(j fleet.Job) ([]record.Action, bool) {
	size := v.estimate(j)
	if reason, ok := v.unschedulable(j, size); ok {
		return []record.Action{jobAction(record.JobChange{Step: record.JobHold, Names: []string{j.Name}}, reason)}, false
	}
	inQuota := v.withinQuota(j.Team, size)
	if w := v.bestWorker(j, size); w != nil {
		rule := "the fullest worker that has room, in the rack with the fewest of the team's jobs"
		if !inQuota {
			rule += "; borrowed beyond the team's quota until others need it"
		}
		return []record.Action{v.place(w, j, rule)}, true
	}
	if !inQuota && !j.Urgent {
		return nil, false
	}
	return v.preempt(j, size, inQuota)
}

// unschedulable reports whether and why a job fits on no worker of its pool, even an empty one, or has failed on all that
// it fits on.
func (v *view) unschedulable(j fleet.Job, size fleet.Size) (record.Reason, bool) {
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
			Inputs: fmt.Sprintf("needs %s; the most that a VM of pool %q has is %s", formatSize(size), j.Pool, formatSize(largest)),
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
		// One failure is not enough to hold a job: the only fitting worker is tried again.
		for _, w := range v.pools[j.Pool] {
			delete(v.avoid, [2]string{j.Name, w.Name})
		}
	}
	return record.Reason{}, false
}

// bestWorker returns the worker with the least room left over, as prefers compares them, or nil if none has room.
func (v *view) bestWorker(j fleet.Job, size fleet.Size) *worker {
	var best *worker
	for _, w := range v.pools[j.Pool] {
		if !v.accepts(w, j) || !fits(size, w.free) {
			continue
		}
		if best == nil || v.prefers(j, w, best) {
			best = w
		}
	}
	return best
}

// accepts reports whether a worker takes new jobs and this job did not fail on it recently.
func (v *view) accepts(w *worker, j fleet.Job) bool {
	return w.Phase == fleet.PhaseActive && !v.Reserved[w.Name] && !v.avoid[[2]string{j.Name, w.Name}]
}

// prefers reports whether worker a suits a job better than b: fewer free accelerators, then fewer of the team's jobs in
// its rack, then fewer free cores.
func (v *view) prefers(j fleet.Job, a, b *worker) bool {
	return cmp.Or(
		cmp.Compare(a.free.Accelerators, b.free.Accelerators),
		cmp.Compare(v.rackJobs[teamRack{j.Team, a.Domain}], v.rackJobs[teamRack{j.Team, b.Domain}]),
		cmp.Compare(a.free.Cores, b.free.Cores), cmp.Compare(a.Name, b.Name),
	) < 0
}

func (v *view) place(w *worker, j fleet.Job, rule string) record.Action {
	reason := record.Reason{
		Inputs: fmt.Sprintf("needs %s, VM %s has %s free; team %s uses %d of %d cores", formatSize(v.estimate(j)), w.Name, formatSize(w.free), j.Team, v.usage[j.Team].Cores, v.quotas[j.Team].Cores),
		Rule:   rule, Change: "the job's use, or the team's quota",
	}
	j.Phase, j.VM = fleet.JobRunning, w.Name
	v.assign(w, j)
	return jobAction(record.JobChange{
		Step: record.JobPlace, Names: []string{j.Name}, Attempt: j.Attempt, VM: w.Name, LeaseUntil: v.Now.Add(v.Lease),
	}, reason)
}

// checkpointDraining checkpoints the jobs on draining workers, so that they continue elsewhere.
func (v *view) checkpointDraining() []record.Action {
	var actions []record.Action
	for _, w := range v.workers {
		if w.Phase != fleet.PhaseDraining {
			continue
		}
		for _, j := range w.jobs {
			if j.Checkpoint && !isRunner(j) {
				actions = append(actions, jobAction(record.JobChange{Step: record.JobCheckpoint, Names: []string{j.Name}, Attempt: j.Attempt}, record.Reason{
					Inputs: "VM " + w.Name + " is draining", Rule: "a job with a checkpoint leaves a VM that drains", Change: "the drain is cancelled",
				}))
			}
		}
	}
	return actions
}

// Explain returns why a job waits, or where it would be placed; false means that no job has that name.
func Explain(in Input, name string) (record.Reason, bool) {
	v := newView(in)
	for _, j := range in.Jobs {
		if j.Name != name {
			continue
		}
		if j.Phase != fleet.JobWaiting {
			return record.Reason{Inputs: fmt.Sprintf("%s on %q, attempt %d, in use %s", j.Phase, j.VM, j.Attempt, formatSize(j.Used)), Rule: j.Cause, Change: "cowslip job cancel, hold or release"}, true
		}
		if planned, _ := v.startJob(j); len(planned) > 0 {
			return planned[len(planned)-1].Reason, true
		}
		return record.Reason{
			Inputs: fmt.Sprintf("needs %s; team %s uses %d of %d cores", formatSize(v.estimate(j)), j.Team, v.usage[j.Team].Cores, v.quotas[j.Team].Cores),
			Rule:   "no VM of pool " + j.Pool + " has room, and nothing there gives way to the job",
			Change: "a job that ends, a larger quota or more VMs",
		}, true
	}
	return record.Reason{}, false
}

func isRunner(j fleet.Job) bool {
	return j.Team == fleet.SpareRunnerTeam
}

func formatSize(s fleet.Size) string {
	return fmt.Sprintf("%d cores, %d MB, %d accelerators", s.Cores, s.MemoryMB, s.Accelerators)
}

func jobAction(c record.JobChange, reason record.Reason) record.Action {
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
