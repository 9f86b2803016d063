package place

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// makeRoom lets the fewest jobs give way on one worker: what others borrowed, or, for an urgent job of a
// team that has used its quota up, the team's own jobs that can wait.
func (v *view) makeRoom(j fleet.Job, size fleet.Size, within bool) ([]record.Action, bool) {
	var best *worker
	var give []fleet.Job
	for _, w := range v.pools[j.Pool] {
		if !v.takes(w, j) || !fits(size, w.Size) {
			continue
		}
		if jobs, ok := v.giveWay(w, j, size, within); ok && (best == nil || len(jobs) < len(give)) {
			best, give = w, jobs
		}
	}
	if best == nil {
		return nil, false
	}
	var actions []record.Action
	for _, g := range give {
		actions = append(actions, v.yield(best, g, j, size))
	}
	rule := "a job within its team's quota takes back what others borrowed"
	if j.Urgent {
		rule = "an urgent job starts in the place of what can wait"
	}
	return append(actions, v.place(best, j, rule)), true
}

// giveWay returns the jobs of a worker that must give way, those of the teams furthest beyond their quota and the youngest first.
func (v *view) giveWay(w *worker, j fleet.Job, size fleet.Size, within bool) ([]fleet.Job, bool) {
	candidates := slices.DeleteFunc(slices.Clone(w.jobs), func(g fleet.Job) bool { return !v.gives(g, j, within) })
	slices.SortStableFunc(candidates, func(a, b fleet.Job) int {
		return cmp.Or(cmp.Compare(v.share(b.Team), v.share(a.Team)), b.Since.Compare(a.Since), cmp.Compare(a.Name, b.Name))
	})
	free := w.free
	usage := map[string]fleet.Size{}
	for i, g := range candidates {
		if fits(size, free) {
			return candidates[:i], true
		}
		held := v.holds(g)
		usage[g.Team] = plus(usage[g.Team], held)
		if g.Team != j.Team && !v.beyond(g.Team, usage[g.Team], held) {
			return nil, false
		}
		if j.Urgent && fits(fleet.Size{MemoryMB: size.MemoryMB, Accelerators: size.Accelerators}, free) {
			held = fleet.Size{Cores: held.Cores}
		}
		free = plus(free, held)
	}
	return candidates, fits(size, free)
}

// gives says whether one job gives way to another: it can wait, and its team has borrowed or is the same.
func (v *view) gives(g, j fleet.Job, within bool) bool {
	if g.Urgent || !g.Checkpoint || isRunner(g) || g.Phase != fleet.JobRunning {
		return false
	}
	if g.Team == j.Team {
		return j.Urgent
	}
	return within && v.share(g.Team) > thousand
}

// beyond says whether a team was beyond its quota before the last of the jobs that it gives up.
func (v *view) beyond(team string, given, last fleet.Size) bool {
	u, q := minus(plus(v.usage[team], last), given), v.quotas[team]
	return u.Cores > q.Cores || u.Accelerators > q.Accelerators
}

// yield throttles a job for an urgent one that fits beside its memory, or checkpoints it.
func (v *view) yield(w *worker, g, j fleet.Job, size fleet.Size) record.Action {
	step := record.JobCheckpoint
	before := v.holds(g)
	if rest := (fleet.Size{MemoryMB: size.MemoryMB, Accelerators: size.Accelerators}); j.Urgent && fits(rest, w.free) {
		step = record.JobThrottle
		before = fleet.Size{Cores: before.Cores}
	}
	w.free = plus(w.free, before)
	v.usage[g.Team] = minus(v.usage[g.Team], before)
	return action(record.JobChange{Step: step, Names: []string{g.Name}, Attempt: g.Attempt}, record.Reason{
		Inputs: fmt.Sprintf("team %s at %d thousandths of its quota; job %s needs %s", g.Team, v.share(g.Team), j.Name, text(size)),
		Rule:   "what can wait gives way inside the quotas, before any VM moves",
		Change: "the other job ends, or a VM gets room",
	})
}

// restore gives throttled jobs their processor time back where there is room.
func (v *view) restore() []record.Action {
	var actions []record.Action
	for _, w := range v.workers {
		for _, j := range w.jobs {
			cores := fleet.Size{Cores: v.estimate(j).Cores}
			if j.Phase != fleet.JobThrottled || isRunner(j) || !fits(cores, w.free) {
				continue
			}
			w.free = minus(w.free, cores)
			actions = append(actions, action(record.JobChange{Step: record.JobRestore, Names: []string{j.Name}, Attempt: j.Attempt}, record.Reason{
				Inputs: "VM " + w.Name + " has room again", Rule: "a throttled job gets its processor time back", Change: "an urgent job",
			}))
		}
	}
	return actions
}
