package waves

import (
	"cmp"
	"fmt"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/budget"
)

// domainSet is a set of failure domains of all levels.
type domainSet map[fleet.Domain]bool

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
	return v.checkPoolDrain(w, p, m)
}

// checkPoolDrain reports whether a VM of a pool that serves demand may be taken out: the pool must carry its demand
// without it, and its budgets must outlast the loss of a failure domain meanwhile.
func (v *view) checkPoolDrain(w fleet.Wave, p *pool, m fleet.VM) (record.Reason, bool) {
	spare := v.sparesFor(p)
	if p.active-1+spare < p.Need && (!w.Urgent || !v.affordsShortfall(p, spare)) {
		return record.Reason{
			Inputs: fmt.Sprintf("pool %s: %d active, needs %d, %d spare", p.Name, p.active, p.Need, spare),
			Rule:   "a pool keeps the VMs that carry its demand",
			Change: "less demand, more spare or VMs that come back",
		}, false
	}
	if reason, ok := p.checkBudgets(m, spare); !ok {
		return reason, false
	}
	return record.Reason{
		Inputs: fmt.Sprintf("maintained %s ago; pool %s: %d active, needs %d, %d spare", v.Now.Sub(m.Maintained).Round(time.Second), p.Name, p.active, p.Need, spare),
		Rule:   "the VM is due in wave " + w.Name,
		Change: "cowslip wave hold",
	}, true
}

// checkBudgets reports whether each budget of the pool outlasts the costliest loss of a failure domain while a VM is out.
func (p *pool) checkBudgets(m fleet.VM, spare int) (record.Reason, bool) {
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
	return record.Reason{}, true
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

// maxOut returns how many VMs of a pool may be out at once: half of them, so that a wave that goes wrong leaves the
// other half.
func (p *pool) maxOut() int {
	return (p.active + p.out + 1) / 2
}

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
