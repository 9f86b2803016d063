package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	writerItems    = 40
	writerLengthMs = 6000
	// strangeService is a service that no config names.
	strangeService = "zz-agent"
)

// twoRuns checks that no work item runs twice at the same time, on runners that are up.
type twoRuns struct {
	scene *scene

	mu      sync.Mutex
	running map[string]map[string]int
	broken  map[string]bool
	done    int
}

func (x *twoRuns) started(r *runner, task string, run int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scene.note("runner %s: starts %s run %d", r.id, task, run)
	if x.running[task] == nil {
		x.running[task] = map[string]int{}
	}
	for other, otherRun := range x.running[task] {
		if !x.broken[task] {
			x.broken[task] = true
			x.scene.breaks("TWICE: %s runs on %s (run %d) and on %s (run %d)", task, other, otherRun, r.id, run)
		}
	}
	x.running[task][r.id] = run
}

func (x *twoRuns) ended(r *runner, task string, run int, how string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.scene.note("runner %s: %s run %d ends %s", r.id, task, run, how)
	delete(x.running[task], r.id)
	if how == "done" {
		x.done++
	}
}

func (*twoRuns) observed(*runner, string, int, string, bool) {}

func (x *twoRuns) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.done
}

// otherWriter sends one liveness report of another writer under the id of a runner that works.
func otherWriter(s *scene) error {
	return s.strange(func(_ *cloud, _ *machine, r *runner) { s.strangeReport(r) })
}

// rowWithoutID leaves the id out of one row of the list of machines, once.
func rowWithoutID(s *scene) error {
	return s.strange(func(c *cloud, m *machine, _ *runner) { c.loseID(m) })
}

// strange lets work items run on four runners and does something about one on which they run.
func (s *scene) strange(trouble func(*cloud, *machine, *runner)) error {
	watch := &twoRuns{scene: s, running: map[string]map[string]int{}, broken: map[string]bool{}}
	c, err := s.startCloud()
	if err != nil {
		return err
	}
	if err := s.startDaemons(2, c.address(), nil); err != nil {
		return err
	}
	var runners []*runner
	var machines []*machine
	for i := range 4 {
		r := s.startRunner(watch, fmt.Sprintf("i-7f3a91%02d", i+10), poolName, []string{"a", "r1-1"}, 16000, 65536)
		runners = append(runners, r)
		machines = append(machines, c.add(fmt.Sprintf("m-%d", i), r))
	}
	if err := s.order("/-/config/replace", newConfig(7, newRoute("r-1", queuePrefix, poolName)), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	job := submission{Spec: specOf(writerLengthMs, 800), Phases: []phase{{Count: writerItems, CPU: 800, MemMb: 1000, EstimateMs: writerLengthMs, AntiAffinity: 12}}}
	if !s.submitUntilAccepted(queuePrefix, newID(0x77, 1), job, 10*time.Second) {
		return errNotReached
	}
	time.Sleep(2 * time.Second)
	busiest := 0
	for i, r := range runners {
		if r.count() > runners[busiest].count() {
			busiest = i
		}
	}
	r := runners[busiest]
	if r.count() == 0 {
		return errNotReached
	}
	if s.trouble {
		s.note("TROUBLE: %d work items run on %s", r.count(), r.id)
		trouble(c, machines[busiest], r)
	}
	if !s.waitFor(40*time.Second, func() bool { return watch.count() >= writerItems }) {
		s.note("not all work items have ended done")
	}
	time.Sleep(2 * time.Second)
	return nil
}

// strangeReport sends a report with a service that isn't named and without the two lists.
func (s *scene) strangeReport(r *runner) {
	r.mu.Lock()
	message := map[string]any{
		"service": strangeService, "address": r.address, "zone": "kwinana", "state": "ready", "seq": r.seq + 1, "born": r.born,
	}
	r.mu.Unlock()
	text, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	address := s.daemons[0].address(portControl)
	response, err := http.Post("http://"+address+"/-/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader(text))
	if err != nil {
		s.note("the report gets no answer: %v", err)
		return
	}
	answer, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	s.note("TROUBLE: another writer's report %s -> %d %s", text, response.StatusCode, answer)
}
