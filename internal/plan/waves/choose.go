package waves

import (
	"cmp"
	"fmt"
	"slices"
	"time"

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

// domainSet is a set of failure domains of all levels.
type domainSet map[fleet.Domain]bool

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

// maxOut returns how many VMs of a pool may be out at once: half of them, so that a wave that goes wrong leaves the
// other half.
func (p *pool) maxOut() int {
	return (p.active + p.out + 1) / 2
}

// checkDrain reports whether a VM may be taken out now, and by which rule.
func (v *view) checkDrain(w fleet.Wave, p *pool, m fleet.VM, recent, taken domainSet) (record.Reason, bool) {
	if domain, ok := blockedDomain(m.Domain, recent, taken); ok {
		return record.Reason{
			Inputs: fmt.Sprintf("a VM in %s failed less than %s ago", domain, v.Policy.FailureWindow),
			Rule:   "a failure domain with a recent failure loses no second VM to a wave",
			Change: "time without a failure there",
		}, false
	}
	if p.out >= p.maxOut() {
		return record.Reason{
			Inputs: fmt.Sprintf("pool %s: %d VMs out of %d", p.Name, p.out, p.active+p.out),
			Rule:   "at most half of a pool is out at once",
			Change: "VMs that come back",
		}, false
	}
	if v.SparePools[p.Name] {
		return v.checkSpareDrain(w, m)
	}
	spare := v.sparesFor(p)
	if p.active-1+spare < p.Need && (!w.Urgent || !v.affordsShortfall(p, spare)) {
		return record.Reason{
			Inputs: fmt.Sprintf("pool %s: %d active, needs %d, %d spare", p.Name, p.active, p.Need, spare),
			Rule:   "a pool keeps the VMs that carry its demand",
			Change: "less demand, more spare or VMs that come back",
		}, false
	}
	loss := budget.WorstLoss(withoutVM(p.vms, m.Name), p.Need, spare)
	for _, s := range p.budgets {
		if s.LeftMS() < loss.BadMS {
			return record.Reason{
				Inputs: fmt.Sprintf("service %s: %d ms of %d left, the loss of %s would cost %d", s.Policy.Service, s.LeftMS(), s.Policy.AllowedMS, cmp.Or(loss.Domain, "any domain"), loss.BadMS),
				Rule:   "a budget outlasts the loss of the largest failure domain",
				Change: "bad time that leaves the window, less demand or more spare",
			}, false
		}
	}
	return record.Reason{
		Inputs: fmt.Sprintf("maintained %s ago; pool %s: %d active, needs %d, %d spare", v.Now.Sub(m.Maintained).Round(time.Second), p.Name, p.active, p.Need, spare),
		Rule:   "the VM is due in wave " + w.Name,
		Change: "cowslip wave hold",
	}, true
}

// checkSpareDrain reports whether a spare VM may be taken out: the other spare VMs must carry what the pools use.
func (v *view) checkSpareDrain(w fleet.Wave, m fleet.VM) (record.Reason, bool) {
	for _, p := range v.demandPools {
		if short := p.spareDemand().SurgeDraw(); short > 0 && short > v.spareDraw.AvailableTo(p.spareDemand(), v.activeSpares-1) {
			return record.Reason{
				Inputs: fmt.Sprintf("pool %s draws on %d spare VMs of %d", p.Name, short, v.activeSpares),
				Rule:   "the pools keep the spare VMs that they draw on",
				Change: "less demand or VMs that come back",
			}, false
		}
	}
	return record.Reason{
		Inputs: fmt.Sprintf("maintained %s ago; %d spare VMs", v.Now.Sub(m.Maintained).Round(time.Second), v.activeSpares),
		Rule:   "the spare VM is due in wave " + w.Name,
		Change: "cowslip wave hold",
	}, true
}

// affordsShortfall reports whether an urgent wave may leave a pool short of VMs: at least half of the needed VMs stay, and
// each budget covers twice the cost. A pool without budgets is never left short.
func (v *view) affordsShortfall(p *pool, spare int) bool {
	if 2*(p.active-1+spare) < p.Need {
		return false
	}
	cost := budget.ShortfallMS(p.Need, p.active-1+spare, v.Policy.Outage)
	for _, s := range p.budgets {
		if 2*cost > s.LeftMS() {
			return false
		}
	}
	return len(p.budgets) > 0
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

// recentFailureDomains returns the failure domains with a recent failure.
func (v *view) recentFailureDomains() domainSet {
	recent := domainSet{}
	for _, m := range v.VMs {
		if m.Phase == fleet.PhaseFailed || (!m.Failed.IsZero() && v.Now.Sub(m.Failed) < v.Policy.FailureWindow) {
			addDomains(recent, m.Domain)
		}
	}
	return recent
}

// outDomains returns the failure domains in which a wave has a VM out.
func (v *view) outDomains(w fleet.Wave) domainSet {
	taken := domainSet{}
	for _, m := range v.VMs {
		if isOut(m, w.Name) && m.Phase != fleet.PhaseFailed {
			addDomains(taken, m.Domain)
		}
	}
	return taken
}

func addDomains(set domainSet, d fleet.Domain) {
	for _, l := range budget.Levels {
		set[budget.DomainAt(d, l)] = true
	}
}

// blockedDomain returns the domain in which a recent failure forbids taking a VM: its rack in any case, its switch and
// data centre only if the wave already has a VM out there.
func blockedDomain(d fleet.Domain, recent, taken domainSet) (string, bool) {
	for _, l := range budget.Levels {
		domain := budget.DomainAt(d, l)
		if recent[domain] && (l == budget.LevelRack || taken[domain]) {
			return budget.DomainName(d, l), true
		}
	}
	return "", false
}

// Explain returns why a VM is taken out next or isn't; false means that no VM has that name.
func Explain(in Input, name string) (record.Reason, bool) {
	v := newView(in)
	index := slices.IndexFunc(in.VMs, func(m fleet.VM) bool { return m.Name == name })
	if index < 0 {
		return record.Reason{}, false
	}
	m := in.VMs[index]
	w, ok := v.current()
	switch {
	case m.Phase != fleet.PhaseActive:
		return record.Reason{Inputs: "phase " + m.Phase.String() + ", work " + m.Work, Rule: m.Cause}, true
	case !ok || !w.IsDue(m):
		return record.Reason{
			Inputs: fmt.Sprintf("maintained %s ago, cycle %s", v.Now.Sub(m.Maintained).Round(time.Second), v.Policy.Cycle),
			Rule:   "the VM is not due", Change: "the next wave, or cowslip wave start",
		}, true
	}
	v.countProgress(w)
	reason, _ := v.checkDrain(w, v.pools[m.Pool], m, v.recentFailureDomains(), v.outDomains(w))
	return reason, true
}

// ShortageWithout returns why a pool would be short of capacity without a VM. It is empty if the VM can be spared or
// isn't active.
func ShortageWithout(in Input, name string) string {
	v := newView(in)
	for _, m := range in.VMs {
		if m.Name != name || m.Phase != fleet.PhaseActive {
			continue
		}
		if reason, ok := v.checkDrain(fleet.Wave{}, v.pools[m.Pool], m, domainSet{}, domainSet{}); !ok {
			return reason.String()
		}
	}
	return ""
}

// Forecast describes the least duration of a wave before it starts, and why it can't take some of its VMs yet.
func Forecast(in Input, w fleet.Wave) string {
	v := newView(in)
	_, due := v.countProgress(w)
	text := fmt.Sprintf("%d VMs due, %s at the least", due, MinDuration(in, w))
	reported := map[string]bool{}
	recent, taken := v.recentFailureDomains(), v.outDomains(w)
	for _, m := range v.eligibleVMs(w) {
		if reason, ok := v.checkDrain(w, v.pools[m.Pool], m, recent, taken); !ok && !reported[reason.Inputs] {
			reported[reason.Inputs] = true
			text += "; waits: " + reason.String()
		}
	}
	return text
}
