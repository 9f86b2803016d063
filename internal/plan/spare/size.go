package spare

import (
	"fmt"
	"time"

	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/budget"
)

const (
	// rollOutUnit is the roll-out time that weighs as much as one spare VM under equal weights.
	rollOutUnit = 10 * time.Minute
	// lossDivisor gives the part of what is left of a budget that the loss of one failure domain may cost: one half.
	lossDivisor = 2
	// blockedRounds is the number of rounds assumed for a VM that can't be taken out.
	blockedRounds = 100
)

// Sizing is the number of spare VMs to hold, and why.
type Sizing struct {
	// Held is the number of spare VMs to hold.
	Held int
	// Floor is the smallest number of held VMs that keeps every budget.
	Floor int
	// RollOut is how long a roll-out takes with Held spare VMs.
	RollOut time.Duration
	// BudgetsKept reports whether all spare VMs together keep every budget.
	BudgetsKept bool
	// Reason explains the number of held VMs.
	Reason record.Reason
}

// Size decides how many spare VMs are held: the fewest that keep every budget, and more if the weights favour a faster
// roll-out.
func Size(in Input) Sizing {
	return newView(in).size()
}

func (v *view) size() Sizing {
	low, high := 0, len(v.spares)
	why, kept := v.coveredBy(high)
	for kept && low < high {
		middle := (low + high) / 2
		if reason, ok := v.coveredBy(middle); ok {
			high = middle
		} else {
			low, why = middle+1, reason
		}
	}
	s := Sizing{Held: high, Floor: high, BudgetsKept: kept, RollOut: v.rollOut(high)}
	best := v.cost(high)
	for n := high + 1; n <= len(v.spares); n++ {
		if c := v.cost(n); c < best {
			best, s.Held, s.RollOut = c, n, v.rollOut(n)
		}
	}
	s.Reason = record.Reason{
		Inputs: fmt.Sprintf("%d spare VMs, floor %d: %s; roll-out %s", len(v.spares), s.Floor, why, s.RollOut),
		Rule:   "hold the fewest spare VMs that keep every budget, and more where the weights want a faster roll-out",
		Change: "demand, a loss, a wave, or the weights of the document",
	}
	if !kept {
		s.Reason.Rule = "all spare VMs are held, and they don't keep every budget"
	}
	return s
}

// cost returns the weighted sum of the spare VMs held and the duration of a roll-out.
func (v *view) cost(held int) int64 {
	return int64(v.Weights.Buffer)*int64(held)*int64(rollOutUnit) + int64(v.Weights.RollOut)*int64(v.rollOut(held))
}

// rollOut returns how long the maintenance of the due VMs takes with the given number of spare VMs held. A pool that can
// spare no VM is counted with blockedRounds for each due VM.
func (v *view) rollOut(held int) time.Duration {
	total, longest := 0, 0
	for i, p := range v.Pools {
		total += p.Due
		atOnce := min(v.Limit, (v.notFailed[i]+1)/2, v.notFailed[i]+held-p.Need)
		rounds := p.Due * blockedRounds
		if atOnce > 0 {
			rounds = (p.Due + atOnce - 1) / atOnce
		}
		longest = max(longest, rounds)
	}
	return time.Duration(max(longest, (total+v.Limit-1)/max(1, v.Limit))) * v.Outage
}

// coveredBy reports whether the first n spare VMs carry every surge, and every surge during the loss of any failure domain
// as far as budgets don't pay for it. It also returns the reason.
func (v *view) coveredBy(n int) (string, bool) {
	for i, p := range v.Pools {
		if short := v.spareDemand(i).SurgeDraw(); short > 0 && short > v.spareDraw.AvailableTo(v.spareDemand(i), n) {
			return fmt.Sprintf("pool %s is %d VMs short in a surge", p.Name, short), false
		}
	}
	for key, pools := range v.domainCounts {
		left, extra := n, 0
		for _, m := range v.spares[:n] {
			if budget.DomainAt(m.Domain, key.level) == key.domain {
				left--
			}
		}
		for i, lost := range pools {
			demand := v.spareDemand(i)
			extra -= demand.MeanDraw()
			demand.Have -= lost
			extra += demand.MeanDraw()
		}
		if why, ok := v.budgetsOutlast(key, left-extra, pools); !ok {
			return why, false
		}
	}
	return "every surge and loss is carried", true
}

// budgetsOutlast reports whether every pool with VMs in a lost domain keeps its budget, and names one that doesn't.
func (v *view) budgetsOutlast(key domainKey, left int, pools map[int]int) (string, bool) {
	for i, lost := range pools {
		p, demand := v.Pools[i], v.spareDemand(i)
		demand.Have -= lost
		// The pool's own use at its mean load is part of its use in a surge, so it is added back.
		have := demand.Have + max(0, left+demand.MeanDraw()-v.spareDraw.Mean-v.spareDraw.Surge)
		if cost := budget.ShortfallMS(p.Need, have, budget.ExpectedOutage(key.level)); cost*lossDivisor > max(0, p.LeftMS) {
			return fmt.Sprintf("the loss of %s would cost pool %s %d ms of %d", budget.DomainName(key.domain, key.level), p.Name, cost, p.LeftMS), false
		}
	}
	return "", true
}
