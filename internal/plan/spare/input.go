package spare

import (
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/plan/budget"
)

// Pool describes one pool that serves requests.
type Pool struct {
	// Name is the pool's name.
	Name string
	// Size is the number of VMs that the pool should have.
	Size int
	// Services are the services that run on the pool.
	Services []string
	// Need is the number of VMs that carry the pool's surges if requests may wait.
	Need int
	// Mean is the number of VMs that carry the pool's mean load.
	Mean int
	// DutyMilli is the share of time in which the pool surges, in thousandths.
	DutyMilli int64
	// CurrentMilli is the pool's present load, in thousandths of a VM.
	CurrentMilli int64
	// Due is the number of VMs that a wave still has to maintain.
	Due int
	// LeftMS is the least bad time left in the budgets of the pool's services, in milliseconds.
	LeftMS int64
}

// Input is the state of the fleet that a plan is made from.
type Input struct {
	// Now is the time of the decision.
	Now time.Time
	// VMs are all VMs, by name.
	VMs []fleet.VM
	// Pools are the pools that serve requests, by name.
	Pools []Pool
	// SparePools are the names of the pools that hold spare VMs.
	SparePools map[string]bool
	// Jobs are the jobs, by name; the plan reads and submits only those of spare runners.
	Jobs []fleet.Job
	// Weights balance the number of spare VMs against the duration of a roll-out.
	Weights docs.Weights
	// Outage is how long one VM is out for maintenance.
	Outage time.Duration
	// Limit is the maximum number of VMs that a wave has out at once.
	Limit int
}

// view is the input indexed for planning.
type view struct {
	Input

	// spares are the active spare VMs in the order in which they are held.
	spares []fleet.VM
	// active counts each pool's active VMs, in the order of the pools.
	active []int
	// notFailed counts each pool's VMs that have not failed, in the order of the pools.
	notFailed []int
	// domainCounts counts the active VMs in each failure domain, by the index of their pool.
	domainCounts map[domainKey]map[int]int
	// spareDraw is what the pools use of the spare VMs.
	spareDraw budget.SpareDraw
	// runners are the jobs of spare runners, by VM.
	runners map[string][]fleet.Job
}

// domainKey identifies a failure domain of a level.
type domainKey struct {
	level  budget.Level
	domain fleet.Domain
}

func newView(in Input) *view {
	v := &view{Input: in, active: make([]int, len(in.Pools)), notFailed: make([]int, len(in.Pools)), domainCounts: map[domainKey]map[int]int{}, runners: map[string][]fleet.Job{}}
	index := make(map[string]int, len(in.Pools))
	for i, p := range in.Pools {
		index[p.Name] = i
	}
	for _, j := range in.Jobs {
		if j.Team == fleet.SpareRunnerTeam && j.VM != "" {
			v.runners[j.VM] = append(v.runners[j.VM], j)
		}
	}
	for _, m := range in.VMs {
		if i, ok := index[m.Pool]; ok && m.Phase != fleet.PhaseFailed {
			v.notFailed[i]++
		}
		if !budget.CountsAsCapacity(m) {
			continue
		}
		if in.SparePools[m.Pool] {
			v.spares = append(v.spares, m)
			continue
		}
		if i, ok := index[m.Pool]; ok {
			v.countActive(i, m.Domain)
		}
	}
	v.spares = orderBySpread(v.spares, v.runners)
	demands := make([]budget.SpareDemand, len(in.Pools))
	for i := range demands {
		demands[i] = v.spareDemand(i)
	}
	v.spareDraw = budget.TotalDraw(demands)
	return v
}

// spareDemand returns what one pool needs from the spare VMs.
func (v *view) spareDemand(i int) budget.SpareDemand {
	p := v.Pools[i]
	return budget.SpareDemand{Need: p.Need, Mean: p.Mean, Have: v.active[i], DutyMilli: p.DutyMilli}
}

func (v *view) countActive(pool int, d fleet.Domain) {
	v.active[pool]++
	for _, l := range budget.Levels {
		key := domainKey{l, budget.DomainAt(d, l)}
		if v.domainCounts[key] == nil {
			v.domainCounts[key] = map[int]int{}
		}
		v.domainCounts[key][pool]++
	}
}

// orderBySpread orders spare VMs so that the first few, for any number, are spread over as many failure domains as
// possible. VMs that already have runners go first.
func orderBySpread(spares []fleet.VM, runners map[string][]fleet.Job) []fleet.VM {
	ordered := make([]fleet.VM, 0, len(spares))
	left := append([]fleet.VM(nil), spares...)
	used := map[fleet.Domain]int{}
	for len(left) > 0 {
		best := 0
		for i := range left {
			if heldBefore(left[i], left[best], used, runners) {
				best = i
			}
		}
		m := left[best]
		ordered = append(ordered, m)
		left = append(left[:best], left[best+1:]...)
		for _, l := range budget.Levels {
			used[budget.DomainAt(m.Domain, l)]++
		}
	}
	return ordered
}

// heldBefore reports whether spare VM a is held before b.
func heldBefore(a, b fleet.VM, used map[fleet.Domain]int, runners map[string][]fleet.Job) bool {
	if held := len(runners[a.Name]) > 0; held != (len(runners[b.Name]) > 0) {
		return held
	}
	for _, l := range []budget.Level{budget.LevelDataCentre, budget.LevelSwitch, budget.LevelRack} {
		if x, y := used[budget.DomainAt(a.Domain, l)], used[budget.DomainAt(b.Domain, l)]; x != y {
			return x < y
		}
	}
	return a.Name < b.Name
}
