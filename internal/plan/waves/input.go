package waves

import (
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/plan/budget"
)

// Pool describes the demand of one pool.
type Pool struct {
	// Name is the pool's name.
	Name string
	// Need is the number of VMs that carry the pool's demand.
	Need int
	// Mean is the number of VMs that carry the pool's mean load.
	Mean int
	// DutyMilli is the share of time in which the pool surges, in thousandths.
	DutyMilli int64
}

// Policy holds the maintenance settings of the environment.
type Policy struct {
	// Cycle is the time in which every VM is maintained once.
	Cycle time.Duration
	// Limit is the maximum number of a wave's VMs that are out of service at once.
	Limit int
	// Probation is how long a VM runs before it counts as capacity again.
	Probation time.Duration
	// FailureWindow is how long after a failure a wave takes no second VM out of the same failure domains.
	FailureWindow time.Duration
	// Outage is how long one VM is out of service: its drain, its reboot and its probation.
	Outage time.Duration
}

// Input is the state of the fleet that a plan is made from.
type Input struct {
	// Now is the time of the decision.
	Now time.Time
	// VMs are all VMs, by name.
	VMs []fleet.VM
	// Waves are the maintenance waves, oldest first.
	Waves []fleet.Wave
	// Pools are the demands of the pools.
	Pools []Pool
	// Budgets are the services' budgets; they don't include the loss of a failure domain.
	Budgets []budget.Status
	// SparePools are the names of the pools whose VMs can carry any pool's load.
	SparePools map[string]bool
	// SpareLimit is the maximum number of spare VMs that a wave may use.
	SpareLimit int
	// Policy holds the maintenance settings.
	Policy Policy
}

// pool is the working state of one pool while a plan is made.
type pool struct {
	Pool

	vms    []fleet.VM
	active int
	due    int
	// out counts the pool's VMs that are neither active nor failed.
	out int
	// candidates are the VMs that the wave may take out, in order.
	candidates []fleet.VM
	budgets    []budget.Status
}

// spareDemand returns what the pool needs from the spare VMs.
func (p *pool) spareDemand() budget.SpareDemand {
	return budget.SpareDemand{Need: p.Need, Mean: p.Mean, Have: p.active, DutyMilli: p.DutyMilli}
}

// view is the input grouped by pool, including pools without demand. It is updated as the plan drains VMs.
type view struct {
	Input

	pools map[string]*pool
	// poolNames are the names of all pools, in the order of the input.
	poolNames []string
	// demandPools are the pools that have a demand, in the order of the input.
	demandPools []*pool
	// activeSpares counts the active spare VMs.
	activeSpares int
	// spareDraw is what the pools use of the spare VMs.
	spareDraw budget.SpareDraw
}

func newView(in Input) *view {
	v := &view{Input: in, pools: map[string]*pool{}}
	for _, p := range in.Pools {
		v.pools[p.Name] = &pool{Pool: p}
		v.poolNames = append(v.poolNames, p.Name)
		v.demandPools = append(v.demandPools, v.pools[p.Name])
	}
	for _, m := range in.VMs {
		p := v.pools[m.Pool]
		if p == nil {
			p = &pool{Pool: Pool{Name: m.Pool}}
			v.pools[m.Pool] = p
			v.poolNames = append(v.poolNames, m.Pool)
		}
		p.vms = append(p.vms, m)
		if m.Phase != fleet.PhaseActive && m.Phase != fleet.PhaseFailed {
			p.out++
		}
		if budget.CountsAsCapacity(m) {
			p.active++
			if in.SparePools[m.Pool] {
				v.activeSpares++
			}
		}
	}
	for _, s := range in.Budgets {
		if p := v.pools[s.Policy.Pool]; p != nil {
			p.budgets = append(p.budgets, s)
		}
	}
	v.updateSpareDraw()
	return v
}

// updateSpareDraw recomputes what the pools use of the spare VMs.
func (v *view) updateSpareDraw() {
	demands := make([]budget.SpareDemand, 0, len(v.demandPools))
	for _, p := range v.demandPools {
		demands = append(demands, p.spareDemand())
	}
	v.spareDraw = budget.TotalDraw(demands)
}

// sparesFor returns how many spare VMs a pool can use in its surge.
func (v *view) sparesFor(p *pool) int {
	return v.spareDraw.AvailableTo(p.spareDemand(), min(v.activeSpares, v.SpareLimit))
}

// isOut reports whether the given work has taken a VM out of service.
func isOut(m fleet.VM, work string) bool {
	return m.Work == work && m.Phase != fleet.PhaseActive
}
