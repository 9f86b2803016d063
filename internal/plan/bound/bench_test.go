package bound_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"cowslipstack/internal/plan/bound"
)

// BenchmarkServe computes the bound of ten minutes with 40,000 jobs that need up to three times what the fleet can do.
func BenchmarkServe(b *testing.B) {
	const (
		dayMs  = 600_000
		cores  = 4000
		count  = 40_000
		slotMs = 200
	)
	random := rand.New(rand.NewPCG(instanceSeed, instanceSeed))
	jobs := make([]bound.Job, count)
	for i := range jobs {
		work := 1 + random.ExpFloat64()
		jobs[i] = bound.Job{
			ID: strconv.Itoa(i), SubmittedMs: random.Int64N(dayMs), SLOMs: 2000 + random.Int64N(10_000), WorkMs: int64(work * 3 * dayMs * cores / count / 2),
			Value: min(4, 0.3+0.7*work/2), Outcome: bound.Refused,
		}
	}
	for b.Loop() {
		bound.Serve(jobs, []bound.Capacity{{Cores: cores}}, slotMs)
	}
}
