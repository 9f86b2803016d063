package place

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// preempt starts a job on the worker where the fewest jobs give way to it: jobs of teams that borrowed beyond their quota
// or, for an urgent job of a team that has used up its quota, the team's own jobs that can wait.
func (v *view) preempt(j fleet.Job, size fleet.Size, inQuota bool) ([]record.Action, bool) {
	var best *worker
	var victims []fleet.Job
	for _, w := range v.pools[j.Pool] {
		if !v.accepts(w, j) || !fits(size, w.Size) {
			continue
		}
		if jobs, ok := v.findVictims(w, j, size, inQuota); ok && (best == nil || len(jobs) < len(victims)) {
			best, victims = w, jobs
		}
	}
	if best == nil {
		return nil, false
	}
	var actions []record.Action
	for _, victim := range victims {
		actions = append(actions, v.preemptJob(best, victim, j, size))
	}
	rule := "a job within its team's quota takes back what others borrowed"
	if j.Urgent {
		rule = "an urgent job starts in the place of what can wait"
	}
	return append(actions, v.place(best, j, rule)), true
}

// findVictims returns the jobs to preempt on a worker, those of the teams furthest beyond their quota first, then the
// youngest. It returns false if preemption can't free enough room there.
func (v *view) findVictims(w *worker, j fleet.Job, size fleet.Size, inQuota bool) ([]fleet.Job, bool) {
	candidates := slices.DeleteFunc(slices.Clone(w.jobs), func(victim fleet.Job) bool { return !v.preemptible(victim, j, inQuota) })
	slices.SortStableFunc(candidates, func(a, b fleet.Job) int {
		return cmp.Or(cmp.Compare(v.quotaUse(b.Team), v.quotaUse(a.Team)), b.Since.Compare(a.Since), cmp.Compare(a.Name, b.Name))
	})
	free := w.free
	usage := map[string]fleet.Size{}
	for i, victim := range candidates {
		if fits(size, free) {
			return candidates[:i], true
		}
		held := v.allocation(victim)
		usage[victim.Team] = add(usage[victim.Team], held)
		if victim.Team != j.Team && !v.overQuotaBefore(victim.Team, usage[victim.Team], held) {
			return nil, false
		}
		if j.Urgent && fits(fleet.Size{MemoryMB: size.MemoryMB, Accelerators: size.Accelerators}, free) {
			held = fleet.Size{Cores: held.Cores}
		}
		free = add(free, held)
	}
	return candidates, fits(size, free)
}

// preemptible reports whether victim may give way to job j: it can wait, and its team is beyond its quota or is j's own
// team and j is urgent.
func (v *view) preemptible(victim, j fleet.Job, inQuota bool) bool {
	if victim.Urgent || !victim.Checkpoint || isRunner(victim) || victim.Phase != fleet.JobRunning {
		return false
	}
	if victim.Team == j.Team {
		return j.Urgent
	}
	return inQuota && v.quotaUse(victim.Team) > thousand
}

// overQuotaBefore reports whether a team was beyond its quota before it gave up the last of the given jobs.
func (v *view) overQuotaBefore(team string, given, last fleet.Size) bool {
	u, q := subtract(add(v.usage[team], last), given), v.quotas[team]
	return u.Cores > q.Cores || u.Accelerators > q.Accelerators
}

// preemptJob throttles victim if the urgent job j fits beside its memory, and checkpoints it otherwise.
func (v *view) preemptJob(w *worker, victim, j fleet.Job, size fleet.Size) record.Action {
	step := record.JobCheckpoint
	before := v.allocation(victim)
	if rest := (fleet.Size{MemoryMB: size.MemoryMB, Accelerators: size.Accelerators}); j.Urgent && fits(rest, w.free) {
		step = record.JobThrottle
		before = fleet.Size{Cores: before.Cores}
	}
	w.free = add(w.free, before)
	v.usage[victim.Team] = subtract(v.usage[victim.Team], before)
	return jobAction(record.JobChange{Step: step, Names: []string{victim.Name}, Attempt: victim.Attempt}, record.Reason{
		Inputs: fmt.Sprintf("team %s at %d thousandths of its quota; job %s needs %s", victim.Team, v.quotaUse(victim.Team), j.Name, formatSize(size)),
		Rule:   "what can wait gives way inside the quotas, before any VM moves",
		Change: "the other job ends, or a VM gets room",
	})
}

// restore gives throttled jobs their processor time back on workers with enough free cores.
func (v *view) restore() []record.Action {
	var actions []record.Action
	for _, w := range v.workers {
		for _, j := range w.jobs {
			cores := fleet.Size{Cores: v.estimate(j).Cores}
			if j.Phase != fleet.JobThrottled || isRunner(j) || !fits(cores, w.free) {
				continue
			}
			w.free = subtract(w.free, cores)
			actions = append(actions, jobAction(record.JobChange{Step: record.JobRestore, Names: []string{j.Name}, Attempt: j.Attempt}, record.Reason{
				Inputs: "VM " + w.Name + " has room again", Rule: "a throttled job gets its processor time back", Change: "an urgent job",
			}))
		}
	}
	return actions
}
