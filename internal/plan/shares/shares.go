package shares

import (
	"cmp"
	"slices"
)

// Claim is what one claimant asks for.
type Claim struct {
	// Weight is the claimant's weight against the others; 0 gets only what the others leave.
	Weight float64
	// Demand is the amount that it could use.
	Demand float64
}

// Divide returns the weighted max-min fair shares of a capacity, in the order of the claims: nobody gets more than its demand,
// and what one doesn't need goes to the others in proportion to their weights.
//
// It answers a load above the capacity for which one claimant asks for many times its usual: that claimant gets its share and
// what the others leave, and each of the others gets all that it asks for up to its own share.
func Divide(claims []Claim, capacity float64) []float64 {
	shares := make([]float64, len(claims))
	left, weights := capacity, 0.0
	// By demand for its weight, each claimant comes after those that are satisfied before it.
	order := make([]int, 0, len(claims))
	for i, c := range claims {
		if c.Weight > 0 {
			order = append(order, i)
			weights += c.Weight
		}
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Compare(claims[i].Demand*claims[j].Weight, claims[j].Demand*claims[i].Weight)
	})
	for _, i := range order {
		shares[i] = min(claims[i].Demand, max(0, left)*claims[i].Weight/weights)
		left -= shares[i]
		weights -= claims[i].Weight
	}
	divideRest(claims, shares, left)
	return shares
}

// divideRest gives what is left to the claimants without a weight, in equal parts as far as they need them.
func divideRest(claims []Claim, shares []float64, left float64) {
	var order []int
	for i, c := range claims {
		if c.Weight <= 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(claims[i].Demand, claims[j].Demand) })
	for n, i := range order {
		shares[i] = min(claims[i].Demand, max(0, left)/float64(len(order)-n))
		left -= shares[i]
	}
}
