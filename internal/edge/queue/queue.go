package queue

import (
	"container/heap"
	"time"
)

// Capacity describes how fast the queue's owner can serve requests now.
type Capacity struct {
	// Slots is how many requests the owner may have in progress; 0 means that it has no slots yet.
	Slots int
	// ServiceTime is the mean time that a request takes at an endpoint.
	ServiceTime time.Duration
	// TailLatency is the time within which nearly all requests are answered.
	TailLatency time.Duration
}

// Queue holds the waiting requests of one service; it is not safe for concurrent use.
type Queue struct {
	limit   int
	count   int
	pushes  uint64
	classes [classCount]classQueue
	// virtualTime is the start tag of the class that was served last.
	virtualTime int64
}

// New returns an empty queue that holds up to limit requests.
func New(limit int) *Queue {
	return &Queue{limit: limit}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.count
}

// LenClass returns the number of waiting requests of a class.
func (q *Queue) LenClass(c Class) int {
	return q.classes[c-1].count
}

// SetLimit changes the limit on waiting requests; requests above a lower limit stay in the queue.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
}

// Push adds a request and returns a verdict of 0, or returns VerdictLate or VerdictFull where it can't wait. The
// second result is a request that was displaced by it, or nil; the caller must tell its owner.
func (q *Queue) Push(item *Item, now time.Time, capacity Capacity) (Verdict, *Item) {
	if now.Add(q.estimateWait(item, capacity) + capacity.TailLatency).After(item.Deadline) {
		return VerdictLate, nil
	}
	var displaced *Item
	if q.count >= q.limit {
		if displaced = q.chooseDisplaced(item); displaced == nil {
			return VerdictFull, nil
		}
		q.Remove(displaced)
	}
	c := &q.classes[item.Class-1]
	if c.count == 0 {
		c.startTag = max(c.startTag, q.virtualTime)
	}
	q.pushes++
	item.sequence = q.pushes
	c.push(item)
	q.count++
	return 0, displaced
}

// Pop removes and returns the next request, or nil where there is none. It also removes the requests that it passes
// and whose deadline can't be met by an endpoint that takes the tail latency, and returns them as late.
func (q *Queue) Pop(now time.Time, tailLatency time.Duration) (next *Item, late []*Item) {
	for q.count > 0 {
		c := q.nextClass()
		item := c.pop()
		q.count--
		if now.Add(tailLatency).After(item.Deadline) || !now.Before(item.Deadline) {
			late = append(late, item)
			continue
		}
		q.virtualTime = c.startTag
		c.startTag += requestCost / classWeights[item.Class-1]
		c.charge(item)
		return item, late
	}
	return nil, late
}

// Remove removes a request before its turn, for example because its caller is gone. It does nothing for an item that
// isn't in the queue.
func (q *Queue) Remove(item *Item) {
	if item.flow == nil {
		return
	}
	c := &q.classes[item.Class-1]
	heap.Remove(&item.flow.items, item.index)
	c.afterRemove(item)
	q.count--
}

// nextClass returns the non-empty class with the smallest start tag, or nil.
func (q *Queue) nextClass() *classQueue {
	var next *classQueue
	for i := range q.classes {
		c := &q.classes[i]
		if c.count > 0 && (next == nil || c.startTag < next.startTag) {
			next = c
		}
	}
	return next
}

// estimateWait estimates how long the request would wait, from the number of requests ahead and the capacity.
// Without slots it returns one service time.
func (q *Queue) estimateWait(item *Item, capacity Capacity) time.Duration {
	if capacity.Slots <= 0 {
		return capacity.ServiceTime
	}
	ahead := int64(min(q.countAhead(item), q.count))
	return time.Duration(ahead) * capacity.ServiceTime / time.Duration(capacity.Slots)
}

// countAhead estimates how many requests would be served before the item, from the weights of its class and team.
func (q *Queue) countAhead(item *Item) int {
	own := &q.classes[item.Class-1]
	inClass := own.countAhead(item)
	total := int64(inClass)
	for i := range q.classes {
		if other := &q.classes[i]; other != own {
			share := (int64(inClass) + 1) * classWeights[i] / classWeights[item.Class-1]
			total += min(share, int64(other.count))
		}
	}
	return int(total)
}

// chooseDisplaced returns the request that gives up its place to the item: the latest deadline of the flow furthest
// above its share, in the least urgent class that has requests waiting. It returns nil where the item's own class
// is that class and its team is not below its share, or where only more urgent requests wait.
func (q *Queue) chooseDisplaced(item *Item) *Item {
	for i := classCount - 1; i >= int(item.Class)-1; i-- {
		c := &q.classes[i]
		if c.count == 0 {
			continue
		}
		largest := c.mostOverShare()
		if i == int(item.Class)-1 && !c.belowShare(item, largest) {
			return nil
		}
		return largest.latestDeadline()
	}
	return nil
}
