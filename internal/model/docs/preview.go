package docs

import (
	"math"
	"slices"
)

const secondsPerDay = 24 * 60 * 60

// Preview describes the effect that a document would have on the fleet.
type Preview struct {
	// Changes are the differences from the document in force.
	Changes []Change
	// Pools are the pools whose number of VMs would change.
	Pools []PoolPreview
	// Moves is the number of VMs that would move to another pool.
	Moves int
	// Shortfall is the number of VMs that pools would still lack after all moves.
	Shortfall int
	// Budgets are the availability budgets of services that are added or changed.
	Budgets []BudgetPreview
}

// PoolPreview is the number of VMs of one pool before and after a change.
type PoolPreview struct {
	// Pool is the name of the pool.
	Pool string
	// Have is the number of VMs that the pool has.
	Have int
	// Want is the number of VMs that the document asks for; 0 for a pool that is removed.
	Want int
}

// BudgetPreview is the availability budget that a document gives a service.
type BudgetPreview struct {
	// Service is the name of the service.
	Service string
	// AllowedSeconds is the bad time that the budget allows in one window, in seconds.
	AllowedSeconds int
	// WindowDays is the length of the window, in days.
	WindowDays int
}

// NewPreview returns the effect of replacing the document from, which is in force, by to. The map vms holds the number
// of VMs of each pool by its name.
func NewPreview(from, to Environment, vms map[string]int) Preview {
	p := Preview{Changes: Compare(from, to)}
	p.comparePools(to, vms)
	for _, s := range to.Services {
		isChanged := func(c Change) bool { return c.Table == "services" && c.Name == string(s.Name) }
		if slices.ContainsFunc(p.Changes, isChanged) {
			allowed := (1 - s.Availability) * float64(s.WindowDays) * secondsPerDay
			p.Budgets = append(p.Budgets, BudgetPreview{
				Service: string(s.Name), AllowedSeconds: int(math.Round(allowed)), WindowDays: s.WindowDays,
			})
		}
	}
	return p
}

func (p *Preview) comparePools(to Environment, vms map[string]int) {
	known := map[string]bool{}
	shortfall, surplus := 0, 0
	add := func(pool string, have, want int) {
		if have != want {
			p.Pools = append(p.Pools, PoolPreview{Pool: pool, Have: have, Want: want})
		}
		shortfall += max(want-have, 0)
		surplus += max(have-want, 0)
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
	p.Moves = min(shortfall, surplus)
	p.Shortfall = shortfall - p.Moves
}
