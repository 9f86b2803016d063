package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	crashItems = 8
	// crashMiss is how many work items may be unavailable at once as a result of the system's actions.
	crashMiss = 1
	// crashTimes is how often the machine crashes, crashAfter how long after its start, and crashDown how long it is down then.
	crashTimes = 7
	crashAfter = 6 * time.Second
	crashDown  = time.Second
	// crashSettled is how long the machine runs on at the end.
	crashSettled = 10 * time.Second
)

// stops checks that no order ends a work item that is at work while as many others of its step are away by orders as may be.
type stops struct {
	scene *scene

	mu    sync.Mutex
	began map[string]time.Time
	away  map[string]bool
}

func (x *stops) started(r *runner, task string, run int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scene.note("runner %s: starts %s run %d", r.id, task, run)
	x.began[task] = time.Now()
	delete(x.away, task)
}

func (x *stops) ended(r *runner, task string, run int, how string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scene.note("runner %s: %s run %d ends %s", r.id, task, run, how)
	if how != "stopped" || time.Since(x.began[task]) < readyTime+stopTime {
		return
	}
	if len(x.away) >= crashMiss {
		x.scene.breaks("AVAIL: a stop ends %s on %s while %d others of its step are away by such orders, allowMiss is %d", task, r.id, len(x.away), crashMiss)
	}
	x.away[task] = true
}

func (x *stops) observed(*runner, string, int, string, bool) {}

// flakyMachine crashes one machine again and again while a submission that lasts has a work item there.
func flakyMachine(s *scene) error {
	watch := &stops{scene: s, began: map[string]time.Time{}, away: map[string]bool{}}
	c, err := s.startCloud()
	if err != nil {
		return err
	}
	if err := s.startDaemons(2, c.address(), nil); err != nil {
		return err
	}
	var machines []*machine
	for i := range crashItems {
		r := s.startRunner(watch, fmt.Sprintf("i-7f3a91%02d", i+10), poolName, []string{"a", "r1-1"}, 16000, 65536)
		machines = append(machines, c.add(fmt.Sprintf("m-%d", i), r))
	}
	if err := s.order("/-/config/replace", newConfig(7, newRoute("r-1", queuePrefix, poolName)), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	id := newID(0x1a5, 1)
	job := submission{Spec: specOf(0, 1500), Phases: []phase{{
		Count: crashItems, CPU: 1500, MemMb: 6800, EstimateMs: 500, LongRunning: true, AntiAffinity: 1, AllowMiss: crashMiss,
	}}}
	if !s.submitUntilAccepted(queuePrefix, id, job, 10*time.Second) {
		return errNotReached
	}
	for n := range crashTimes {
		time.Sleep(crashAfter)
		if !s.trouble {
			continue
		}
		former := machines[0].runner
		s.note("TROUBLE: the runner of %s crashes, %d work items run there", machines[0].name, former.count())
		former.crash()
		c.set(machines[0], "down", nil)
		time.Sleep(crashDown)
		next := s.newLife(former, fmt.Sprintf("i-7f3a92%02d", n+10))
		c.set(machines[0], "up", next)
		s.note("TROUBLE: %s is back with %s", machines[0].name, next.id)
	}
	time.Sleep(crashSettled)
	state := s.state(s.daemons[0], queuePrefix, id)
	s.note("the submission, which nobody has cancelled and of which no work item has ended failed, is shown as %q", state)
	if state == "failed" || state == "cancelled" {
		s.breaks("LOST: %s is shown as %s without cause", id, state)
	}
	return nil
}
