package budget

import "slices"

// thousand scales loads and shares of time, which are counted in thousandths.
const thousand = 1000

// SpareDemand describes what one pool needs from spare VMs that several pools share.
type SpareDemand struct {
	// Need and Mean are the numbers of VMs that carry the pool's surges and its mean load.
	Need, Mean int
	// Have is the number of the pool's own VMs that count as capacity.
	Have int
	// DutyMilli is the share of time in which the pool surges, in thousandths.
	DutyMilli int64
}

// SurgeDraw returns how many spare VMs the pool uses in a surge.
func (s SpareDemand) SurgeDraw() int {
	return max(0, s.Need-s.Have)
}

// MeanDraw returns how many spare VMs the pool uses at its mean load.
func (s SpareDemand) MeanDraw() int {
	return max(0, s.Mean-s.Have)
}

// SpareDraw is the number of shared spare VMs that pools use while one of them surges.
type SpareDraw struct {
	// Mean is what all pools use at their mean load.
	Mean int
	// Surge is what the pools that surge at the same time as that one use beyond their mean.
	Surge int
}

// TotalDraw adds up what pools use of the spare VMs. It assumes that surges take turns: as many pools surge at once as
// their shares of time add up to.
func TotalDraw(demands []SpareDemand) SpareDraw {
	var d SpareDraw
	var duty int64
	extras := make([]int, 0, len(demands))
	for _, s := range demands {
		d.Mean += s.MeanDraw()
		duty += s.DutyMilli
		extras = append(extras, s.SurgeDraw()-s.MeanDraw())
	}
	slices.Sort(extras)
	surging := min(len(extras), int((duty+thousand/2)/thousand))
	for _, n := range extras[len(extras)-max(0, surging-1):] {
		d.Surge += max(0, n)
	}
	return d
}

// AvailableTo returns how many of the given number of spare VMs a pool can use in its surge.
func (d SpareDraw) AvailableTo(s SpareDemand, spare int) int {
	return max(0, spare-(d.Mean-s.MeanDraw())-d.Surge)
}
