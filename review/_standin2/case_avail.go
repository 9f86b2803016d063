package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// items is the number of work items of the standing submission, allowMiss how many of them may be away by orders.
	items     = 5
	allowMiss = 1
	// outage is how long the platform answers no call, the default of the kind cloud_down.
	outage = 5 * time.Second
)

// playUnansweredUpkeep has the platform carry out upkeeps without an answer for some seconds, while a wave takes the
// machines of a standing submission. The rule is AVAIL.
func playUnansweredUpkeep(s *site) error {
	const id = "00000000000000a1"
	if err := s.configure(); err != nil {
		return err
	}
	var names []string
	for i := range items + 2 {
		names = append(names, fmt.Sprintf("m-%d", i+1))
		s.platform.add(names[i], pool)
	}
	err := s.submit(3, id, lastingSpec, step{
		"count": items, "cpu": 2000, "memMb": 1024, "estimateMs": 1000, "longRunning": true, "antiAffinity": 1, "allowMiss": allowMiss,
	})
	if err != nil {
		return err
	}
	if !until(20*time.Second, func() bool { return len(s.servers.atWork(id)) == items }) {
		return fmt.Errorf("the work items aren't at work")
	}
	time.Sleep(notice)
	j := &availJudge{site: s, id: id, away: map[string]time.Time{}}
	s.platform.onUpkeep = j.judge
	var wave []string
	for _, machine := range s.servers.atWork(id) {
		wave = append(wave, machine)
	}
	slices.Sort(wave)
	if s.trouble {
		s.platform.mu.Lock()
		s.platform.unanswered = time.Now().Add(outage)
		s.platform.mu.Unlock()
		s.record.log("platform: for %v it carries calls out and answers none", outage)
	}
	if s.startWave(1, 1, 3, 40, wave...) != 200 {
		return fmt.Errorf("the wave wasn't acknowledged")
	}
	until(25*time.Second, func() bool { return s.platform.upkeepCount() == items })
	s.record.log("%d of %d upkeeps, wave %q", s.platform.upkeepCount(), items, s.waveState(1))
	if s.platform.upkeepCount() == 0 {
		return fmt.Errorf("no upkeep was ordered")
	}
	return j.broken()
}

func (p *platform) upkeepCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upkeeps
}

// availJudge checks AVAIL: an upkeep ends no work item at work while allowMiss others of its step are away, ended by such
// an order and not back at work since.
type availJudge struct {
	site *site
	id   string

	mu     sync.Mutex
	away   map[string]time.Time
	breaks []string
}

// judge is called before an upkeep ends the server of a machine.
func (j *availJudge) judge(m *machine) {
	j.mu.Lock()
	defer j.mu.Unlock()
	working := j.site.servers.atWork(j.id)
	for item := range working {
		delete(j.away, item)
	}
	var others []string
	for item := range j.away {
		others = append(others, item)
	}
	slices.Sort(others)
	for item, machine := range working {
		if machine != m.name {
			continue
		}
		j.site.record.log("judge: the upkeep of %s ends %s, away by such orders: [%s]", m.name, item, strings.Join(others, " "))
		if len(others) >= allowMiss {
			j.breaks = append(j.breaks, fmt.Sprintf("the upkeep of %s ends %s while %d others are away, %d may be", m.name, item, len(others), allowMiss))
		}
		j.away[item] = time.Now()
	}
}

func (j *availJudge) broken() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.breaks) == 0 {
		return nil
	}
	return fmt.Errorf("%w: AVAIL: %s", errBroken, strings.Join(j.breaks, "; "))
}
