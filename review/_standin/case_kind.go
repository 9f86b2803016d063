package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	gangMembers = 4
	// kindDown is how long a crashed runner is down.
	kindDown    = 1000 * time.Millisecond
	wantedLabel = "a"
)

// labelled checks that no work item starts on a runner without the label that it requires.
type labelled struct {
	scene *scene

	mu     sync.Mutex
	starts int
}

func (l *labelled) started(r *runner, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	l.scene.note("runner %s of labels %v: starts %s run %d", r.id, r.labels, task, run)
	if !slices.Contains(r.labels, wantedLabel) {
		l.scene.breaks("ROUTE: %s, which requires label %s, starts on %s with labels %v", task, wantedLabel, r.id, r.labels)
	}
}

func (l *labelled) ended(r *runner, task string, run int, how string) {
	l.scene.note("runner %s: %s run %d ends %s", r.id, task, run, how)
}

func (l *labelled) observed(*runner, string, int, string, bool) {}

func (l *labelled) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// changedKind crashes a runner, which comes back under its id as one of another kind, and hands in a gang meanwhile.
func changedKind(s *scene) error {
	watch := &labelled{scene: s}
	c, err := s.startCloud()
	if err != nil {
		return err
	}
	if err := s.startDaemons(2, c.address(), nil); err != nil {
		return err
	}
	var runners []*runner
	var machines []*machine
	for i := range gangMembers {
		r := s.startRunner(watch, fmt.Sprintf("i-7f3a91%02d", i+10), poolName, []string{wantedLabel, "r1-1"}, 16000, 65536)
		runners = append(runners, r)
		machines = append(machines, c.add(fmt.Sprintf("m-%d", i), r))
	}
	if err := s.order("/-/config/replace", newConfig(7, newRoute("r-1", queuePrefix, poolName)), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	gang := submission{Spec: gangSpecOf(500, 1000, gangMembers), Phases: []phase{{
		Count: gangMembers, CPU: 1000, MemMb: 512, EstimateMs: 500, Gang: true, RequiredLabel: wantedLabel, AntiAffinity: 1,
	}}}
	if s.trouble {
		s.note("TROUBLE: %s crashes", runners[0].id)
		runners[0].crash()
		c.set(machines[0], "down", nil)
		time.AfterFunc(kindDown, func() {
			next := s.startRunner(watch, runners[0].id, poolName, []string{"b", "r1-1"}, 16000, 65536)
			s.note("TROUBLE: %s is back as kind b", next.id)
			c.set(machines[0], "up", next)
		})
	}
	if !s.submitUntilAccepted(queuePrefix, newID(0x6a, 1), gang, 10*time.Second) {
		return errNotReached
	}
	time.Sleep(6 * time.Second)
	if watch.count() == 0 {
		return errNotReached
	}
	return nil
}
