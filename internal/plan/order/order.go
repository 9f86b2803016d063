package order

import (
	"cmp"
	"math"
	"slices"
)

// Item holds the inputs that order one job among others.
type Item struct {
	// ID is the job's identity; it breaks ties, so that the order is deterministic.
	ID string
	// Priority is its queue's priority; 0 comes first.
	Priority int
	// LongRunning is set for a job with tasks that run until they are cancelled.
	LongRunning bool
	// RemainingWorkMs is the job's remaining work, in core-milliseconds.
	RemainingWorkMs int64
	// TotalWorkMs is the job's total work, in core-milliseconds.
	TotalWorkMs int64
	// QueueMeanMs is the mean total work of its queue's jobs, in core-milliseconds.
	QueueMeanMs int64
	// SlackMs is the time until its SLO less its longest remaining chain of dependent steps; below 0 the SLO can't
	// be met.
	SlackMs int64
	// Scarce is set where there is too little room: a job that can still wait for long leaves it to more urgent ones.
	Scarce bool
	// Rank orders jobs that compete for too little room, lower ones first; 0 where there is room for all.
	Rank float64
	// CriticalPathMs is the longest remaining chain of dependent steps, in milliseconds.
	CriticalPathMs int64
}

const (
	// fixedValue and workValue are the parts of a job's value that are constant and that grow with its work.
	fixedValue = 0.3
	workValue  = 0.7
	// maxValue limits a job's value relative to the mean of its queue.
	maxValue = 4
	// lateSlackMs is the slack below which a job counts as late, in milliseconds; it is below 0 because estimates
	// are rough.
	lateSlackMs = -300
	// shortSlackMs is the slack below which a job's density is raised, in milliseconds.
	shortSlackMs = 1500
	// patienceMs is the slack for which a job's density is lowered by a factor of e where there is too little room, in milliseconds.
	patienceMs = 6000
	// slackBoost is the greatest relative raise, for a job without slack.
	slackBoost = 1.5
)

// Sort sorts jobs into the order in which they get resources.
func Sort[T any](jobs []T, item func(T) *Item) {
	slices.SortFunc(jobs, func(a, b T) int { return Compare(item(a), item(b)) })
}

// Compare returns a negative number if a goes before b: long-running jobs first, then by priority, then jobs whose SLO can still
// be met, then by rank, then by value per remaining work.
func Compare(a, b *Item) int {
	switch {
	case a.LongRunning != b.LongRunning:
		return firstIf(a.LongRunning)
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.Late() != b.Late():
		return firstIf(!a.Late())
	case a.Rank != b.Rank:
		return firstIf(a.Rank < b.Rank)
	}
	if x, y := a.Density(), b.Density(); x != y {
		return firstIf(x > y)
	}
	return cmp.Compare(a.ID, b.ID)
}

// firstIf returns the result of a comparison in which a goes first if the condition holds, and b otherwise.
func firstIf(condition bool) int {
	if condition {
		return -1
	}
	return 1
}

// Late reports whether the job's SLO can't be met any more.
func (i *Item) Late() bool {
	return i.SlackMs < lateSlackMs
}

// Value returns what the job is worth: a constant part and one that grows with its work, relative to the mean of its queue.
func (i *Item) Value() float64 {
	return min(maxValue, fixedValue+workValue*float64(i.TotalWorkMs)/float64(max(1, i.QueueMeanMs)))
}

// Density returns the job's value per remaining work, raised while its slack is short; where there is too little room, lowered by
// how long the job can still wait.
func (i *Item) Density() float64 {
	d := i.Value() / float64(max(1, i.RemainingWorkMs))
	switch {
	case i.Late():
	case i.Scarce:
		d *= math.Exp(-float64(max(0, i.SlackMs)) / patienceMs)
	case i.SlackMs < shortSlackMs:
		d *= 1 + slackBoost*float64(shortSlackMs-max(0, i.SlackMs))/shortSlackMs
	}
	return d
}
