package budget

import "slices"

// thousand is the unit of load and of shares of time.
const thousand = 1000

// Share is what one pool asks of spare VMs that several pools share.
type Share struct {
	// Need and Mean are the VMs that carry the pool's surges and its mean load.
	Need, Mean int
	// Have is the count of the pool's own VMs that count as capacity.
	Have int
	// DutyMilli is the share of time in which the pool surges, in thousandths.
	DutyMilli int64
}

// Short returns how many spare VMs the pool draws on in a surge.
func (s Share) Short() int {
	return max(0, s.Need-s.Have)
}

// Base returns how many spare VMs the pool draws on at its mean.
func (s Share) Base() int {
	return max(0, s.Mean-s.Have)
}

// Drawn is what pools draw on shared spare VMs while one of them surges.
type Drawn struct {
	// Base is what all pools draw at their mean.
	Base int
	// Together is what those that surge together with one more draw beyond it.
	Together int
}

// Draw adds up what pools draw; surges come in turn, and as many at once as their shares of time add up to.
func Draw(shares []Share) Drawn {
	var d Drawn
	var duty int64
	extras := make([]int, 0, len(shares))
	for _, s := range shares {
		d.Base += s.Base()
		duty += s.DutyMilli
		extras = append(extras, s.Short()-s.Base())
	}
	slices.Sort(extras)
	surging := min(len(extras), int((duty+thousand/2)/thousand))
	for _, n := range extras[len(extras)-max(0, surging-1):] {
		d.Together += max(0, n)
	}
	return d
}

// LeftFor returns how many of a count of spare VMs a pool can draw on in its surge.
func (d Drawn) LeftFor(s Share, spare int) int {
	return max(0, spare-(d.Base-s.Base())-d.Together)
}
