package docs

import (
	"math"
	"slices"
)

const secondsPerDay = 24 * 60 * 60

// Preview is what a document would do to the fleet.
type Preview struct {
	// Changes are what differs from the document in force.
	Changes []Change
	// Pools are the pools whose count of VMs would change.
	Pools []PoolPreview
	// Moves is the VMs that would change pools.
	Moves int
	// Lacking is the VMs that pools would lack after all moves.
	Lacking int
	// Budgets are those of services that are added or changed.
	Budgets []BudgetPreview
}

// PoolPreview is a pool's count of VMs before and after.
type PoolPreview struct {
	// Pool is the pool's name.
	Pool string
	// Have is the VMs that it has.
	Have int
	// Want is the VMs that the document gives it.
	Want int
}

// BudgetPreview is a service's availability budget.
type BudgetPreview struct {
	// Service is the service's name.
	Service string
	// AllowedSeconds is the time without service that the window allows.
	AllowedSeconds int
	// WindowDays is the length of the window.
	WindowDays int
}

// Look returns what a document would do, given the one in force and the VMs that each pool has.
func Look(from, to Environment, vms map[string]int) Preview {
	p := Preview{Changes: Compare(from, to)}
	p.lookAtPools(to, vms)
	for _, s := range to.Services {
		touched := func(c Change) bool { return c.Table == "services" && c.Name == string(s.Name) }
		if slices.ContainsFunc(p.Changes, touched) {
			allowed := (1 - s.Availability) * float64(s.WindowDays) * secondsPerDay
			p.Budgets = append(p.Budgets, BudgetPreview{
				Service: string(s.Name), AllowedSeconds: int(math.Round(allowed)), WindowDays: s.WindowDays,
			})
		}
	}
	return p
}

func (p *Preview) lookAtPools(to Environment, vms map[string]int) {
	known := map[string]bool{}
	lacking, left := 0, 0
	add := func(pool string, have, want int) {
		if have != want {
			p.Pools = append(p.Pools, PoolPreview{Pool: pool, Have: have, Want: want})
		}
		lacking += max(want-have, 0)
		left += max(have-want, 0)
	}
	for _, pool := range to.Pools {
		known[string(pool.Name)] = true
		add(string(pool.Name), vms[string(pool.Name)], pool.Size)
	}
	var removed []string
	for pool := range vms {
		if !known[pool] {
			removed = append(removed, pool)
		}
	}
	slices.Sort(removed)
	for _, pool := range removed {
		add(pool, vms[pool], 0)
	}
	p.Moves = min(lacking, left)
	p.Lacking = lacking - p.Moves
}
