package bound

import (
	"cmp"
	"math"
	"slices"
)

// Job is one job of the day.
type Job struct {
	// ID is the job's identity; it breaks ties, so that the bound is deterministic.
	ID string
	// Queue and Account are those that it was submitted to and by.
	Queue, Account string
	// SubmittedMs is the time of its first submission, in milliseconds.
	SubmittedMs int64
	// SLOMs is the time from its submission to its SLO, in milliseconds.
	SLOMs int64
	// ChainMs is its longest chain of dependent steps, in milliseconds; 0 if it isn't known.
	ChainMs int64
	// WorkMs is its work, in core-milliseconds.
	WorkMs int64
	// Value is what it is worth if it is done in time.
	Value float64
	// Outcome is what it got.
	Outcome Outcome
}

// Outcome is what a job got; the zero value is invalid.
type Outcome int

const (
	// InTime means that the job was done by its SLO.
	InTime Outcome = iota + 1 // in_time
	// Late means that the job was done after its SLO.
	Late // late
	// Never means that the job was accepted and never done.
	Never // never
	// Refused means that the job was never accepted.
	Refused // refused
)

// Capacity is the number of cores from a time until that of the next one.
type Capacity struct {
	// FromMs is when it begins, in milliseconds.
	FromMs int64
	// Cores is the number of cores of all VMs.
	Cores float64
}

// feasible reports whether the job could be in time alone on a fleet of any size.
func (j *Job) feasible() bool {
	return j.ChainMs <= j.SLOMs
}

// Serve returns, by job, the part of its work from 0 to 1 that a planner serves that knows the whole day and for which work
// is divisible, all VMs are one capacity and moves cost nothing. No schedule earns more than the values times these parts.
//
// The amounts of work that fit together form a polymatroid, so serving the jobs in the order of their value per work, each as
// far as the work that is served before stays feasible, is optimal. A path over slots of slotMs that moves work already
// placed finds what more of a job is feasible. Amounts are integers, and the capacity of a slot and a job's first and last
// slot are rounded up, so that the result stays an upper bound.
func Serve(jobs []Job, capacity []Capacity, slotMs int64) []float64 {
	served := make([]float64, len(jobs))
	if len(jobs) == 0 {
		return served
	}
	d := newDay(jobs, capacity, slotMs)
	for _, i := range byDensity(jobs) {
		j := &jobs[i]
		switch {
		case !j.feasible():
		case j.WorkMs <= 0:
			served[i] = 1
		default:
			served[i] = float64(d.place(i)) / float64(j.WorkMs)
		}
	}
	return served
}

// byDensity returns the indexes of the jobs by decreasing value per work.
func byDensity(jobs []Job) []int {
	indexes := make([]int, len(jobs))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortFunc(indexes, func(a, b int) int {
		x, y := &jobs[a], &jobs[b]
		return cmp.Or(
			cmp.Compare(y.Value/float64(max(1, y.WorkMs)), x.Value/float64(max(1, x.WorkMs))),
			cmp.Compare(x.SubmittedMs, y.SubmittedMs),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return indexes
}

// slotCapacities returns the capacity of consecutive slots in core-milliseconds, rounded up. The first capacity holds before
// its time too, and the last one for ever.
func slotCapacities(capacity []Capacity, startMs, slotMs int64, slots int) []int64 {
	free := make([]int64, slots)
	if len(capacity) == 0 {
		return free
	}
	sorted := slices.Clone(capacity)
	slices.SortStableFunc(sorted, func(a, b Capacity) int { return cmp.Compare(a.FromMs, b.FromMs) })
	next := 0
	for s := range free {
		fromMs := startMs + int64(s)*slotMs
		endMs, work := fromMs+slotMs, 0.0
		for fromMs < endMs {
			for next+1 < len(sorted) && sorted[next+1].FromMs <= fromMs {
				next++
			}
			untilMs := endMs
			if next+1 < len(sorted) {
				untilMs = min(untilMs, sorted[next+1].FromMs)
			}
			work += sorted[next].Cores * float64(untilMs-fromMs)
			fromMs = untilMs
		}
		free[s] = int64(math.Ceil(work))
	}
	return free
}
