package lead

import (
	"math"
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/blame"
	"cowslipstack/internal/plan/budget"
	"cowslipstack/internal/plan/place"
	"cowslipstack/internal/plan/spare"
	"cowslipstack/internal/plan/waves"
)

const (
	// recentFailureWindow is how long after a failure its failure domains may not lose a second VM to a wave.
	recentFailureWindow = 30 * time.Minute
	// drainRebootTime is the planned duration of a drain and a reboot.
	drainRebootTime = 5 * time.Minute
	day             = 24 * time.Hour
)

// Decide runs the plans on an input and returns their actions; it changes nothing.
func Decide(in Input) []record.Action {
	actions := joinNewVMs(in)
	maintenance := WavesInput(in)
	actions = append(actions, waves.CancelOrphanedDrains(maintenance)...)
	actions = append(actions, waves.Plan(maintenance)...)
	actions = append(actions, spare.Plan(SpareInput(in, maintenance))...)
	failureActions := blame.Plan(blame.Input{
		Now: in.Now, VMs: in.VMs, Jobs: in.Jobs, Failures: in.Failures, Waves: in.Waves,
		ShortageWithout: func(vm string) string { return waves.ShortageWithout(maintenance, vm) },
	})
	actions = append(actions, failureActions...)
	return append(actions, place.Plan(placeInput(in, failureActions))...)
}

// placeInput returns the input of the placement plan. It marks the jobs and VMs that failureActions change, and the
// VMs with a spare runner, as not available.
func placeInput(in Input, failureActions []record.Action) place.Input {
	placement := place.Input{
		Now: in.Now, VMs: in.VMs, Jobs: in.Jobs, Failures: in.Failures, Lease: JobLease,
		Reserved: map[string]bool{}, Held: map[string]bool{},
	}
	for _, t := range in.Environment.Teams {
		placement.Teams = append(placement.Teams, fleet.Team{
			Name: string(t.Name), Weight: t.Weight,
			Quota: fleet.Size{Cores: int64(t.QuotaCores), Accelerators: int64(t.QuotaAccelerators)},
		})
	}
	for _, j := range in.Jobs {
		if j.Team == fleet.SpareRunnerTeam {
			placement.Reserved[j.VM] = true
		}
	}
	for _, a := range failureActions {
		if c := a.Command.Job; c != nil {
			placement.Held[c.Names[0]] = true
		}
		if c := a.Command.VM; c != nil {
			placement.Reserved[c.VM] = true
		}
	}
	return placement
}

// SpareInput returns the input of the plan for spare VMs.
func SpareInput(in Input, maintenance waves.Input) spare.Input {
	spares := spare.Input{
		Now: in.Now, VMs: in.VMs, Jobs: in.Jobs, SparePools: map[string]bool{},
		Weights: in.Environment.Weights, Outage: maintenance.Policy.Outage, Limit: maintenance.Policy.Limit,
	}
	due := map[string]int{}
	if w, ok := waves.Current(in.Waves); ok {
		for _, v := range in.VMs {
			if w.IsDue(v) {
				due[v.Pool]++
			}
		}
	}
	shortest := shortestDeadlines(in.Environment)
	for _, p := range in.Environment.Pools {
		name := string(p.Name)
		if p.Spare {
			spares.SparePools[name] = true
			continue
		}
		pool := spare.Pool{Name: name, Size: p.Size, Need: requiredVMs(in, p, shortest[name]), Due: due[name], LeftMS: math.MaxInt64}
		d := in.Demands[name]
		pool.Mean, pool.DutyMilli, pool.CurrentMilli = spare.MeanNeed(d), spare.DutyMilli(d), d.CurrentMilli
		for i, sv := range in.Environment.Services {
			if string(sv.Pool) == name {
				pool.Services = append(pool.Services, string(sv.Name))
				pool.LeftMS = min(pool.LeftMS, maintenance.Budgets[i].LeftMS())
			}
		}
		if len(pool.Services) > 0 {
			spares.Pools = append(spares.Pools, pool)
		}
	}
	return spares
}

// WavesInput returns the input of the maintenance plan.
func WavesInput(in Input) waves.Input {
	m := in.Environment.Maintenance
	probation := time.Duration(m.ProbationS) * time.Second
	maintenance := waves.Input{
		Now: in.Now, VMs: in.VMs, Waves: in.Waves, SparePools: map[string]bool{},
		Policy: waves.Policy{
			Cycle: time.Duration(m.CycleDays) * day, Limit: m.WaveLimit,
			Probation: probation, FailureWindow: recentFailureWindow, Outage: drainRebootTime + probation,
		},
	}
	shortest := shortestDeadlines(in.Environment)
	for _, p := range in.Environment.Pools {
		name := string(p.Name)
		if p.Spare {
			maintenance.SparePools[name] = true
			continue
		}
		d := in.Demands[name]
		maintenance.Pools = append(maintenance.Pools, waves.Pool{
			Name: name, Need: requiredVMs(in, p, shortest[name]), Mean: spare.MeanNeed(d), DutyMilli: spare.DutyMilli(d),
		})
	}
	for _, sv := range in.Environment.Services {
		maintenance.Budgets = append(maintenance.Budgets, budget.StatusAt(budget.PolicyFor(sv), in.Ledgers[string(sv.Name)], in.Now))
	}
	maintenance.SpareLimit = spare.Size(SpareInput(in, maintenance)).Held
	return maintenance
}

// requiredVMs returns how many VMs carry a pool's demand; half of the pool's VMs until its demand is known.
func requiredVMs(in Input, p docs.Pool, deadline time.Duration) int {
	d, ok := in.Demands[string(p.Name)]
	if !ok {
		return (p.Size + 1) / 2
	}
	return spare.SurgeNeed(d, deadline)
}

// shortestDeadlines returns the shortest request deadline among each pool's services.
func shortestDeadlines(e docs.Environment) map[string]time.Duration {
	shortest := map[string]time.Duration{}
	for _, sv := range e.Services {
		d := time.Duration(sv.DeadlineMs) * time.Millisecond
		if known, ok := shortest[string(sv.Pool)]; !ok || d < known {
			shortest[string(sv.Pool)] = d
		}
	}
	return shortest
}

// joinNewVMs adds each new VM of the platform to the pool that the platform names, or to the pool that lacks most VMs.
func joinNewVMs(in Input) []record.Action {
	known, counts := map[string]bool{}, map[string]int{}
	for _, v := range in.VMs {
		known[v.Name] = true
		counts[v.Pool]++
	}
	var actions []record.Action
	for _, name := range sortedNames(in.PlatformVMs) {
		m := in.PlatformVMs[name]
		if known[name] || !m.Up {
			continue
		}
		pool := choosePool(in.Environment.Pools, m.Pool, counts)
		if pool == "" {
			continue
		}
		counts[pool]++
		reason := record.Reason{Rule: "a new VM joins the pool that the platform names, or that lacks most VMs", Inputs: "pool " + pool}
		actions = append(actions, record.Action{Reason: reason, Command: record.Command{VM: &record.VMChange{
			Step: record.VMJoin, VM: name, Pool: pool, Domain: m.Domain, Size: m.Size, Cause: reason.String(),
		}}})
	}
	return actions
}

func choosePool(pools []docs.Pool, named string, counts map[string]int) string {
	best, shortage := "", 0
	for _, p := range pools {
		if string(p.Name) == named {
			return named
		}
		if n := p.Size - counts[string(p.Name)]; n > shortage {
			best, shortage = string(p.Name), n
		}
	}
	return best
}
