package queue

import (
	"container/heap"
	"time"
)

// Pace is how fast the queue's owner can serve requests now.
type Pace struct {
	// Slots is how many requests the owner may have in progress.
	Slots int
	// Service is the mean time that a request takes at an endpoint.
	Service time.Duration
	// Tail is the time within which nearly all requests are answered.
	Tail time.Duration
}

// Queue holds the waiting requests of one service; it is not safe for concurrent use.
type Queue struct {
	limit   int
	count   int
	pushes  uint64
	classes [classCount]class
	// virtual is the start tag of the class that was served last.
	virtual int64
}

// New returns an empty queue that holds up to limit requests.
func New(limit int) *Queue {
	return &Queue{limit: limit}
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	return q.count
}

// LenClass returns how many requests of a class wait.
func (q *Queue) LenClass(c Class) int {
	return q.classes[c-1].count
}

// SetLimit changes the most requests that may wait; those that wait already stay.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
}

// Push adds a request, or returns why it can't wait. The second result is a
// request that lost its place to it, or nil; its owner must be told.
func (q *Queue) Push(item *Item, now time.Time, pace Pace) (Verdict, *Item) {
	if now.Add(q.wait(item, pace) + pace.Tail).After(item.Deadline) {
		return VerdictLate, nil
	}
	var displaced *Item
	if q.count >= q.limit {
		if displaced = q.victim(item); displaced == nil {
			return VerdictFull, nil
		}
		q.Remove(displaced)
	}
	c := &q.classes[item.Class-1]
	if c.count == 0 {
		c.start = max(c.start, q.virtual)
	}
	q.pushes++
	item.order = q.pushes
	c.push(item)
	q.count++
	return 0, displaced
}

// Pop takes out the request that is next, or returns nil. Requests whose
// deadline can't be met by an endpoint that needs the tail are taken
// out on the way and returned as late.
func (q *Queue) Pop(now time.Time, tail time.Duration) (next *Item, late []*Item) {
	for q.count > 0 {
		c := q.nextClass()
		item := c.pop()
		q.count--
		if now.Add(tail).After(item.Deadline) || !now.Before(item.Deadline) {
			late = append(late, item)
			continue
		}
		q.virtual = c.start
		c.start += stride / classWeights[item.Class-1]
		c.charge(item)
		return item, late
	}
	return nil, late
}

// Remove takes a request out before its turn, such as one whose caller went away.
func (q *Queue) Remove(item *Item) {
	if item.lane == nil {
		return
	}
	c := &q.classes[item.Class-1]
	heap.Remove(&item.lane.items, item.index)
	c.removed(item)
	q.count--
}

// nextClass returns the class with the smallest start tag among those with requests.
func (q *Queue) nextClass() *class {
	var next *class
	for i := range q.classes {
		c := &q.classes[i]
		if c.count > 0 && (next == nil || c.start < next.start) {
			next = c
		}
	}
	return next
}

// wait estimates the time that a request would wait: the requests that would be served before it, by the pace.
func (q *Queue) wait(item *Item, pace Pace) time.Duration {
	if pace.Slots <= 0 {
		return pace.Service
	}
	ahead := int64(min(q.ahead(item), q.count))
	return time.Duration(ahead) * pace.Service / time.Duration(pace.Slots)
}

// ahead counts the requests that would be served before an item, by the shares of its class and team.
func (q *Queue) ahead(item *Item) int {
	own := &q.classes[item.Class-1]
	inClass := own.ahead(item)
	total := int64(inClass)
	for i := range q.classes {
		if other := &q.classes[i]; other != own {
			share := (int64(inClass) + 1) * classWeights[i] / classWeights[item.Class-1]
			total += min(share, int64(other.count))
		}
	}
	return int(total)
}

// victim returns the request that gives up its place to an item: the last of
// the team furthest above its share, in the least urgent class that waits. It
// returns nil where the item itself stands last.
func (q *Queue) victim(item *Item) *Item {
	for i := classCount - 1; i >= int(item.Class)-1; i-- {
		c := &q.classes[i]
		if c.count == 0 {
			continue
		}
		longest := c.longest()
		if i == int(item.Class)-1 && !c.below(item, longest) {
			return nil
		}
		return longest.last()
	}
	return nil
}
