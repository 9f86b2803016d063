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
	// runnerMemoryMB is the memory that a loaded, throttled runner keeps, in megabytes.
	runnerMemoryMB = 12_000
	// fullPercent is the load above which a pool is given spare runners, in percent of its capacity.
	fullPercent = 85
	// giveBackPercent is the load up to which a pool gives spare runners back, in percent of its capacity without one.
	giveBackPercent = 60
	// minRunTime is the minimum time that a spare runner runs, so that noise in the load doesn't toggle it.
	minRunTime = 10 * time.Second
	// dropDelay is how long a runner must have been throttled before it is cancelled on a VM that is no longer held.
	dropDelay = 10 * time.Minute
	// RunnerLease is how long a spare runner runs without a renewal of its lease.
	RunnerLease = time.Hour
	// replaceDelay is how long a VM must have been failed before a spare VM replaces it in its pool.
	replaceDelay = 30 * time.Minute
	// WorkReplace is the work name of a move that replaces a failed VM.
	WorkReplace = "replace"
)

// Plan decides which spare VMs are held, loads throttled runners on them, restores runners for full pools, and replaces
// failed VMs.
func Plan(in Input) []record.Action {
	v := newView(in)
	s := v.size()
	held := v.spares[:s.Held]
	actions := v.loadRunners(held, s.Reason)
	actions = append(actions, v.balancePools()...)
	actions = append(actions, v.dropRunners(held)...)
	return append(actions, v.replaceLost()...)
}

// RunnerName returns the name of the job of a service's runner on a spare VM.
func RunnerName(service, vm string) string {
	return "runner." + service + "." + vm
}

// runnerService returns the service of a spare runner's job.
func runnerService(j fleet.Job) string {
	return strings.TrimSuffix(strings.TrimPrefix(j.Name, "runner."), "."+j.VM)
}

// loadRunners submits and places the runners that held VMs lack; a new runner is throttled as soon as it is placed.
func (v *view) loadRunners(held []fleet.VM, reason record.Reason) []record.Action {
	var actions []record.Action
	known := map[string]fleet.Job{}
	for _, j := range v.Jobs {
		if j.Team == fleet.SpareRunnerTeam {
			known[j.Name] = j
		}
	}
	services := v.services()
	for i, m := range held {
		perVM := min(len(services), max(1, int(m.Size.MemoryMB/runnerMemoryMB)))
		for k := range perVM {
			// Each VM starts at a different service, so that every service has runners even if memory holds only some.
			name := RunnerName(services[(i*perVM+k)%len(services)], m.Name)
			j, ok := known[name]
			switch {
			case !ok && len(v.runners[m.Name]) < perVM:
				actions = append(actions, jobAction(record.JobChange{Step: record.JobSubmit, Names: []string{name}, Job: fleet.Job{
					Name: name, Team: fleet.SpareRunnerTeam, Pool: m.Pool, Checkpoint: true, Declared: fleet.Size{MemoryMB: runnerMemoryMB},
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

// services returns the services of all pools, starting with the pools that lack the most VMs.
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

// balancePools restores runners for pools that are full and throttles runners of pools whose load is low.
func (v *view) balancePools() []record.Action {
	var actions []record.Action
	running := map[string]fleet.Job{}
	byService := map[string][]fleet.Job{}
	for _, m := range v.spares {
		for _, j := range v.runners[m.Name] {
			service := runnerService(j)
			byService[service] = append(byService[service], j)
			if j.Phase == fleet.JobRunning && j.Version > placedVersion {
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
			actions = append(actions, v.balanceService(p, v.active[i]+given, byService[s], running)...)
		}
	}
	return actions
}

// placedVersion is the version of a runner's job that was just placed and is still to be throttled.
const placedVersion = 2

// balanceService restores or throttles the runners of one service.
func (v *view) balanceService(p Pool, have int, runners []fleet.Job, running map[string]fleet.Job) []record.Action {
	var actions []record.Action
	full := p.CurrentMilli*percent > int64(have)*thousand*fullPercent
	// Requests that wait within their deadline cover the load beyond Need, so such a surge restores no runner.
	wanted := min(ceilVMs(p.CurrentMilli*percent/fullPercent), p.Need) - have
	for _, j := range runners {
		occupied := running[j.VM]
		switch {
		case j.Phase == fleet.JobRunning && occupied.Name != j.Name:
			actions = append(actions, runnerAction(j, record.JobThrottle, "a spare runner is loaded and throttled until it is needed", p, have))
		case j.Phase == fleet.JobThrottled && occupied.Name == "" && full && wanted > 0:
			wanted--
			running[j.VM] = j
			actions = append(actions, runnerAction(j, record.JobRestore, "a full pool is given a spare runner", p, have))
		case j.Phase == fleet.JobRunning && v.Now.Sub(j.Since) >= minRunTime && canGiveBack(p, have):
			have--
			actions = append(actions, runnerAction(j, record.JobThrottle, "a pool that is calm again gives its spare runner back", p, have))
		}
	}
	return actions
}

// canGiveBack reports whether a pool would be far from full with one runner less.
func canGiveBack(p Pool, have int) bool {
	return p.CurrentMilli*percent <= int64(have-1)*thousand*giveBackPercent
}

// dropRunners cancels the runners of VMs that are no longer held, once they have been throttled for dropDelay, and those
// of VMs that drain or left the spare pools.
func (v *view) dropRunners(held []fleet.VM) []record.Action {
	kept := map[string]bool{}
	for _, m := range held {
		kept[m.Name] = true
	}
	var names []string
	for _, m := range v.VMs {
		for _, j := range v.runners[m.Name] {
			leaving := !v.SparePools[m.Pool] || m.Phase == fleet.PhaseDraining
			idle := j.Phase == fleet.JobThrottled && v.Now.Sub(j.Since) >= dropDelay
			if leaving || (idle && m.Phase == fleet.PhaseActive && !kept[m.Name]) {
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

// replaceLost moves a spare VM to a pool in which a VM has been failed for replaceDelay, if the pool is short without it.
func (v *view) replaceLost() []record.Action {
	var actions []record.Action
	lost, moving := map[string]int{}, map[string]int{}
	for _, m := range v.VMs {
		if m.Phase == fleet.PhaseFailed && v.Now.Sub(m.PhaseSince) >= replaceDelay {
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
				Inputs: fmt.Sprintf("pool %s: %d active, needs %d, %d lost for %s", p.Name, v.active[i], p.Need, lost[p.Name], replaceDelay),
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
		Inputs: fmt.Sprintf("pool %s: load %d of %d thousandths", p.Name, p.CurrentMilli, have*thousand),
		Rule:   rule,
		Change: "the pool's load",
	})
}

func jobAction(c record.JobChange, reason record.Reason) record.Action {
	c.Cause = reason.Rule
	return record.Action{Reason: reason, Command: record.Command{Job: &c}}
}
