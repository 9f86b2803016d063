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
	// recentFailure is how long a failure keeps its failure domains from losing a second VM to a wave.
	recentFailure = 30 * time.Minute
	// rebootTime is what a drain and a reboot are planned to take.
	rebootTime = 5 * time.Minute
	day        = 24 * time.Hour
)

// Decide runs the plans on a situation; it changes nothing itself.
func Decide(s Situation) []record.Action {
	actions := admit(s)
	in := WavesInput(s)
	actions = append(actions, waves.Orphans(in)...)
	actions = append(actions, waves.Plan(in)...)
	actions = append(actions, spare.Plan(SpareInput(s, in))...)
	blamed := blame.Plan(blame.Input{
		Now: s.Now, VMs: s.VMs, Jobs: s.Jobs, Failures: s.Failures, Waves: s.Waves,
		Short: func(vm string) string { return waves.Short(in, vm) },
	})
	actions = append(actions, blamed...)
	return append(actions, place.Plan(placeInput(s, blamed))...)
}

// placeInput returns what the placement decides from, after what is held already.
func placeInput(s Situation, blamed []record.Action) place.Input {
	in := place.Input{
		Now: s.Now, VMs: s.VMs, Jobs: s.Jobs, Failures: s.Failures, Lease: JobLease,
		Reserved: map[string]bool{}, Held: map[string]bool{},
	}
	for _, t := range s.Environment.Teams {
		in.Teams = append(in.Teams, fleet.Team{
			Name: string(t.Name), Weight: t.Weight,
			Quota: fleet.Size{Cores: int64(t.QuotaCores), Accelerators: int64(t.QuotaAccelerators)},
		})
	}
	for _, j := range s.Jobs {
		if j.Team == fleet.RunnerTeam {
			in.Reserved[j.VM] = true
		}
	}
	for _, a := range blamed {
		if c := a.Command.Job; c != nil {
			in.Held[c.Names[0]] = true
		}
		if c := a.Command.VM; c != nil {
			in.Reserved[c.VM] = true
		}
	}
	return in
}

// SpareInput returns what the plan of the spare VMs decides from.
func SpareInput(s Situation, maintenance waves.Input) spare.Input {
	in := spare.Input{
		Now: s.Now, VMs: s.VMs, Jobs: s.Jobs, SparePools: map[string]bool{},
		Weights: s.Environment.Weights, Outage: maintenance.Policy.Outage, Limit: maintenance.Policy.Limit,
	}
	due := map[string]int{}
	if w, ok := waves.Current(s.Waves); ok {
		for _, v := range s.VMs {
			if w.Due(v) {
				due[v.Pool]++
			}
		}
	}
	deadlines := deadlines(s.Environment)
	for _, p := range s.Environment.Pools {
		name := string(p.Name)
		if p.Spare {
			in.SparePools[name] = true
			continue
		}
		pool := spare.Pool{Name: name, Size: p.Size, Need: need(s, p, deadlines[name]), Due: due[name], LeftMS: math.MaxInt64}
		d := s.Demands[name]
		pool.Mean, pool.DutyMilli, pool.NowMilli = spare.MeanNeed(d), spare.DutyMilli(d), d.NowMilli
		for i, sv := range s.Environment.Services {
			if string(sv.Pool) == name {
				pool.Services = append(pool.Services, string(sv.Name))
				pool.LeftMS = min(pool.LeftMS, maintenance.Budgets[i].LeftMS())
			}
		}
		if len(pool.Services) > 0 {
			in.Pools = append(in.Pools, pool)
		}
	}
	return in
}

// WavesInput returns what the plan of maintenance decides from.
func WavesInput(s Situation) waves.Input {
	m := s.Environment.Maintenance
	probation := time.Duration(m.ProbationS) * time.Second
	in := waves.Input{
		Now: s.Now, VMs: s.VMs, Waves: s.Waves, SparePools: map[string]bool{},
		Policy: waves.Policy{
			Cycle: time.Duration(m.CycleDays) * day, Limit: m.WaveLimit,
			Probation: probation, Recent: recentFailure, Outage: rebootTime + probation,
		},
	}
	deadlines := deadlines(s.Environment)
	for _, p := range s.Environment.Pools {
		name := string(p.Name)
		if p.Spare {
			in.SparePools[name] = true
			continue
		}
		d := s.Demands[name]
		in.Pools = append(in.Pools, waves.Pool{
			Name: name, Need: need(s, p, deadlines[name]), Mean: spare.MeanNeed(d), DutyMilli: spare.DutyMilli(d),
		})
	}
	for _, sv := range s.Environment.Services {
		in.Budgets = append(in.Budgets, budget.Read(budget.FromService(sv), s.Ledgers[string(sv.Name)], s.Now))
	}
	in.SpareLimit = spare.Size(SpareInput(s, in)).Held
	return in
}

// need returns the VMs that carry a pool's demand; half of them until a demand was learned.
func need(s Situation, p docs.Pool, deadline time.Duration) int {
	d, ok := s.Demands[string(p.Name)]
	if !ok {
		return (p.Size + 1) / 2
	}
	return spare.Need(d, deadline)
}

// deadlines returns the shortest deadline of each pool's services.
func deadlines(e docs.Environment) map[string]time.Duration {
	shortest := map[string]time.Duration{}
	for _, sv := range e.Services {
		d := time.Duration(sv.DeadlineMs) * time.Millisecond
		if known, ok := shortest[string(sv.Pool)]; !ok || d < known {
			shortest[string(sv.Pool)] = d
		}
	}
	return shortest
}

// admit adds the platform's new VMs to pools: to the one that the platform names, or to the one that lacks most.
func admit(s Situation) []record.Action {
	known, counts := map[string]bool{}, map[string]int{}
	for _, v := range s.VMs {
		known[v.Name] = true
		counts[v.Pool]++
	}
	var actions []record.Action
	for _, name := range sortedNames(s.Machines) {
		m := s.Machines[name]
		if known[name] || !m.Up {
			continue
		}
		pool := choosePool(s.Environment.Pools, m.Pool, counts)
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
	best, lack := "", 0
	for _, p := range pools {
		if string(p.Name) == named {
			return named
		}
		if n := p.Size - counts[string(p.Name)]; n > lack {
			best, lack = string(p.Name), n
		}
	}
	return best
}
