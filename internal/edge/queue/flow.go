package queue

import "container/heap"

// requestCost is the virtual time that a request of weight 1 takes. Dividing it by weights up to 1000 loses little
// to rounding.
const requestCost = 1 << 20

// flow holds the waiting requests of one team in one class.
type flow struct {
	team   string
	weight int64
	// startTag is the virtual start time of the flow's next request.
	startTag int64
	items    deadlineHeap
}

// latestDeadline returns the request with the latest deadline.
func (f *flow) latestDeadline() *Item {
	latest := f.items[0]
	for _, item := range f.items {
		if item.Deadline.After(latest.Deadline) {
			latest = item
		}
	}
	return latest
}

// classQueue holds the flows of one class and serves them by start-time fair queueing (Goyal, Vin and Cheng,
// SIGCOMM 1996). Each request costs the same.
type classQueue struct {
	count int
	// startTag is the virtual start time of the class's next request among the classes.
	startTag int64
	// virtualTime is the start tag of the flow that was served last.
	virtualTime int64
	flows       map[string]*flow
	backlogged  []*flow
}

func (c *classQueue) push(item *Item) {
	f := c.flow(item)
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, c.virtualTime)
		c.backlogged = append(c.backlogged, f)
	}
	item.flow = f
	heap.Push(&f.items, item)
	c.count++
}

// flow returns the team's flow with its weight updated, and creates it if needed.
func (c *classQueue) flow(item *Item) *flow {
	f, ok := c.flows[item.Team]
	if !ok {
		if c.flows == nil {
			c.flows = map[string]*flow{}
		}
		f = &flow{team: item.Team}
		c.flows[item.Team] = f
	}
	f.weight = int64(max(item.Weight, 1))
	return f
}

// pop removes and returns the earliest deadline of the flow with the smallest start tag.
func (c *classQueue) pop() *Item {
	next := c.backlogged[0]
	for _, f := range c.backlogged[1:] {
		if f.startTag < next.startTag {
			next = f
		}
	}
	item := heap.Pop(&next.items).(*Item)
	c.afterRemove(item)
	return item
}

// charge advances the virtual time and the team's start tag after one of its requests was served.
func (c *classQueue) charge(item *Item) {
	f, ok := c.flows[item.Team]
	if !ok {
		f = c.flow(item)
	}
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag = c.virtualTime + requestCost/f.weight
	c.pruneIdle()
}

// afterRemove updates the count and the backlogged flows after an item was taken out of its flow.
func (c *classQueue) afterRemove(item *Item) {
	f := item.flow
	item.flow = nil
	c.count--
	if len(f.items) > 0 {
		return
	}
	for i, other := range c.backlogged {
		if other == f {
			c.backlogged = append(c.backlogged[:i], c.backlogged[i+1:]...)
			break
		}
	}
}

// pruneIdle drops idle flows whose start tag is not ahead of the virtual time, so that memory is bounded by the
// teams that call. Such a flow behaves like a new one.
func (c *classQueue) pruneIdle() {
	if len(c.flows) <= 2*len(c.backlogged)+idleFlowsKept {
		return
	}
	for team, f := range c.flows {
		if len(f.items) == 0 && f.startTag <= c.virtualTime {
			delete(c.flows, team)
		}
	}
}

// idleFlowsKept is how many flows beyond twice the backlogged ones are kept before pruneIdle drops any.
const idleFlowsKept = 16

// countAhead estimates how many requests of the class would be served before the item.
func (c *classQueue) countAhead(item *Item) int {
	own, weight := 0, int64(max(item.Weight, 1))
	if f, ok := c.flows[item.Team]; ok {
		for _, other := range f.items {
			if !other.Deadline.After(item.Deadline) {
				own++
			}
		}
	}
	total := int64(own)
	for _, f := range c.backlogged {
		if f.team != item.Team {
			total += min((int64(own)+1)*f.weight/weight, int64(len(f.items)))
		}
	}
	return int(total)
}

// mostOverShare returns the backlogged flow with the most waiting requests per unit of weight.
func (c *classQueue) mostOverShare() *flow {
	largest := c.backlogged[0]
	for _, f := range c.backlogged[1:] {
		if int64(len(f.items))*largest.weight > int64(len(largest.items))*f.weight {
			largest = f
		}
	}
	return largest
}

// belowShare reports whether the item's team, with the item added, has fewer waiting requests per unit of weight than
// the largest flow.
func (c *classQueue) belowShare(item *Item, largest *flow) bool {
	own := 0
	if f, ok := c.flows[item.Team]; ok {
		own = len(f.items)
	}
	return int64(own+1)*largest.weight < int64(len(largest.items))*int64(max(item.Weight, 1))
}
