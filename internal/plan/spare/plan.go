package spare

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

const (
	// runnerMemoryMB is the memory that a throttled, loaded runner keeps.
	runnerMemoryMB = 12_000
	// fullPercent is the load of a pool from which it is given spare runners.
	fullPercent = 85
	// calmPercent is the load below which it gives them back.
	calmPercent = 60
	// calmTime is how long a spare runner runs at least, so that noise doesn't toggle it.
	calmTime = 10 * time.Second
	// dropTime is how long a runner must have been throttled before its VM is let go.
	dropTime = 10 * time.Minute
	// RunnerLease is how long a spare runner goes on without its lease being renewed.
	RunnerLease = time.Hour
	// lostTime is how long a VM is lost before a spare one takes its place in the pool.
	lostTime = 30 * time.Minute
	// WorkReplace names a move that replaces a lost VM.
	WorkReplace = "replace"
)

// Plan holds spare VMs, loads throttled runners on them, and gives them to the pools that are full.
func Plan(in Input) []record.Action {
	v := newView(in)
	s := v.size()
	held := v.spares[:s.Held]
	actions := v.load(held, s.Reason)
	actions = append(actions, v.serve()...)
	actions = append(actions, v.drop(held)...)
	return append(actions, v.replace()...)
}

// RunnerName names the job of a service's runner on a spare VM.
func RunnerName(service, vm string) string {
	return "runner." + service + "." + vm
}

// runnerService returns the service of a spare runner's job.
func runnerService(j fleet.Job) string {
	return strings.TrimSuffix(strings.TrimPrefix(j.Name, "runner."), "."+j.VM)
}

// load makes and places the runners that held VMs lack; a new one is throttled as soon as it stands.
func (v *view) load(held []fleet.VM, reason record.Reason) []record.Action {
	var actions []record.Action
	known := map[string]fleet.Job{}
	for _, j := range v.Jobs {
		if j.Team == fleet.RunnerTeam {
			known[j.Name] = j
		}
	}
	services := v.services()
	for i, m := range held {
		room := min(len(services), max(1, int(m.Size.MemoryMB/runnerMemoryMB)))
		for k := range room {
			// VMs start at different services, so that each service has runners where memory holds only some.
			name := RunnerName(services[(i*room+k)%len(services)], m.Name)
			j, ok := known[name]
			switch {
			case !ok && len(v.runners[m.Name]) < room:
				actions = append(actions, jobAction(record.JobChange{Step: record.JobSubmit, Names: []string{name}, Job: fleet.Job{
					Name: name, Team: fleet.RunnerTeam, Pool: m.Pool, Checkpoint: true, Declared: fleet.Size{MemoryMB: runnerMemoryMB},
				}}, reason))
			case ok && j.Phase == fleet.JobWaiting:
				actions = append(actions, jobAction(record.JobChange{
					Step: record.JobPlace, Names: []string{name}, Attempt: j.Attempt, VM: m.Name, LeaseUntil: v.Now.Add(RunnerLease),
				}, reason))
			}
		}
	}
	return actions
}

// services returns the services of all pools, those of the pools that are shortest of VMs first.
func (v *view) services() []string {
	order := make([]int, len(v.Pools))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return (v.Pools[b].Need - v.active[b]) - (v.Pools[a].Need - v.active[a])
	})
	var services []string
	for _, i := range order {
		services = append(services, v.Pools[i].Services...)
	}
	return services
}

// serve restores runners for pools that are full and throttles them where it is calm.
func (v *view) serve() []record.Action {
	var actions []record.Action
	running := map[string]fleet.Job{}
	byService := map[string][]fleet.Job{}
	for _, m := range v.spares {
		for _, j := range v.runners[m.Name] {
			service := runnerService(j)
			byService[service] = append(byService[service], j)
			if j.Phase == fleet.JobRunning && j.Version > firstVersion {
				running[m.Name] = j
			}
		}
	}
	for i, p := range v.Pools {
		given := 0
		for _, s := range p.Services {
			for _, j := range byService[s] {
				if running[j.VM].Name == j.Name {
					given++
				}
			}
		}
		for _, s := range p.Services {
			actions = append(actions, v.balance(p, v.active[i]+given, byService[s], running)...)
		}
	}
	return actions
}

// firstVersion is the version of a runner's job that was just placed, and is to be throttled.
const firstVersion = 2

// balance restores or throttles the runners of one service.
func (v *view) balance(p Pool, have int, runners []fleet.Job, running map[string]fleet.Job) []record.Action {
	var actions []record.Action
	full := p.NowMilli*percent > int64(have)*thousand*fullPercent
	// Waiting within the deadline carries the rest, so that a surge that can wait toggles nothing.
	wanted := min(ceilVMs(p.NowMilli*percent/fullPercent), p.Need) - have
	for _, j := range runners {
		occupied := running[j.VM]
		switch {
		case j.Phase == fleet.JobRunning && occupied.Name != j.Name:
			actions = append(actions, runnerAction(j, record.JobThrottle, "a spare runner is loaded and throttled until it is needed", p, have))
		case j.Phase == fleet.JobThrottled && occupied.Name == "" && full && wanted > 0:
			wanted--
			running[j.VM] = j
			actions = append(actions, runnerAction(j, record.JobRestore, "a full pool is given a spare runner", p, have))
		case j.Phase == fleet.JobRunning && v.Now.Sub(j.Since) >= calmTime && calm(p, have):
			have--
			actions = append(actions, runnerAction(j, record.JobThrottle, "a pool that is calm again gives its spare runner back", p, have))
		}
	}
	return actions
}

// calm says whether a pool would be far from full with one runner less.
func calm(p Pool, have int) bool {
	return p.NowMilli*percent <= int64(have-1)*thousand*calmPercent
}

// drop ends the runners of VMs that are no longer held, once they have been throttled for long.
func (v *view) drop(held []fleet.VM) []record.Action {
	kept := map[string]bool{}
	for _, m := range held {
		kept[m.Name] = true
	}
	var names []string
	for _, m := range v.VMs {
		for _, j := range v.runners[m.Name] {
			gone := !v.SparePools[m.Pool] || m.Phase == fleet.PhaseDraining
			long := j.Phase == fleet.JobThrottled && v.Now.Sub(j.Since) >= dropTime
			if gone || (long && m.Phase == fleet.PhaseActive && !kept[m.Name]) {
				names = append(names, j.Name)
			}
		}
	}
	if len(names) == 0 {
		return nil
	}
	reason := record.Reason{Inputs: fmt.Sprintf("%d VMs held", len(held)), Rule: "a VM that is not held as spare, or leaves, keeps no runner"}
	return []record.Action{jobAction(record.JobChange{Step: record.JobCancel, Names: names}, reason)}
}

// replace moves a spare VM to a pool that lost one for long and is short of VMs without it.
func (v *view) replace() []record.Action {
	var actions []record.Action
	lost, moving := map[string]int{}, map[string]int{}
	for _, m := range v.VMs {
		if m.Phase == fleet.PhaseFailed && v.Now.Sub(m.PhaseSince) >= lostTime {
			lost[m.Pool]++
		}
		if m.Target != "" {
			moving[m.Target]++
		}
	}
	free := len(v.spares)
	for i, p := range v.Pools {
		short := min(lost[p.Name], p.Need-v.active[i]) - moving[p.Name]
		for ; short > 0 && free > 0; short-- {
			free--
			m := v.spares[free]
			reason := record.Reason{
				Inputs: fmt.Sprintf("pool %s: %d active, needs %d, %d lost for %s", p.Name, v.active[i], p.Need, lost[p.Name], lostTime),
				Rule:   "a spare VM takes the place of one that stays lost, where the pool is short without it",
				Change: "the lost VM comes back, or less demand",
			}
			actions = append(actions, record.Action{Reason: reason, Command: record.Command{VM: &record.VMChange{
				Step: record.VMDrain, VM: m.Name, Epoch: m.Epoch, Version: m.Version, Pool: p.Name, Work: WorkReplace, Cause: reason.String(),
			}}})
		}
	}
	return actions
}

func runnerAction(j fleet.Job, step record.JobStep, rule string, p Pool, have int) record.Action {
	return jobAction(record.JobChange{Step: step, Names: []string{j.Name}, Attempt: j.Attempt}, record.Reason{
		Inputs: fmt.Sprintf("pool %s: load %d of %d thousandths", p.Name, p.NowMilli, have*thousand),
		Rule:   rule,
		Change: "the pool's load",
	})
}

func jobAction(c record.JobChange, reason record.Reason) record.Action {
	c.Cause = reason.Rule
	return record.Action{Reason: reason, Command: record.Command{Job: &c}}
}
