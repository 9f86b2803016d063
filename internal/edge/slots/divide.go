package slots

import (
	"math"
	"slices"
	"time"
)

const (
	// goldenRatio spreads the rounding offsets of a service's runners evenly.
	goldenRatio = 0.6180339887498949
	// evenFraction is the fraction of a service's slots that is split evenly among the entries with demand when the
	// demand exceeds the slots.
	evenFraction = 0.2
)

// targetSlots returns how many slots the holder should have of a runner, limited to those that no other holder can
// have in use. It adds to wake the entries that should report soon: those above their target while this holder is
// below its own, and those below their target while slots are free.
func (l *Ledger) targetSlots(rs *runnerState, h *holderState, now time.Time, wake map[string]bool) int {
	own := rs.grants[h]
	if !l.allGrantsKnown(rs.runner.Key) {
		return own.slots
	}
	var live []*holderState
	var demands []float64
	for _, other := range l.holders {
		if other == h || elapsed(other.renewed, now) < l.options.GrantDuration {
			live = append(live, other)
			demands = append(demands, float64(other.demandFor(rs.runner.Service)))
		}
	}
	shares := fairShares(demands, float64(l.serviceSlots[rs.runner.Service]))
	targets := roundShares(shares, rs.runner.Slots, l.options.MaxPerHolder, rs.roundingOffset)
	wanted := targets[slices.Index(live, h)]
	free := max(rs.runner.Slots-rs.bound(), 0)
	slots := min(wanted, own.bound+free)
	short := false
	for i, other := range live {
		lacks := other != h && rs.boundFor(other) < targets[i]
		exceeds := other != h && rs.boundFor(other) > targets[i]
		short = short || lacks
		if lacks && free > 0 || exceeds && slots < wanted {
			wake[other.name] = true
		}
	}
	if slots < own.slots && !short {
		return own.slots
	}
	return slots
}

func (rs *runnerState) boundFor(h *holderState) int {
	if g, ok := rs.grants[h]; ok {
		return g.bound
	}
	return 0
}

// fairShares divides a service's slots. If there are enough, each entry gets its demand and an equal part of the
// rest; otherwise a fraction of the slots is divided evenly among the entries with demand, and the rest by demand.
func fairShares(demands []float64, slots float64) []float64 {
	var sum, active, rest float64
	for _, d := range demands {
		sum += d
		if d > 0 {
			active++
		}
	}
	shares := make([]float64, len(demands))
	if sum <= slots {
		for i, d := range demands {
			shares[i] = d + (slots-sum)/float64(len(demands))
		}
		return shares
	}
	even := slots * evenFraction / active
	for _, d := range demands {
		rest += max(d-even, 0)
		slots -= min(d, even)
	}
	for i, d := range demands {
		shares[i] = min(d, even) + slots*max(d-even, 0)/rest
	}
	return shares
}

// roundShares converts shares of a service into whole slots of one runner. The offset differs by runner, so that an
// entry's slots over all runners add up to about its share.
func roundShares(shares []float64, slots, maxSlots int, offset float64) []int {
	var sum, cumulative float64
	for _, s := range shares {
		sum += s
	}
	rounded := make([]int, len(shares))
	if sum <= 0 {
		return rounded
	}
	left := slots
	for i, s := range shares {
		before := math.Floor(cumulative*float64(slots)/sum + offset)
		cumulative += s
		after := math.Floor(cumulative*float64(slots)/sum + offset)
		if i == len(shares)-1 {
			after = float64(slots) + math.Floor(offset)
		}
		rounded[i] = min(int(after-before), maxSlots)
		left -= rounded[i]
	}
	for changed := true; left > 0 && changed; {
		changed = false
		for i, s := range shares {
			if left > 0 && s > 0 && rounded[i] < maxSlots {
				rounded[i]++
				left--
				changed = true
			}
		}
	}
	return rounded
}
