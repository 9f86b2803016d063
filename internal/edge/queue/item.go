package queue

import "time"

// Item is one waiting request.
type Item struct {
	// Class is the request's priority class.
	Class Class
	// Team is the caller's team; empty for callers that name none.
	Team string
	// Weight is the team's fair queueing weight; values below 1 count as 1.
	Weight int
	// Arrived is when the request arrived.
	Arrived time.Time
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Done receives the verdict from whoever ends the wait; it needs a buffer of one. The queue itself never sends
	// on it.
	Done chan Verdict

	flow  *flow
	index int
	// sequence is the number of the push; among equal deadlines the lower one goes first.
	sequence uint64
}

// Verdict is how the wait of a request ended; zero means that the request still waits.
type Verdict int

const (
	// VerdictAdmitted means that the request got a slot.
	VerdictAdmitted Verdict = iota + 1 // admitted
	// VerdictLate means that the request's deadline can no longer be met.
	VerdictLate // late
	// VerdictDisplaced means that a request of a more urgent class, or of a team below its share, took its place in
	// the full queue.
	VerdictDisplaced // displaced
	// VerdictFull means that the queue was full.
	VerdictFull // full
	// VerdictClosed means that the entry accepts no new requests.
	VerdictClosed // closed
)

// Waiting reports whether the item is in a queue.
func (i *Item) Waiting() bool {
	return i.flow != nil
}

// deadlineHeap implements heap.Interface with the earliest deadline first.
type deadlineHeap []*Item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *deadlineHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}
