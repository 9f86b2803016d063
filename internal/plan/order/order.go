package order

import (
	"slices"
)

// Item is what the order of one job depends on.
type Item struct {
	// ID names the job; it settles ties, so that the order never changes by chance.
	ID string
	// Priority is its queue's; 0 comes first.
	Priority int
	// Lasting means that its tasks run until they are cancelled.
	Lasting bool
	// WorkMs is what is left of its work, in core-milliseconds.
	WorkMs int64
	// TotalMs is all of its work, in core-milliseconds.
	TotalMs int64
	// MeanMs is the mean work of its queue's jobs, in core-milliseconds.
	MeanMs int64
	// SlackMs is the time until its SLO less its longest remaining chain of work; below 0 it can't be met.
	SlackMs int64
}

const (
	// fixedWorth and workWorth are the parts of a job's worth that are fixed and that follow its work.
	fixedWorth = 0.3
	workWorth  = 0.7
	// worthCap bounds a job's worth against the mean of its queue.
	worthCap = 4
	// lateBound is how far behind its SLO a job still counts as about in time, in milliseconds, since estimates are rough.
	lateBound = -300
	// pressMs is the slack under which a job gains on others, in milliseconds.
	pressMs = 1500
	// pressure is how much a job without slack gains.
	pressure = 1.5
)

// Sort puts jobs in the order in which they get room.
func Sort[T any](jobs []T, item func(T) *Item) {
	slices.SortFunc(jobs, func(a, b T) int { return Compare(item(a), item(b)) })
}

// Compare returns below 0 where a goes before b: lasting jobs first, then by priority, then those whose SLO can be met,
// then by worth for the work that is left.
func Compare(a, b *Item) int {
	switch {
	case a.Lasting != b.Lasting:
		return first(a.Lasting)
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.late() != b.late():
		return first(!a.late())
	}
	if x, y := a.density(), b.density(); x != y {
		return first(x > y)
	}
	if a.ID < b.ID {
		return -1
	}
	return first(a.ID == b.ID) + 1
}

func first(goes bool) int {
	if goes {
		return -1
	}
	return 1
}

func (i *Item) late() bool {
	return i.SlackMs < lateBound
}

// density returns the job's worth for each unit of work left, raised where its slack is short.
func (i *Item) density() float64 {
	worth := fixedWorth + workWorth*float64(i.TotalMs)/float64(max(1, i.MeanMs))
	d := min(worthCap, worth) / float64(max(1, i.WorkMs))
	if !i.late() && i.SlackMs < pressMs {
		d *= 1 + pressure*float64(pressMs-max(0, i.SlackMs))/pressMs
	}
	return d
}
