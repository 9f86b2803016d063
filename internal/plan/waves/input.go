package waves

import (
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/plan/budget"
)

// Pool is what the plan knows of one pool's demand.
type Pool struct {
	// Name is the pool's name.
	Name string
	// Need is the count of VMs that carry the pool's demand.
	Need int
	// Mean is the count of VMs that carry the pool's mean load.
	Mean int
	// DutyMilli is the share of time in which the pool surges, in thousandths.
	DutyMilli int64
}

// Policy is how the environment wants maintenance done.
type Policy struct {
	// Cycle is the time in which every VM is maintained once.
	Cycle time.Duration
	// Limit is the most VMs of a wave that are out at once.
	Limit int
	// Probation is how long a VM runs before it counts as capacity again.
	Probation time.Duration
	// Recent is how long a failure keeps its failure domains from losing a second VM to a wave.
	Recent time.Duration
	// Outage is how long one VM is out: its drain, its reboot and its probation.
	Outage time.Duration
}

// Input is what the plan decides from.
type Input struct {
	// Now is the time of the decision.
	Now time.Time
	// VMs are all VMs, by name.
	VMs []fleet.VM
	// Waves are the waves, oldest first.
	Waves []fleet.Wave
	// Pools are the pools' demands.
	Pools []Pool
	// Budgets are the services' budgets without the loss of a domain.
	Budgets []budget.Status
	// SparePools are the names of the pools whose VMs can carry any pool's load.
	SparePools map[string]bool
	// SpareLimit is the most spare VMs that a wave may draw on.
	SpareLimit int
	// Policy is how maintenance is to be done.
	Policy Policy
}

// pool is the plan's working view of one pool.
type pool struct {
	Pool

	vms  []fleet.VM
	have int
	due  int
	// out counts the pool's VMs that are neither active nor lost.
	out int
	// next are the VMs that the wave may take, in order.
	next    []fleet.VM
	budgets []budget.Status
}

// share is what the pool asks of the spare VMs.
func (p *pool) share() budget.Share {
	return budget.Share{Need: p.Need, Mean: p.Mean, Have: p.have, DutyMilli: p.DutyMilli}
}

// view sorts the input by pool; pools without demand are among them.
type view struct {
	Input

	pools map[string]*pool
	// names are the names of all pools, in the order of the input.
	names []string
	// order is the pools that have a demand.
	order []*pool
	// spare counts the active spare VMs.
	spare int
	// drawn is what the pools draw on them.
	drawn budget.Drawn
}

func newView(in Input) *view {
	v := &view{Input: in, pools: map[string]*pool{}}
	for _, p := range in.Pools {
		v.pools[p.Name] = &pool{Pool: p}
		v.names = append(v.names, p.Name)
		v.order = append(v.order, v.pools[p.Name])
	}
	for _, m := range in.VMs {
		p := v.pools[m.Pool]
		if p == nil {
			p = &pool{Pool: Pool{Name: m.Pool}}
			v.pools[m.Pool] = p
			v.names = append(v.names, m.Pool)
		}
		p.vms = append(p.vms, m)
		if m.Phase != fleet.PhaseActive && m.Phase != fleet.PhaseFailed {
			p.out++
		}
		if budget.Counted(m) {
			p.have++
			if in.SparePools[m.Pool] {
				v.spare++
			}
		}
	}
	for _, s := range in.Budgets {
		if p := v.pools[s.Policy.Pool]; p != nil {
			p.budgets = append(p.budgets, s)
		}
	}
	v.draw()
	return v
}

// draw works out again what the pools draw on the spare VMs.
func (v *view) draw() {
	shares := make([]budget.Share, 0, len(v.order))
	for _, p := range v.order {
		shares = append(shares, p.share())
	}
	v.drawn = budget.Draw(shares)
}

// spareFor returns how many spare VMs a pool can draw on in its surge.
func (v *view) spareFor(p *pool) int {
	return v.drawn.LeftFor(p.share(), min(v.spare, v.SpareLimit))
}

// outOf says whether a piece of work has a VM out of service.
func outOf(m fleet.VM, work string) bool {
	return m.Work == work && m.Phase != fleet.PhaseActive
}
