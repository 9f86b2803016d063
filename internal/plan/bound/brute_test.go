package bound_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"cowslipstack/internal/plan/bound"
)

const (
	// instanceSeed is the seed of the random instances.
	instanceSeed = 7
	instances    = 4000
	// maxSpan is the number of slots of an instance; a slot lasts 1 ms.
	maxSpan = 6
)

// TestBruteForce guards against a path that is missed, or work that is lost or counted twice when it moves: it compares the
// value of what is served on tiny random instances with the best of all amounts of work that fit. With whole amounts of
// work and capacity some optimum has whole amounts, so trying those is enough.
func TestBruteForce(t *testing.T) {
	random := rand.New(rand.NewPCG(instanceSeed, instanceSeed))
	moved := 0
	for n := range instances {
		jobs, capacity := randomDay(random)
		served := bound.Serve(jobs, capacity, 1)
		value, amounts := 0.0, make([]int, len(jobs))
		for i := range jobs {
			value += served[i] * jobs[i].Value
			amounts[i] = int(math.Round(served[i] * float64(jobs[i].WorkMs)))
		}
		if !fits(jobs, capacity, amounts) {
			t.Fatalf("instance %d: %v of %+v doesn't fit in %+v", n, amounts, jobs, capacity)
		}
		best := bestValue(jobs, capacity, make([]int, len(jobs)), 0)
		if math.Abs(value-best) > 1e-9 {
			t.Fatalf("instance %d: %v is served of %+v in %+v, %v is possible", n, value, jobs, capacity, best)
		}
		if best < sumOfValues(jobs) {
			moved++
		}
	}
	// Instances in which all fits would show nothing.
	if moved < instances/4 {
		t.Fatalf("all jobs fit in all but %d instances", moved)
	}
}

func randomDay(random *rand.Rand) (jobs []bound.Job, capacity []bound.Capacity) {
	for s := range maxSpan {
		capacity = append(capacity, bound.Capacity{FromMs: int64(s), Cores: float64(random.IntN(4))})
	}
	for i := range 1 + random.IntN(5) {
		at := random.IntN(maxSpan)
		slo := 1 + random.IntN(maxSpan-at)
		jobs = append(jobs, bound.Job{
			ID: strconv.Itoa(i), SubmittedMs: int64(at), SLOMs: int64(slo), WorkMs: int64(1 + random.IntN(4)),
			Value: float64(1 + random.IntN(9)), Outcome: bound.Refused,
		})
	}
	return jobs, capacity
}

func sumOfValues(jobs []bound.Job) float64 {
	sum := 0.0
	for i := range jobs {
		sum += jobs[i].Value
	}
	return sum
}

// bestValue returns the greatest value of amounts that fit, where those of the jobs before next are set.
func bestValue(jobs []bound.Job, capacity []bound.Capacity, amounts []int, next int) float64 {
	if next == len(jobs) {
		if !fits(jobs, capacity, amounts) {
			return -1
		}
		value := 0.0
		for i := range jobs {
			value += jobs[i].Value * float64(amounts[i]) / float64(jobs[i].WorkMs)
		}
		return value
	}
	best := -1.0
	for amount := range int(jobs[next].WorkMs) + 1 {
		amounts[next] = amount
		best = max(best, bestValue(jobs, capacity, amounts, next+1))
	}
	amounts[next] = 0
	return best
}

// fits reports whether amounts of the jobs' work can be done in time: it runs, in each slot, the work that is due first.
func fits(jobs []bound.Job, capacity []bound.Capacity, amounts []int) bool {
	left := append([]int(nil), amounts...)
	for s := range maxSpan {
		for range int(capacity[s].Cores) {
			first := -1
			for i := range jobs {
				j := &jobs[i]
				due := j.SubmittedMs + j.SLOMs
				if left[i] > 0 && int(j.SubmittedMs) <= s && int(due) > s && (first < 0 || due < jobs[first].SubmittedMs+jobs[first].SLOMs) {
					first = i
				}
			}
			if first >= 0 {
				left[first]--
			}
		}
	}
	for _, amount := range left {
		if amount > 0 {
			return false
		}
	}
	return true
}
