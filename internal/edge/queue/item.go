package queue

import "time"

// Item is one waiting request.
type Item struct {
	// Class is the request's class.
	Class Class
	// Team is the caller's team; empty for callers that name none.
	Team string
	// Weight is the team's share under overload, relative to the others.
	Weight int
	// Arrived is when the request came in.
	Arrived time.Time
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Wake takes the verdict of the one who ends the wait; it must have room for one.
	Wake chan Verdict

	lane  *lane
	index int
	// order is the place among all pushes; it decides between equal deadlines.
	order uint64
}

// Verdict says how a request's wait ended; the zero value is not valid.
type Verdict int

const (
	// VerdictAdmitted means that the request has a slot.
	VerdictAdmitted Verdict = iota + 1 // admitted
	// VerdictLate means that its deadline can't be met any more.
	VerdictLate // late
	// VerdictDisplaced means that a request of a team below its share took its place.
	VerdictDisplaced // displaced
	// VerdictFull means that the queue had no place for it.
	VerdictFull // full
	// VerdictClosed means that the entry takes no new requests.
	VerdictClosed // closed
)

// Waiting says whether the item is in a queue.
func (i *Item) Waiting() bool {
	return i.lane != nil
}

// byDeadline is a heap of items with the earliest deadline first.
type byDeadline []*Item

func (h byDeadline) Len() int { return len(h) }

func (h byDeadline) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].order < h[j].order
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *byDeadline) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *byDeadline) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}
