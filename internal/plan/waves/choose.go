package waves

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/budget"
)

// rampFactor is how many more VMs a wave may have out for each one that returned.
const rampFactor = 2

// poolRack identifies the VMs of one pool in one rack.
type poolRack struct {
	pool   string
	domain fleet.Domain
}

// drainAllowed drains as many VMs as the limit, the budgets, the capacity and recent failures allow. It also returns what
// blocked the rest.
func (v *view) drainAllowed(w fleet.Wave, out int) ([]record.Action, record.Reason) {
	allowed := min(v.Policy.Limit, 1+rampFactor*w.Returned) - out
	blocked := record.Reason{
		Inputs: fmt.Sprintf("%d VMs out, %d returned, limit %d", out, w.Returned, v.Policy.Limit),
		Rule:   "a wave starts with one VM and grows with those that come back",
	}
	var actions []record.Action
	recent, taken := v.recentFailureDomains(), v.outDomains(w)
	// A refusal applies to all VMs of a pool in one rack, and stays valid: the conditions only get stricter within a step.
	refused := map[poolRack]bool{}
	drained := 0
	v.queueCandidates(w)
	for drained < allowed {
		p := v.slowestPool()
		if p == nil {
			break
		}
		m := p.candidates[0]
		p.candidates = p.candidates[1:]
		key := poolRack{m.Pool, m.Domain}
		if refused[key] {
			continue
		}
		reason, ok := v.checkDrain(w, p, m, recent, taken)
		if !ok {
			blocked, refused[key] = reason, true
			continue
		}
		drained++
		actions = append(actions, vmAction(m, record.VMDrain, w.Name, reason))
		actions = append(actions, v.reserveBudgets(w, p)...)
		v.markDrained(p, m)
		addDomains(taken, m.Domain)
	}
	return actions, blocked
}

// slowestPool returns the pool with candidates that needs the most rounds, or nil if no pool has candidates.
func (v *view) slowestPool() *pool {
	var best *pool
	for _, name := range v.poolNames {
		if p := v.pools[name]; len(p.candidates) > 0 && (best == nil || v.roundsMilli(p) > v.roundsMilli(best)) {
			best = p
		}
	}
	return best
}

// queueCandidates adds the VMs that a wave may take to the candidates of their pools.
func (v *view) queueCandidates(w fleet.Wave) {
	for _, m := range v.eligibleVMs(w) {
		p := v.pools[m.Pool]
		p.candidates = append(p.candidates, m)
	}
}

// eligibleVMs returns the VMs that a wave may take: those in racks with the most due VMs of the same pool first, then
// those whose maintenance is oldest.
func (v *view) eligibleVMs(w fleet.Wave) []fleet.VM {
	var due []fleet.VM
	for _, m := range v.VMs {
		if m.Phase == fleet.PhaseActive && w.IsDue(m) {
			due = append(due, m)
		}
	}
	racks := map[poolRack]int{}
	for _, m := range due {
		racks[poolRack{m.Pool, m.Domain}]++
	}
	slices.SortStableFunc(due, func(a, b fleet.VM) int {
		return cmp.Or(
			cmp.Compare(racks[poolRack{b.Pool, b.Domain}], racks[poolRack{a.Pool, a.Domain}]),
			a.Maintained.Compare(b.Maintained),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return due
}

// roundsMilli returns how many rounds a pool still needs, in thousandths.
func (v *view) roundsMilli(p *pool) int {
	const thousand = 1000
	return thousand * p.due / max(1, min(p.maxOut(), p.active+p.out+min(v.activeSpares, v.SpareLimit)-p.Need))
}

// reserveBudgets reserves the bad time of a pool that an urgent wave leaves short of VMs.
func (v *view) reserveBudgets(w fleet.Wave, p *pool) []record.Action {
	spare := v.sparesFor(p)
	cost := budget.ShortfallMS(p.Need, p.active-1+spare, v.Policy.Outage)
	if cost == 0 {
		return nil
	}
	var actions []record.Action
	for _, s := range p.budgets {
		actions = append(actions, record.Action{
			Reason: record.Reason{Inputs: fmt.Sprintf("%d ms", cost), Rule: "an urgent wave reserves what it costs"},
			Command: record.Command{Budget: &record.BudgetChange{
				Service: s.Policy.Service, From: v.Now, Until: v.Now, WindowDays: s.Policy.WindowDays,
				Work: w.Name, ReserveMS: cost, ReserveUntil: v.Now.Add(2 * v.Policy.Outage),
			}},
		})
	}
	return actions
}

// markDrained removes a VM from the pool's working state.
func (v *view) markDrained(p *pool, m fleet.VM) {
	p.active--
	p.out++
	if v.SparePools[p.Name] {
		v.activeSpares--
	}
	v.updateSpareDraw()
	p.due--
	p.vms = withoutVM(p.vms, m.Name)
}

func withoutVM(vms []fleet.VM, name string) []fleet.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(m fleet.VM) bool { return m.Name == name })
}
