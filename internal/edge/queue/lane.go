package queue

import "container/heap"

// stride is the advance of a start tag for a weight of one; weights up to 1000 divide it with little loss.
const stride = 1 << 20

// lane holds the waiting requests of one team in one class.
type lane struct {
	team   string
	weight int64
	// start is the start tag of the lane's next request.
	start int64
	items byDeadline
}

// last returns the request with the latest deadline.
func (l *lane) last() *Item {
	last := l.items[0]
	for _, item := range l.items {
		if item.Deadline.After(last.Deadline) {
			last = item
		}
	}
	return last
}

// class holds the lanes of one class. Lanes are served by start-time fair
// queueing (Goyal, Vin and Cheng, SIGCOMM 1996), each request with a cost of one.
type class struct {
	count int
	// start is the class's own start tag among the classes.
	start int64
	// virtual is the start tag of the lane that was served last.
	virtual int64
	lanes   map[string]*lane
	active  []*lane
}

func (c *class) push(item *Item) {
	l := c.lane(item)
	if len(l.items) == 0 {
		l.start = max(l.start, c.virtual)
		c.active = append(c.active, l)
	}
	item.lane = l
	heap.Push(&l.items, item)
	c.count++
}

// lane returns the team's lane, which is kept while its start tag is ahead of the others.
func (c *class) lane(item *Item) *lane {
	l, ok := c.lanes[item.Team]
	if !ok {
		if c.lanes == nil {
			c.lanes = map[string]*lane{}
		}
		l = &lane{team: item.Team}
		c.lanes[item.Team] = l
	}
	l.weight = int64(max(item.Weight, 1))
	return l
}

// pop takes the earliest deadline out of the lane with the smallest start tag.
func (c *class) pop() *Item {
	next := c.active[0]
	for _, l := range c.active[1:] {
		if l.start < next.start {
			next = l
		}
	}
	item := heap.Pop(&next.items).(*Item)
	c.removed(item)
	return item
}

// charge moves the tags on after a request of the team was served.
func (c *class) charge(item *Item) {
	l, ok := c.lanes[item.Team]
	if !ok {
		l = c.lane(item)
	}
	c.virtual = max(c.virtual, l.start)
	l.start = c.virtual + stride/l.weight
	c.prune()
}

// removed keeps the counts right after an item was taken out of its lane.
func (c *class) removed(item *Item) {
	l := item.lane
	item.lane = nil
	c.count--
	if len(l.items) > 0 {
		return
	}
	for i, other := range c.active {
		if other == l {
			c.active = append(c.active[:i], c.active[i+1:]...)
			break
		}
	}
}

// prune drops idle lanes that are owed nothing, so that the memory follows the teams that call.
func (c *class) prune() {
	if len(c.lanes) <= 2*len(c.active)+idleLanes {
		return
	}
	for team, l := range c.lanes {
		if len(l.items) == 0 && l.start <= c.virtual {
			delete(c.lanes, team)
		}
	}
}

// idleLanes is the count of idle lanes that are kept without looking for ones to drop.
const idleLanes = 16

// ahead counts the requests of the class that would be served before an item.
func (c *class) ahead(item *Item) int {
	own, weight := 0, int64(max(item.Weight, 1))
	if l, ok := c.lanes[item.Team]; ok {
		for _, other := range l.items {
			if !other.Deadline.After(item.Deadline) {
				own++
			}
		}
	}
	total := int64(own)
	for _, l := range c.active {
		if l.team != item.Team {
			total += min((int64(own)+1)*l.weight/weight, int64(len(l.items)))
		}
	}
	return int(total)
}

// longest returns the lane that is furthest above its share.
func (c *class) longest() *lane {
	longest := c.active[0]
	for _, l := range c.active[1:] {
		if int64(len(l.items))*longest.weight > int64(len(longest.items))*l.weight {
			longest = l
		}
	}
	return longest
}

// below says whether the item's team would stay below the lane's share with one request more.
func (c *class) below(item *Item, longest *lane) bool {
	own := 0
	if l, ok := c.lanes[item.Team]; ok {
		own = len(l.items)
	}
	return int64(own+1)*longest.weight < int64(len(longest.items))*int64(max(item.Weight, 1))
}
