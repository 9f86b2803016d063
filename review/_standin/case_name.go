package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// oddName is the name of a second service. Its quotation marks are plain characters of a JSON string.
	oddName   = `yard "east"`
	plainName = "yard east"
	// nameItems is how many work items last, each on a runner of its own.
	nameItems = 8
	// nameTime is how long the daemons run with the new config before they are judged.
	nameTime = 95 * time.Second
	// fatalEnds is how often a process has to end by itself to count.
	fatalEnds = 3
	// idleLimit is how long after its last run a work item that lasts may have none: 6 s, and 3 s in which nothing runs.
	idleLimit = 9 * time.Second
)

// idleness knows since when each work item of a submission that lasts has nothing running.
type idleness struct {
	scene *scene

	mu     sync.Mutex
	since  map[string]time.Time
	judged map[string]bool
}

func (x *idleness) started(r *runner, task string, run int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scene.note("runner %s: starts %s run %d", r.id, task, run)
	delete(x.since, task)
}

func (x *idleness) ended(r *runner, task string, run int, how string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scene.note("runner %s: %s run %d ends %s", r.id, task, run, how)
	x.since[task] = time.Now()
}

func (*idleness) observed(*runner, string, int, string, bool) {}

// judge notes the work items that have had nothing running for too long, while their runners have room for ten.
func (x *idleness) judge() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, since := range x.since {
		if time.Since(since) > idleLimit && !x.judged[task] {
			x.judged[task] = true
			x.scene.breaks("LOST: %s, which lasts and nobody has cancelled, has had nothing running for %v", task, idleLimit)
		}
	}
}

// serviceName puts a valid config into force that has a service with quotation marks in its name.
func serviceName(s *scene) error {
	watch := &idleness{scene: s, since: map[string]time.Time{}, judged: map[string]bool{}}
	c, err := s.startCloud()
	if err != nil {
		return err
	}
	if err := s.startDaemons(2, c.address(), nil); err != nil {
		return err
	}
	var runners []*runner
	for i := range nameItems {
		r := s.startRunner(watch, fmt.Sprintf("i-7f3a91%02d", i+10), poolName, []string{"a", "r1-1"}, 16000, 65536)
		runners = append(runners, r)
		c.add(fmt.Sprintf("m-%d", i), r)
	}
	if err := s.order("/-/config/replace", newConfig(7, newRoute("r-1", queuePrefix, poolName)), 20*time.Second); err != nil {
		return err
	}
	id := newID(0x1, 1)
	lasting := submission{Spec: specOf(0, 1500), Phases: []phase{{
		Count: nameItems, CPU: 1500, MemMb: 6800, EstimateMs: 500, LongRunning: true, AntiAffinity: 1,
	}}}
	if !s.submitUntilAccepted(queuePrefix, id, lasting, 10*time.Second) {
		return errNotReached
	}
	allAtWork := func() bool {
		count := 0
		for _, r := range runners {
			count += len(r.atWork())
		}
		return count == nameItems
	}
	if !s.waitFor(10*time.Second, allAtWork) {
		return errNotReached
	}
	time.Sleep(5 * time.Second)
	name := plainName
	if s.trouble {
		name = oddName
	}
	next := newConfig(11, newRoute("r-1", queuePrefix, poolName), newRoute("r-2", "/tije37/", name))
	added := next.Services[0]
	added.Name = name
	next.Services = append(next.Services, added)
	if err := s.order("/-/config/replace", next, 10*time.Second); err != nil {
		s.note("the config is not acknowledged: %v", err)
	}
	for end := time.Now().Add(nameTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		watch.judge()
	}
	s.note("the submission is shown as %q", s.state(s.daemons[coreDaemons], queuePrefix, id))
	s.countEnds()
	return nil
}

// countEnds notes how often the processes have ended by themselves.
func (s *scene) countEnds() {
	often := 0
	for _, d := range s.daemons {
		s.note("%s has ended by itself %d times", d.name, d.ends())
		if d.ends() >= fatalEnds {
			often++
		}
	}
	if 2*often >= coreDaemons {
		s.breaks("Fault: %d of %d core machines: their processes have ended by themselves %d times or more, with no impairment", often, coreDaemons, fatalEnds)
	}
}
