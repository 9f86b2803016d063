package refuse

import (
	"cmp"
	"slices"

	"cowslipstack/internal/plan/order"
)

// Job describes a job that was submitted.
type Job struct {
	// Item describes it as it would be ordered among the others.
	Item order.Item
	// Spread is a number that differs from job to job; it spreads the returns of callers.
	Spread uint64
}

// Load is what a pool can do for its jobs in the near future.
type Load struct {
	// Cores is the pool's share of the fleet.
	Cores float64
	// BacklogMs is the remaining work of all its jobs, also of those that are late, in core-milliseconds.
	BacklogMs int64
	// Kept are the jobs that can be in time together, those with the least value per work first.
	Kept []Kept
}

// Kept is a job that can be in time.
type Kept struct {
	// Priority is that of its queue, and Density its value per work.
	Priority int
	Density  float64
	// WorkMs is the remaining work of this job and of those before it, in core-milliseconds.
	WorkMs int64
}

// Verdict is the decision on a job, with what it rests on.
type Verdict struct {
	// Refused means that the job can't be finished by its SLO, nor soon after.
	Refused bool
	// RoomMs is the work that the pool could do for the job by its SLO, in core-milliseconds.
	RoomMs int64
	// DrainMs is how long the pool takes for its backlog, in milliseconds.
	DrainMs int64
	// RetryAfterMs is when the caller of a refused job should come back, in milliseconds.
	RetryAfterMs int64
}

const (
	// maxLateObjectives is how many times the time to its SLO a job may take without being refused.
	maxLateObjectives = 3
	// maxRetryAfterMs limits how long callers are sent away: the backlog may be gone sooner than expected.
	maxRetryAfterMs = 30_000
	// maxDrainMs limits the times that are worked out: a day.
	maxDrainMs = 24 * 60 * 60 * 1000
)

// NewLoad returns the load of a pool with a number of cores, a backlog and the jobs that aren't late. It sorts the jobs.
func NewLoad(items []*order.Item, cores float64, backlogMs int64) Load {
	kept, _ := order.Select(items, cores, objective)
	slices.SortFunc(kept, func(a, b *order.Item) int { return compare(a.Priority, a.Density(), b.Priority, b.Density()) })
	l := Load{Cores: cores, BacklogMs: backlogMs, Kept: make([]Kept, 0, len(kept))}
	var workMs int64
	for _, i := range kept {
		workMs += i.RemainingWorkMs
		l.Kept = append(l.Kept, Kept{Priority: i.Priority, Density: i.Density(), WorkMs: workMs})
	}
	return l
}

// objective returns the time until a job's SLO, in milliseconds.
func objective(i *order.Item) int64 {
	return i.SlackMs + i.CriticalPathMs
}

// compare returns a negative number if a job is worth less than another.
func compare(priority int, density float64, otherPriority int, otherDensity float64) int {
	if priority != otherPriority {
		return cmp.Compare(otherPriority, priority)
	}
	return cmp.Compare(density, otherDensity)
}

// Judge decides whether a job is refused. It answers a load that is above the capacity of the whole fleet for so long that
// some jobs could be done only long after their SLO: their callers are better off with the truth at once. A job is refused
// only if jobs that are worth more take all that its pool can do by its SLO, with all the processor time that the pool can
// get, and the whole backlog takes so long that it wouldn't be done soon after either. A job that takes longer than its SLO
// by itself is late whenever it comes, and is accepted.
func Judge(j Job, l Load) Verdict {
	if l.Cores <= 0 || j.Item.SlackMs <= 0 {
		return Verdict{}
	}
	v := Verdict{RoomMs: int64(l.Cores*float64(objective(&j.Item))) - l.takenBefore(&j.Item), DrainMs: l.timeFor(l.BacklogMs)}
	if v.RoomMs >= j.Item.RemainingWorkMs || v.DrainMs <= maxLateObjectives*objective(&j.Item) {
		return v
	}
	v.Refused = true
	// A job like this has room once what is too much has drained; callers return over as long again.
	waitMs := v.DrainMs - objective(&j.Item)
	v.RetryAfterMs = min(maxRetryAfterMs, waitMs/2+int64(j.Spread%uint64(waitMs)))
	return v
}

// timeFor returns how long the pool takes for an amount of work, in milliseconds.
func (l *Load) timeFor(workMs int64) int64 {
	return int64(min(maxDrainMs, float64(workMs)/l.Cores))
}

// workMs returns the work of all jobs that are kept, in core-milliseconds.
func (l *Load) workMs() int64 {
	if len(l.Kept) == 0 {
		return 0
	}
	return l.Kept[len(l.Kept)-1].WorkMs
}

// takenBefore returns the work of the jobs that are worth as much as a job or more, in core-milliseconds.
func (l *Load) takenBefore(i *order.Item) int64 {
	density := i.Density()
	less, _ := slices.BinarySearchFunc(l.Kept, i, func(k Kept, i *order.Item) int {
		return compare(k.Priority, k.Density, i.Priority, density)
	})
	if less == 0 {
		return l.workMs()
	}
	return l.workMs() - l.Kept[less-1].WorkMs
}
