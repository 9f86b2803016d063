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

// rampFactor is how many more VMs a wave may have out for each one that came back.
const rampFactor = 2

// place is a pool's part of one rack.
type place struct {
	pool   string
	domain fleet.Domain
}

// domains is a set of failure domains of all levels.
type domains map[fleet.Domain]bool

// take drains as many VMs as the limit, the budgets, the capacity and recent failures allow; it also says what blocked the rest.
func (v *view) take(w fleet.Wave, out int) ([]record.Action, record.Reason) {
	room := min(v.Policy.Limit, 1+rampFactor*w.Returned) - out
	blocked := record.Reason{
		Inputs: fmt.Sprintf("%d VMs out, %d returned, limit %d", out, w.Returned, v.Policy.Limit),
		Rule:   "a wave starts with one VM and grows with those that come back",
	}
	var actions []record.Action
	recent, taken := v.recentDomains(), v.takenDomains(w)
	// A refusal holds for all VMs of a pool in one rack, and only gets stricter within a step.
	refused := map[place]bool{}
	drained := 0
	v.queue(w)
	for drained < room {
		p := v.longest()
		if p == nil {
			break
		}
		m := p.next[0]
		p.next = p.next[1:]
		spot := place{m.Pool, m.Domain}
		if refused[spot] {
			continue
		}
		reason, ok := v.verdict(w, p, m, recent, taken)
		if !ok {
			blocked, refused[spot] = reason, true
			continue
		}
		drained++
		actions = append(actions, vmAction(m, record.VMDrain, w.Name, reason))
		actions = append(actions, v.reserve(w, p)...)
		v.remove(p, m)
		addDomains(taken, m.Domain)
	}
	return actions, blocked
}

// longest returns the pool that has VMs to take and needs most rounds for them, nil where there is none.
func (v *view) longest() *pool {
	var best *pool
	for _, name := range v.names {
		if p := v.pools[name]; len(p.next) > 0 && (best == nil || v.way(p) > v.way(best)) {
			best = p
		}
	}
	return best
}

// queue sorts the VMs that a wave may take by pool.
func (v *view) queue(w fleet.Wave) {
	for _, m := range v.candidates(w) {
		p := v.pools[m.Pool]
		p.next = append(p.next, m)
	}
}

// candidates returns the VMs that a wave may take: those of racks with many of the same pool first, then the oldest.
func (v *view) candidates(w fleet.Wave) []fleet.VM {
	var due []fleet.VM
	for _, m := range v.VMs {
		if m.Phase == fleet.PhaseActive && w.Due(m) {
			due = append(due, m)
		}
	}
	racks := map[place]int{}
	for _, m := range due {
		racks[place{m.Pool, m.Domain}]++
	}
	slices.SortStableFunc(due, func(a, b fleet.VM) int {
		return cmp.Or(
			cmp.Compare(racks[place{b.Pool, b.Domain}], racks[place{a.Pool, a.Domain}]),
			a.Maintained.Compare(b.Maintained),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return due
}

// way is how many rounds a pool still needs, in thousandths.
func (v *view) way(p *pool) int {
	const thousand = 1000
	return thousand * p.due / max(1, min(p.half(), p.have+p.out+min(v.spare, v.SpareLimit)-p.Need))
}

// half is the most VMs of a pool that are out at once: a wave that goes wrong leaves it the other half.
func (p *pool) half() int {
	return (p.have + p.out + 1) / 2
}

// verdict says whether a VM may be taken out now, and by which rule.
func (v *view) verdict(w fleet.Wave, p *pool, m fleet.VM, recent, taken domains) (record.Reason, bool) {
	if domain, ok := sharedDomain(m.Domain, recent, taken); ok {
		return record.Reason{
			Inputs: fmt.Sprintf("a VM in %s failed less than %s ago", domain, v.Policy.Recent),
			Rule:   "a failure domain with a recent failure loses no second VM to a wave",
			Change: "time without a failure there",
		}, false
	}
	if p.out >= p.half() {
		return record.Reason{
			Inputs: fmt.Sprintf("pool %s: %d VMs out of %d", p.Name, p.out, p.have+p.out),
			Rule:   "at most half of a pool is out at once",
			Change: "VMs that come back",
		}, false
	}
	if v.SparePools[p.Name] {
		return v.spareVerdict(w, m)
	}
	spare := v.spareFor(p)
	if p.have-1+spare < p.Need && (!w.Urgent || !v.affordable(p, spare)) {
		return record.Reason{
			Inputs: fmt.Sprintf("pool %s: %d active, needs %d, %d spare", p.Name, p.have, p.Need, spare),
			Rule:   "a pool keeps the VMs that carry its demand",
			Change: "less demand, more spare or VMs that come back",
		}, false
	}
	loss := budget.WorstLoss(without(p.vms, m.Name), p.Need, spare)
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
		Inputs: fmt.Sprintf("maintained %s ago; pool %s: %d active, needs %d, %d spare", v.Now.Sub(m.Maintained).Round(time.Second), p.Name, p.have, p.Need, spare),
		Rule:   "the VM is due in wave " + w.Name,
		Change: "cowslip wave hold",
	}, true
}

// spareVerdict says whether a spare VM may be taken out: the others must carry what the pools draw.
func (v *view) spareVerdict(w fleet.Wave, m fleet.VM) (record.Reason, bool) {
	for _, p := range v.order {
		if short := p.share().Short(); short > 0 && short > v.drawn.LeftFor(p.share(), v.spare-1) {
			return record.Reason{
				Inputs: fmt.Sprintf("pool %s draws on %d spare VMs of %d", p.Name, short, v.spare),
				Rule:   "the pools keep the spare VMs that they draw on",
				Change: "less demand or VMs that come back",
			}, false
		}
	}
	return record.Reason{
		Inputs: fmt.Sprintf("maintained %s ago; %d spare VMs", v.Now.Sub(m.Maintained).Round(time.Second), v.spare),
		Rule:   "the spare VM is due in wave " + w.Name,
		Change: "cowslip wave hold",
	}, true
}

// affordable says whether an urgent wave may leave a pool short: half of its need stays, and each budget pays for twice the cost.
func (v *view) affordable(p *pool, spare int) bool {
	if 2*(p.have-1+spare) < p.Need {
		return false
	}
	cost := budget.ShortMS(p.Need, p.have-1+spare, v.Policy.Outage)
	for _, s := range p.budgets {
		if 2*cost > s.LeftMS() {
			return false
		}
	}
	return len(p.budgets) > 0
}

// reserve promises the bad time of a pool that an urgent wave leaves short.
func (v *view) reserve(w fleet.Wave, p *pool) []record.Action {
	spare := v.spareFor(p)
	cost := budget.ShortMS(p.Need, p.have-1+spare, v.Policy.Outage)
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

// remove takes a VM out of the pool's working view.
func (v *view) remove(p *pool, m fleet.VM) {
	p.have--
	p.out++
	if v.SparePools[p.Name] {
		v.spare--
	}
	v.draw()
	p.due--
	p.vms = without(p.vms, m.Name)
}

func without(vms []fleet.VM, name string) []fleet.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(m fleet.VM) bool { return m.Name == name })
}

// recentDomains holds the failure domains with a recent failure.
func (v *view) recentDomains() domains {
	recent := domains{}
	for _, m := range v.VMs {
		if m.Phase == fleet.PhaseFailed || (!m.Failed.IsZero() && v.Now.Sub(m.Failed) < v.Policy.Recent) {
			addDomains(recent, m.Domain)
		}
	}
	return recent
}

// takenDomains holds the failure domains in which a wave has a VM out.
func (v *view) takenDomains(w fleet.Wave) domains {
	taken := domains{}
	for _, m := range v.VMs {
		if outOf(m, w.Name) && m.Phase != fleet.PhaseFailed {
			addDomains(taken, m.Domain)
		}
	}
	return taken
}

func addDomains(set domains, d fleet.Domain) {
	for _, l := range budget.Levels {
		set[budget.Part(d, l)] = true
	}
}

// sharedDomain returns the domain in which a recent failure forbids to take a VM: its rack
// at once, its switch and data centre where the wave has a VM out there already.
func sharedDomain(d fleet.Domain, recent, taken domains) (string, bool) {
	for _, l := range budget.Levels {
		part := budget.Part(d, l)
		if recent[part] && (l == budget.LevelRack || taken[part]) {
			return budget.Name(d, l), true
		}
	}
	return "", false
}

// Explain returns why a VM is taken out next or isn't.
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
	case !ok || !w.Due(m):
		return record.Reason{
			Inputs: fmt.Sprintf("maintained %s ago, cycle %s", v.Now.Sub(m.Maintained).Round(time.Second), v.Policy.Cycle),
			Rule:   "the VM is not due", Change: "the next wave, or cowslip wave start",
		}, true
	}
	v.progress(w)
	reason, _ := v.verdict(w, v.pools[m.Pool], m, v.recentDomains(), v.takenDomains(w))
	return reason, true
}

// Short returns why a pool would be left short without a VM; it is empty where the VM can be spared.
func Short(in Input, name string) string {
	v := newView(in)
	for _, m := range in.VMs {
		if m.Name != name || m.Phase != fleet.PhaseActive {
			continue
		}
		if reason, ok := v.verdict(fleet.Wave{}, v.pools[m.Pool], m, domains{}, domains{}); !ok {
			return reason.String()
		}
	}
	return ""
}

// Forecast says before a wave starts how long it takes at the least, and which pools it can't touch now.
func Forecast(in Input, w fleet.Wave) string {
	v := newView(in)
	_, due := v.progress(w)
	text := fmt.Sprintf("%d VMs due, %s at the least", due, Bound(in, w))
	told := map[string]bool{}
	recent, taken := v.recentDomains(), v.takenDomains(w)
	for _, m := range v.candidates(w) {
		if reason, ok := v.verdict(w, v.pools[m.Pool], m, recent, taken); !ok && !told[reason.Inputs] {
			told[reason.Inputs] = true
			text += "; waits: " + reason.String()
		}
	}
	return text
}
