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
	// lossShare is the part of what is left of a budget that the loss of one failure domain may cost: one half.
	lossShare = 2
	// neverRounds stands for the rounds of a VM that can't be taken out.
	neverRounds = 100
)

// Sizing is how many spare VMs are held, and why.
type Sizing struct {
	// Held is the count of spare VMs to hold.
	Held int
	// Floor is the least count that keeps every budget.
	Floor int
	// RollOut is how long a roll-out takes with the VMs held.
	RollOut time.Duration
	// Kept says whether all spare VMs together keep every budget.
	Kept bool
	// Reason explains the count.
	Reason record.Reason
}

// Size decides how many spare VMs are held: the fewest that keep every budget, and more where the weights want a faster roll-out.
func Size(in Input) Sizing {
	return newView(in).size()
}

func (v *view) size() Sizing {
	low, high := 0, len(v.spares)
	why, kept := v.covers(high)
	for kept && low < high {
		middle := (low + high) / 2
		if reason, ok := v.covers(middle); ok {
			high = middle
		} else {
			low, why = middle+1, reason
		}
	}
	s := Sizing{Held: high, Floor: high, Kept: kept, RollOut: v.rollOut(high)}
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

// cost weighs spare VMs against the time of a roll-out.
func (v *view) cost(held int) int64 {
	return int64(v.Weights.Buffer)*int64(held)*int64(rollOutUnit) + int64(v.Weights.RollOut)*int64(v.rollOut(held))
}

// rollOut returns how long the VMs that are due take with a count of spare VMs held; a pool that can
// spare no VM at all counts as if it took neverRounds for each.
func (v *view) rollOut(held int) time.Duration {
	total, longest := 0, 0
	for i, p := range v.Pools {
		total += p.Due
		atOnce := min(v.Limit, (v.fit[i]+1)/2, v.fit[i]+held-p.Need)
		rounds := p.Due * neverRounds
		if atOnce > 0 {
			rounds = (p.Due + atOnce - 1) / atOnce
		}
		longest = max(longest, rounds)
	}
	return time.Duration(max(longest, (total+v.Limit-1)/max(1, v.Limit))) * v.Outage
}

// covers says whether the first n spare VMs carry every surge, and every surge in the loss of any failure domain as far as budgets don't.
func (v *view) covers(n int) (string, bool) {
	for i, p := range v.Pools {
		if short := v.share(i).Short(); short > 0 && short > v.drawn.LeftFor(v.share(i), n) {
			return fmt.Sprintf("pool %s is %d VMs short in a surge", p.Name, short), false
		}
	}
	for key, pools := range v.parts {
		left, extra := n, 0
		for _, m := range v.spares[:n] {
			if budget.Part(m.Domain, key.level) == key.domain {
				left--
			}
		}
		for i, lost := range pools {
			share := v.share(i)
			extra -= share.Base()
			share.Have -= lost
			extra += share.Base()
		}
		if why, ok := v.outlasts(key, left-extra, pools); !ok {
			return why, false
		}
	}
	return "every surge and loss is carried", true
}

// outlasts says whether every pool with VMs in a lost domain keeps its budget.
func (v *view) outlasts(key part, left int, pools map[int]int) (string, bool) {
	for i, lost := range pools {
		p, share := v.Pools[i], v.share(i)
		share.Have -= lost
		// What the pool itself draws at its mean is part of what it draws in its surge.
		have := share.Have + max(0, left+share.Base()-v.drawn.Base-v.drawn.Together)
		if cost := budget.ShortMS(p.Need, have, budget.Outage(key.level)); cost*lossShare > max(0, p.LeftMS) {
			return fmt.Sprintf("the loss of %s would cost pool %s %d ms of %d", budget.Name(key.domain, key.level), p.Name, cost, p.LeftMS), false
		}
	}
	return "", true
}
