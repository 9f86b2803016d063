package spare

import (
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/plan/budget"
)

// Pool is what the plan knows of one pool that serves requests.
type Pool struct {
	// Name is the pool's name.
	Name string
	// Size is the count of VMs that the pool should have.
	Size int
	// Services are the services that run on the pool.
	Services []string
	// Need is the count of VMs that carry the pool's surges with requests waiting.
	Need int
	// Mean is the count of VMs that carry the pool's mean load.
	Mean int
	// DutyMilli is the share of time in which the pool surges, in thousandths.
	DutyMilli int64
	// NowMilli is the pool's load, in thousandths of a VM.
	NowMilli int64
	// Due is the count of VMs that a wave still has to maintain.
	Due int
	// LeftMS is the least that is left of the budgets of the pool's services.
	LeftMS int64
}

// Input is what the plan decides from.
type Input struct {
	// Now is the time of the decision.
	Now time.Time
	// VMs are all VMs, by name.
	VMs []fleet.VM
	// Pools are the pools that serve requests, by name.
	Pools []Pool
	// SparePools are the names of the pools that hold spare VMs.
	SparePools map[string]bool
	// Jobs are the jobs, by name; the plan reads and makes those of spare runners.
	Jobs []fleet.Job
	// Weights say what is to be saved first.
	Weights docs.Weights
	// Outage is how long one VM is out for maintenance.
	Outage time.Duration
	// Limit is the most VMs that a wave has out at once.
	Limit int
}

// view is the input sorted for the plan.
type view struct {
	Input

	// spares are the active spare VMs in the order in which they are held.
	spares []fleet.VM
	// active counts the pools' active VMs, in the order of the pools.
	active []int
	// fit counts the pools' VMs that are not lost.
	fit []int
	// parts counts the pools' active VMs by failure domain.
	parts map[part]map[int]int
	// drawn is what the pools draw on the spare VMs.
	drawn budget.Drawn
	// runners are the jobs of spare runners, by VM.
	runners map[string][]fleet.Job
}

// part is a failure domain of a level.
type part struct {
	level  budget.Level
	domain fleet.Domain
}

func newView(in Input) *view {
	v := &view{Input: in, active: make([]int, len(in.Pools)), fit: make([]int, len(in.Pools)), parts: map[part]map[int]int{}, runners: map[string][]fleet.Job{}}
	index := make(map[string]int, len(in.Pools))
	for i, p := range in.Pools {
		index[p.Name] = i
	}
	for _, j := range in.Jobs {
		if j.Team == fleet.RunnerTeam && j.VM != "" {
			v.runners[j.VM] = append(v.runners[j.VM], j)
		}
	}
	for _, m := range in.VMs {
		if i, ok := index[m.Pool]; ok && m.Phase != fleet.PhaseFailed {
			v.fit[i]++
		}
		if !budget.Counted(m) {
			continue
		}
		if in.SparePools[m.Pool] {
			v.spares = append(v.spares, m)
			continue
		}
		if i, ok := index[m.Pool]; ok {
			v.count(i, m.Domain)
		}
	}
	v.spares = spread(v.spares, v.runners)
	shares := make([]budget.Share, len(in.Pools))
	for i := range shares {
		shares[i] = v.share(i)
	}
	v.drawn = budget.Draw(shares)
	return v
}

// share is what one pool asks of the spare VMs.
func (v *view) share(i int) budget.Share {
	p := v.Pools[i]
	return budget.Share{Need: p.Need, Mean: p.Mean, Have: v.active[i], DutyMilli: p.DutyMilli}
}

func (v *view) count(pool int, d fleet.Domain) {
	v.active[pool]++
	for _, l := range budget.Levels {
		key := part{l, budget.Part(d, l)}
		if v.parts[key] == nil {
			v.parts[key] = map[int]int{}
		}
		v.parts[key][pool]++
	}
}

// spread orders spare VMs so that any first few stand in as many failure domains as can be; held ones go first.
func spread(spares []fleet.VM, runners map[string][]fleet.Job) []fleet.VM {
	ordered := make([]fleet.VM, 0, len(spares))
	left := append([]fleet.VM(nil), spares...)
	used := map[fleet.Domain]int{}
	for len(left) > 0 {
		best := 0
		for i := range left {
			if before(left[i], left[best], used, runners) {
				best = i
			}
		}
		m := left[best]
		ordered = append(ordered, m)
		left = append(left[:best], left[best+1:]...)
		for _, l := range budget.Levels {
			used[budget.Part(m.Domain, l)]++
		}
	}
	return ordered
}

// before says whether one spare VM is held before another.
func before(a, b fleet.VM, used map[fleet.Domain]int, runners map[string][]fleet.Job) bool {
	if held := len(runners[a.Name]) > 0; held != (len(runners[b.Name]) > 0) {
		return held
	}
	for _, l := range []budget.Level{budget.LevelDataCentre, budget.LevelSwitch, budget.LevelRack} {
		if x, y := used[budget.Part(a.Domain, l)], used[budget.Part(b.Domain, l)]; x != y {
			return x < y
		}
	}
	return a.Name < b.Name
}
