package slots

import (
	"math"
	"slices"
	"time"
)

const (
	// goldenRatio spreads the rounding of the runners of a service evenly.
	goldenRatio = 0.6180339887498949
	// evenShare is the part of the slots that is split evenly among the entries with requests while there are too few.
	evenShare = 0.2
)

// target returns how many slots the holder should have of a runner, within what the others can't have in
// progress. It adds to wake those that should report: who has too much while this one lacks, and who
// lacks what is free.
func (l *Ledger) target(a *account, h *holder, now time.Time, wake map[string]bool) int {
	own := a.grants[h]
	if !l.settled(a.runner.Key) {
		return own.last
	}
	var live []*holder
	var demands []float64
	for _, other := range l.holders {
		if other == h || elapsed(other.renewed, now) < l.options.Valid {
			live = append(live, other)
			demands = append(demands, float64(other.level(a.runner.Service)))
		}
	}
	ideals := ideal(demands, float64(l.slots[a.runner.Service]))
	targets := round(ideals, a.runner.Slots, l.options.PerHolder, a.offset)
	wanted := targets[slices.Index(live, h)]
	free := max(a.runner.Slots-a.bound(), 0)
	slots := min(wanted, own.bound+free)
	short := false
	for i, other := range live {
		lacks := other != h && a.boundOf(other) < targets[i]
		exceeds := other != h && a.boundOf(other) > targets[i]
		short = short || lacks
		if lacks && free > 0 || exceeds && slots < wanted {
			wake[other.name] = true
		}
	}
	if slots < own.last && !short {
		return own.last
	}
	return slots
}

func (a *account) boundOf(h *holder) int {
	if g, ok := a.grants[h]; ok {
		return g.bound
	}
	return 0
}

// ideal divides a service's slots. Where there are enough, each entry gets what it asks for and an even
// part of the rest; else the slots go by demand, a part of them evenly among the entries with any.
func ideal(demands []float64, slots float64) []float64 {
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
	even := slots * evenShare / active
	for _, d := range demands {
		rest += max(d-even, 0)
		slots -= min(d, even)
	}
	for i, d := range demands {
		shares[i] = min(d, even) + slots*max(d-even, 0)/rest
	}
	return shares
}

// round turns shares of a service into whole slots of one runner. The runners' offsets
// make the rounded slots of an entry add up to about its share.
func round(shares []float64, slots, most int, offset float64) []int {
	var sum, passed float64
	for _, s := range shares {
		sum += s
	}
	rounded := make([]int, len(shares))
	if sum <= 0 {
		return rounded
	}
	left := slots
	for i, s := range shares {
		before := math.Floor(passed*float64(slots)/sum + offset)
		passed += s
		after := math.Floor(passed*float64(slots)/sum + offset)
		if i == len(shares)-1 {
			after = float64(slots) + math.Floor(offset)
		}
		rounded[i] = min(int(after-before), most)
		left -= rounded[i]
	}
	for given := true; left > 0 && given; {
		given = false
		for i, s := range shares {
			if left > 0 && s > 0 && rounded[i] < most {
				rounded[i]++
				left--
				given = true
			}
		}
	}
	return rounded
}
