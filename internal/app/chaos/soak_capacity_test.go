package chaos_test

import (
	"math/rand/v2"
	"time"
)

const (
	// shrinkGrace is how long a capacity that has shrunk doesn't count yet, besides one heartbeat.
	shrinkGrace = 3 * time.Second
	// capacityStep is the unit of a changing capacity, in thousandths of a core: half a task.
	capacityStep = taskMilliCores / 2
	// A capacity lasts between the two durations.
	minCapacityDuration, maxCapacityDuration = 500 * time.Millisecond, 7 * time.Second
	// maxStopDuration is how long a worker may take to stop an attempt.
	maxStopDuration = 300 * time.Millisecond
)

// capacityChange is a worker's capacity from a time on, in thousandths of a core.
type capacityChange struct {
	at    time.Time
	milli int
}

// changingCapacity is the capacity of a worker that starts whatever it is ordered to; it shrinks and grows.
type changingCapacity struct {
	random  *rand.Rand
	changes []capacityChange
	next    time.Time
}

func newChangingCapacity(random *rand.Rand) *changingCapacity {
	return &changingCapacity{random: random, changes: []capacityChange{{at: time.Now(), milli: workerMilliCores}}}
}

// now returns the present capacity.
func (c *changingCapacity) now() int {
	return c.changes[len(c.changes)-1].milli
}

// update changes the capacity when it is time; a calm one is the full capacity.
func (c *changingCapacity) update(calm bool) {
	now := time.Now()
	if now.Before(c.next) && !calm {
		return
	}
	c.next = now.Add(minCapacityDuration + time.Duration(c.random.Int64N(int64(maxCapacityDuration-minCapacityDuration))))
	milli := workerMilliCores
	if !calm && c.random.IntN(3) > 0 {
		milli = c.random.IntN(workerMilliCores/capacityStep) * capacityStep
	}
	if milli != c.now() {
		c.changes = append(c.changes, capacityChange{at: now, milli: milli})
	}
}

// counted returns the capacity that counts if one that has shrunk does so only after a grace.
func (c *changingCapacity) counted(grace time.Duration) int {
	from, most := time.Now().Add(-grace), 0
	for i, change := range c.changes {
		if i+1 == len(c.changes) || c.changes[i+1].at.After(from) {
			most = max(most, change.milli)
		}
	}
	return most
}

// capacityUsed checks that a start brings a worker that doesn't check it over neither its capacity nor the one that it
// reported in the heartbeat that the start answers; what is being stopped counts.
func (c *checker) capacityUsed(w *siteWorker, name string, attempt, used, reported int) {
	counted := w.capacity.counted(shrinkGrace + w.interval)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["started_unchecked"]++
	if used > counted {
		c.addViolation("limit: %s#%d brings %s to %d of %d", name, attempt, w.id, used, counted)
	}
	if used > reported {
		c.addViolation("limit: %s#%d brings %s to %d, it reported %d", name, attempt, w.id, used, reported)
	}
}

// heartbeatSent counts the heartbeats of workers whose capacity has shrunk, and those that list more than it.
func (c *checker) heartbeatSent(capacity, used int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if capacity < workerMilliCores {
		c.counts["shrunk"]++
	}
	if used > capacity {
		c.counts["overfull"]++
	}
}
