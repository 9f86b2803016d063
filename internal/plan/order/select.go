package order

import (
	"cmp"
	"container/heap"
	"slices"
)

// Select divides the jobs that aren't late or long-running into those that can be in time together and those that can't
// be beside them, for a number of cores and a time by which each job's work must be done, in milliseconds from now. In the
// order of these times it keeps each job, and where the work of those kept can't be done in time it leaves out the one with
// the least value per work, lower priorities first. It sorts the items.
func Select(items []*Item, cores float64, dueMs func(*Item) int64) (kept, left []*Item) {
	slices.SortFunc(items, func(a, b *Item) int {
		if x, y := dueMs(a), dueMs(b); x != y {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	var selected leastWorthFirst
	workMs := 0.0
	for _, i := range items {
		if i.LongRunning || i.Late() {
			continue
		}
		heap.Push(&selected, i)
		workMs += float64(i.RemainingWorkMs)
		for workMs > cores*float64(dueMs(i)) && len(selected) > 0 {
			least := selected[0]
			heap.Pop(&selected)
			left = append(left, least)
			workMs -= float64(least.RemainingWorkMs)
		}
	}
	return selected, left
}

// leastWorthFirst is a heap of jobs: those of the lowest priority first, then those with the least value per work.
type leastWorthFirst []*Item

func (h leastWorthFirst) Len() int { return len(h) }

func (h leastWorthFirst) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].Density() < h[j].Density()
}

func (h leastWorthFirst) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an item; it is called by container/heap.
func (h *leastWorthFirst) Push(item any) {
	if i, ok := item.(*Item); ok {
		*h = append(*h, i)
	}
}

// Pop removes the last item; it is called by container/heap.
func (h *leastWorthFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
