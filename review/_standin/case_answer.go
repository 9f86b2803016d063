package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	answerItems = 5
	// answerMiss is how many work items may be unavailable at once as a result of the system's actions.
	answerMiss = 1
	// noticeTime is how long a work item that is not at work counts as away for any cause; noticeMs is 4500.
	noticeTime = 4500 * time.Millisecond
)

// misses checks that no order ends a work item while as many others of its step are away as may be.
type misses struct {
	scene *scene

	mu sync.Mutex
	// away holds since when a work item is away as a result of an order.
	away map[string]time.Time
}

func (m *misses) started(r *runner, task string, run int) {
	m.scene.note("runner %s: starts %s run %d", r.id, task, run)
}

func (m *misses) ended(r *runner, task string, run int, how string) {
	m.scene.note("runner %s: %s run %d ends %s", r.id, task, run, how)
}

func (m *misses) observed(*runner, string, int, string, bool) {}

// lostAnswer loses the answer to one upkeep of a wave.
func lostAnswer(s *scene) error {
	watch := &misses{scene: s, away: map[string]time.Time{}}
	c, err := s.startCloud()
	if err != nil {
		return err
	}
	lives := 0
	var all []*runner
	start := func() *runner {
		lives++
		r := s.startRunner(watch, fmt.Sprintf("i-7f3a91%02d", lives+10), poolName, []string{"a", "r1-1"}, 16000, 65536)
		all = append(all, r)
		return r
	}
	c.replace = func(*machine) *runner {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		return start()
	}
	atWork := func() map[string]bool {
		found := map[string]bool{}
		for _, r := range all {
			if r.isGone() {
				continue
			}
			for _, task := range r.atWork() {
				found[task] = true
			}
		}
		return found
	}
	c.begun = func(m *machine) {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		now := atWork()
		for task := range watch.away {
			if now[task] {
				delete(watch.away, task)
			}
		}
		s.note("platform: upkeep of %s begins; at work there: %v; away by orders: %d", m.name, m.runnerWork(), len(watch.away))
		for _, task := range m.runnerWork() {
			if len(watch.away) >= answerMiss {
				s.breaks("AVAIL: the upkeep of %s ends %s while %d others of its step are away by such orders, allowMiss is %d", m.name, task, len(watch.away), answerMiss)
			}
			watch.away[task] = time.Now()
		}
	}
	lost := false
	c.loseAnswer = func(m *machine) bool {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		if !s.trouble || lost || len(watch.away) == 0 {
			return false
		}
		lost = true
		return true
	}
	if err := s.startDaemons(2, c.address(), nil); err != nil {
		return err
	}
	var names []string
	for i := range answerItems {
		name := fmt.Sprintf("m-%d", i)
		names = append(names, name)
		c.add(name, start())
	}
	if err := s.order("/-/config/replace", newConfig(7, newRoute("r-1", queuePrefix, poolName)), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	job := submission{Spec: specOf(0, 1500), Phases: []phase{{
		Count: answerItems, CPU: 1500, MemMb: 6800, EstimateMs: 500, LongRunning: true, AntiAffinity: 1, AllowMiss: answerMiss,
	}}}
	if !s.submitUntilAccepted(queuePrefix, newID(0x10c, 1), job, 10*time.Second) {
		return errNotReached
	}
	if !s.waitFor(10*time.Second, func() bool { watch.mu.Lock(); defer watch.mu.Unlock(); return len(atWork()) == answerItems }) {
		return errNotReached
	}
	time.Sleep(2 * noticeTime)
	wave := map[string]any{"wave": 1, "machines": names, "durationS": 25, "maxCount": 3}
	if err := s.order("/-/wave-start", wave, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(28 * time.Second)
	if s.trouble && !lost {
		return errNotReached
	}
	return nil
}

// runnerWork returns the work items that are at work on a machine.
func (m *machine) runnerWork() []string {
	if m.runner == nil {
		return nil
	}
	return m.runner.atWork()
}
