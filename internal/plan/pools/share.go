package pools

// Shares holds how many VMs each pool should have now.
type Shares struct {
	// Targets are the numbers of VMs, in the order of the pools; none for the standby pool.
	Targets []int
	// Scarce means that the work that can still be in time needs more VMs than there are.
	Scarce bool
}

// latePart is the part of late work that counts: it is worth little by then, but waits no longer than it must.
const latePart = 5

// promisedPercent is the part of the VMs that is promised to the pools with work in equal parts.
const promisedPercent = 75

// Share divides the VMs between the pools: each gets its need where there are enough VMs for all, and its share of them
// otherwise.
//
// It answers a load that is above the capacity of the whole fleet for some seconds: without shares the pools that asked
// first would keep all VMs until their backlogs are done. What must run on separate VMs goes first, and part of the VMs is
// promised to all pools alike, so that none starves beside much larger ones. The rest is divided in proportion to the work
// that can still be in time and a part of the late work: all pools get through theirs at the same pace, and VMs move only as
// the work shifts. What that leaves goes to late work, where it stands already before any VM moves for it.
func Share(all []Pool) Shares {
	needs, weighed := make([]int, len(all)), make([]int, len(all))
	needed, neededInTime, weighedTotal, total := 0, 0, 0, 0
	for i, p := range all {
		needs[i] = Need(p)
		weighed[i] = needFor(p, p.InTime.Add(p.Late.part(latePart)).Total())
		needed += needs[i]
		neededInTime += needFor(p, p.InTime.Total())
		weighedTotal += weighed[i]
		total += len(p.VMs)
	}
	switch {
	case needed <= total:
		return Shares{Targets: needs}
	case weighedTotal < total:
		return Shares{Targets: addLate(all, needs, weighed, total-weighedTotal)}
	}
	return Shares{Targets: divide(total, weighed, promisedVMs(all, weighed, total)), Scarce: neededInTime >= total}
}

// promisedVMs returns the least number of VMs for each pool while there is scarcity: those for tasks that must run on
// separate VMs, or its equal part of the promised VMs if that is more.
func promisedVMs(all []Pool, weighed []int, total int) []int {
	asking := 0
	for _, n := range weighed {
		if n > 0 {
			asking++
		}
	}
	floors := make([]int, len(all))
	for i, p := range all {
		floors[i] = max(separateVMs(p), min(weighed[i], total*promisedPercent/100/max(1, asking)))
	}
	return floors
}

// addLate adds the VMs that are left to those of the pools with late work.
func addLate(all []Pool, needs, weighed []int, left int) []int {
	targets, lacking := make([]int, len(all)), make([]int, len(all))
	for i, p := range all {
		kept := min(left, max(0, min(needs[i], len(p.VMs))-weighed[i]))
		targets[i] = weighed[i] + kept
		lacking[i] = max(0, needs[i]-targets[i])
		left -= kept
	}
	for i, n := range divide(left, lacking, make([]int, len(all))) {
		targets[i] += n
	}
	return targets
}

// divide shares a total in proportion to the weights, but gives no less than the floors while the total allows it.
func divide(total int, weights, floors []int) []int {
	shares, floored := make([]int, len(weights)), make([]bool, len(weights))
	for {
		left, sum := total, 0
		for i := range weights {
			if floored[i] {
				left -= floors[i]
			} else {
				sum += weights[i]
			}
		}
		if !divideRest(max(0, left), sum, weights, floors, floored, shares) {
			return shares
		}
	}
}

// divideRest shares what is left between the weights that have no floor yet. It gives those that would get less than their
// floor that floor, and reports whether there were any.
func divideRest(left, sum int, weights, floors []int, floored []bool, shares []int) bool {
	given, seen, raised := 0, 0, false
	for i := range weights {
		if floored[i] {
			continue
		}
		seen += weights[i]
		shares[i] = left*seen/max(1, sum) - given
		given += shares[i]
		if shares[i] < floors[i] {
			shares[i], floored[i], raised = floors[i], true, true
		}
	}
	return raised
}
