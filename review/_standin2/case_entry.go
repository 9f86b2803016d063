package main

import (
	"fmt"
	"strings"
	"time"
)

// entryTime is for how long the list of machines holds an entry of another writer.
const entryTime = 3 * time.Second

// playForeignEntry has an entry of another writer in the list of machines, with a field missing. It names no runner; the
// entries of the platform hold. The rule is TWICE.
func playForeignEntry(s *site) error {
	const id = "00000000000000ab"
	if err := s.configure(); err != nil {
		return err
	}
	for i := range 6 {
		s.platform.add(fmt.Sprintf("m-%d", i+1), pool)
	}
	err := s.submit(3, id, lastingSpec, step{
		"count": 4, "cpu": 2000, "memMb": 1024, "estimateMs": 1000, "longRunning": true, "antiAffinity": 1, "allowMiss": 1,
	})
	if err != nil {
		return err
	}
	if !until(20*time.Second, func() bool { return len(s.servers.atWork(id)) == 4 }) {
		return fmt.Errorf("the work items aren't at work")
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		var named string
		for _, machine := range s.servers.atWork(id) {
			named = machine
		}
		s.record.log("platform: the list has an entry of another writer for %s, without the field id", named)
		s.platform.setForeign(map[string]any{
			"machine": named, "pool": pool, "state": "up", "zone": "dc-1", "labels": serverLabels, "capacity": serverCapacity,
		})
	}
	time.Sleep(entryTime)
	s.platform.setForeign(nil)
	time.Sleep(4 * time.Second)
	return s.checkTwice(id)
}

// byID returns a server by its id.
func (a *servers) byID(id string) *server {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.all {
		if v.id == id {
			return v
		}
	}
	return nil
}

// setForeign sets the entry of another writer in the list, nil for none.
func (p *platform) setForeign(row map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.foreign = row
}

// checkTwice returns an error if two runs of a work item ran at the same time. All servers of the case are up throughout.
func (s *site) checkTwice(id string) error {
	running := map[string]map[string]bool{}
	var breaks []string
	for _, e := range s.servers.history(id) {
		if running[e.item] == nil {
			running[e.item] = map[string]bool{}
		}
		name := fmt.Sprintf("run %d on %s", e.run, e.server)
		if e.end != "" {
			delete(running[e.item], name)
			continue
		}
		for other := range running[e.item] {
			breaks = append(breaks, fmt.Sprintf("%s: %s starts beside %s", e.item, name, other))
		}
		running[e.item][name] = true
	}
	if len(breaks) > 0 {
		return fmt.Errorf("%w: TWICE: %s", errBroken, strings.Join(breaks, "; "))
	}
	return nil
}
