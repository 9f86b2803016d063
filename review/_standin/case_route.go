package main

import (
	"fmt"
	"sync"
	"time"
)

// The load of the case of the removed route: clients hand in submissions at one daemon all the time.
const (
	routeClients = 24
	// routeCut is how long the daemon is cut off, and routeRemoval how long after its begin the route is removed.
	routeCut     = 1500 * time.Millisecond
	routeRemoval = 300 * time.Millisecond
	goneRoute    = "/cufi501/"
)

// rejected checks that no work item of a submission starts of which all attempts to hand it in were rejected.
type rejected struct {
	scene *scene

	mu sync.Mutex
	// statuses holds the answers to the attempts of each submission, 0 for none, and ran the submissions that have started.
	statuses map[string][]int
	ran      map[string]bool
}

func (x *rejected) started(r *runner, task string, run int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scene.note("runner %s: starts %s run %d", r.id, task, run)
	x.ran[jobOf(task)] = true
}

func (x *rejected) ended(*runner, string, int, string) {}

func (x *rejected) observed(*runner, string, int, string, bool) {}

func (x *rejected) answered(id string, status int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.statuses[id] = append(x.statuses[id], status)
}

// judge notes the submissions that break the rule, and returns how many attempts were accepted and rejected.
func (x *rejected) judge() (accepted, refused int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, all := range x.statuses {
		onlyRejected := true
		for _, status := range all {
			switch status {
			case 404, 429, 503:
				refused++
			case 200:
				accepted++
				onlyRejected = false
			default:
				onlyRejected = false
			}
		}
		if onlyRejected && x.ran[id] {
			x.scene.breaks("REFUSED: %s has run, and all attempts to hand it in were rejected: %v", id, all)
		}
	}
	return accepted, refused
}

// removedRoute cuts a daemon off under load, and removes the route meanwhile.
func removedRoute(s *scene) error {
	watch := &rejected{scene: s, statuses: map[string][]int{}, ran: map[string]bool{}}
	c, err := s.startCloud()
	if err != nil {
		return err
	}
	var forwarders []*forwarder
	// All core machines listen behind forwarders, which can cut the last daemon off.
	prepare := func() error {
		var names []string
		for _, d := range s.daemons {
			names = append(names, d.name)
		}
		last := len(names) - 1
		for i, d := range s.daemons[:coreDaemons] {
			d.bindHost = fmt.Sprintf("127.0.1.%d", i+2)
			f, err := s.forward(d, names[last], names[:last])
			if err != nil {
				return err
			}
			forwarders = append(forwarders, f)
		}
		return nil
	}
	if err := s.startDaemons(2, c.address(), prepare); err != nil {
		return err
	}
	cut := func(on bool) {
		for _, f := range forwarders {
			f.setCut(on)
		}
	}
	for i := range 4 {
		c.add(fmt.Sprintf("m-%d", i), s.startRunner(watch, fmt.Sprintf("i-7f3a91%02d", i+10), poolName, []string{"a", "r1-1"}, 16000, 65536))
	}
	both := newConfig(7, newRoute("r-1", queuePrefix, poolName), newRoute("r-2", goneRoute, poolName))
	if err := s.order("/-/config/replace", both, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	entry := s.daemons[len(s.daemons)-1]
	stop := make(chan struct{})
	var hands sync.WaitGroup
	for i := range routeClients {
		hands.Go(func() { watch.handIn(entry, i, stop) })
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.note("TROUBLE: %s is cut off", entry.name)
		cut(true)
	}
	began := time.Now()
	time.Sleep(routeRemoval)
	if err := s.order("/-/config/replace", newConfig(11, newRoute("r-1", queuePrefix, poolName)), 5*time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(routeCut)))
	if s.trouble {
		cut(false)
		s.note("TROUBLE: the cut of %s heals", entry.name)
	}
	time.Sleep(time.Second)
	close(stop)
	hands.Wait()
	time.Sleep(5 * time.Second)
	accepted, refused := watch.judge()
	s.note("%d attempts accepted, %d rejected", accepted, refused)
	if accepted == 0 || refused == 0 {
		return errNotReached
	}
	return nil
}

// handIn hands in one submission after the other, each once.
func (x *rejected) handIn(entry *daemon, client int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := newID(0xab000+client, n)
		job := submission{Spec: specOf(20, 50), Phases: []phase{{Count: 1, CPU: 50, MemMb: 16, EstimateMs: 20}}}
		x.answered(id, x.scene.submit(entry, goneRoute, id, job))
		time.Sleep(time.Millisecond)
	}
}
