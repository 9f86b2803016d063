package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

var (
	serverLabels   = []string{"a", "r1-1"}
	serverCapacity = map[string]int{"cpu": 16000, "memMb": 65536, "gpu": 0}
)

const (
	// beatInterval is the time between two reports without a word from the system.
	beatInterval = 1500 * time.Millisecond
	// warmUp is how long a work item that lasts takes until it is at work.
	warmUp = 300 * time.Millisecond
	// lastingSpec begins the spec of work items that last; others name their milliseconds.
	lastingSpec = "lasts"
)

// workRun is a run of a work item on a server.
type workRun struct {
	item    string
	run     int
	lasts   bool
	begun   time.Time
	due     time.Time
	stopDue time.Time
	// failDue is when the server fails the run; zero on a sound one.
	failDue time.Time
}

// atWork reports whether a work item that lasts serves its users.
func (r *workRun) atWork() bool {
	return r.lasts && time.Since(r.begun) >= warmUp
}

// runEvent is the start or the end of a run.
type runEvent struct {
	at     time.Time
	item   string
	run    int
	server string
	// end is how the run ended; empty for a start.
	end string
}

// servers holds all servers and the history of their runs.
type servers struct {
	site *site

	mu     sync.Mutex
	count  int
	all    []*server
	events []runEvent
}

func newServers(s *site) *servers {
	return &servers{site: s}
}

// server stands in for one life of a runner.
type server struct {
	site    *site
	id      string
	pool    string
	machine string
	address string
	born    int64
	client  *http.Client
	stop    chan struct{}

	mu   sync.Mutex
	dead bool
	grey bool
	// leaves is when the server is gone after a notice; zero while it stays.
	leaves   time.Time
	sequence int
	fence    uint64
	lease    time.Time
	running  map[string]*workRun
	highest  map[string]int
	ended    [][]any
	endCount int
	target   string
	next     int
}

// start starts the next server on a machine.
func (a *servers) start(m *machine) *server {
	a.mu.Lock()
	a.count++
	number := a.count
	v := &server{
		site: a.site, id: fmt.Sprintf("i-%08x", number), pool: m.pool, machine: m.name, born: time.Now().UnixMilli(),
		address: fmt.Sprintf("%s.%d:8080", a.site.network, 100+number), client: &http.Client{Timeout: time.Second}, stop: make(chan struct{}),
		running: map[string]*workRun{}, highest: map[string]int{}, ended: [][]any{}, next: number,
	}
	a.all = append(a.all, v)
	a.mu.Unlock()
	a.site.record.log("server %s starts on %s in %s", v.id, v.machine, v.pool)
	go v.run()
	return v
}

func (a *servers) stopAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.all {
		v.kill("")
	}
}

// note adds an event to the history.
func (a *servers) note(e runEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.at = time.Now()
	a.events = append(a.events, e)
	if e.end == "" {
		a.site.record.log("server %s starts %s run %d", e.server, e.item, e.run)
	} else {
		a.site.record.log("server %s ends %s run %d: %s", e.server, e.item, e.run, e.end)
	}
}

// history returns the events of a submission's runs.
func (a *servers) history(id string) []runEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	var of []runEvent
	for _, e := range a.events {
		if strings.HasPrefix(e.item, id+".") {
			of = append(of, e)
		}
	}
	return of
}

// atWork returns the work items of a submission that are at work, with their machines.
func (a *servers) atWork(id string) map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	working := map[string]string{}
	for _, v := range a.all {
		for item := range v.itemsAtWork(id) {
			working[item] = v.machine
		}
	}
	return working
}

func (v *server) itemsAtWork(id string) map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	items := map[string]bool{}
	for item, r := range v.running {
		if !v.dead && strings.HasPrefix(item, id+".") && r.atWork() {
			items[item] = true
		}
	}
	return items
}

// notice tells the server that it will be gone after some time.
func (v *server) notice(after time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaves = time.Now().Add(after)
}

// kill ends the server and all that runs on it at once.
func (v *server) kill(cause string) {
	v.mu.Lock()
	if v.dead {
		v.mu.Unlock()
		return
	}
	v.dead = true
	lost := slices.Collect(maps.Values(v.running))
	v.running = map[string]*workRun{}
	close(v.stop)
	v.mu.Unlock()
	if cause == "" {
		return
	}
	for _, r := range lost {
		v.site.servers.note(runEvent{item: r.item, run: r.run, server: v.id, end: cause})
	}
}

// run sends reports until the server is killed, each after the answer to the one before.
func (v *server) run() {
	for {
		wait := v.report()
		for end := time.Now().Add(wait); time.Now().Before(end); {
			select {
			case <-v.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if v.endDue() {
				if soon := time.Now().Add(50 * time.Millisecond); soon.Before(end) {
					end = soon
				}
			}
		}
	}
}

// endDue ends the runs that are due, or all if the lease has lapsed, and reports whether it ended any.
func (v *server) endDue() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	any, now := false, time.Now()
	for _, r := range v.running {
		switch {
		case now.After(v.lease):
			v.end(r, "lapsed")
		case !r.stopDue.IsZero():
			if now.Before(r.stopDue) {
				continue
			}
			v.end(r, "stopped")
		case !r.failDue.IsZero() && now.After(r.failDue):
			v.end(r, "failed")
		case !r.lasts && now.After(r.due):
			v.end(r, "done")
		default:
			continue
		}
		any = true
	}
	return any
}

// end lists the end of a run; the caller holds the lock.
func (v *server) end(r *workRun, how string) {
	v.endCount++
	v.ended = append(v.ended, []any{v.endCount, r.item, r.run, how, ""})
	delete(v.running, r.item)
	go v.site.servers.note(runEvent{item: r.item, run: r.run, server: v.id, end: how})
}

// body returns the next report.
func (v *server) body() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence++
	running := [][]any{}
	for _, r := range v.running {
		percent := 0
		if r.atWork() {
			percent = 100
		} else if !r.lasts {
			percent = int(min(99, 100*time.Since(r.begun)/max(1, r.due.Sub(r.begun))))
		}
		running = append(running, []any{r.item, r.run, "", percent, 0})
	}
	report := map[string]any{
		"service": v.pool, "address": v.address, "zone": "dc-1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": serverCapacity, "labels": serverLabels, "clockMs": time.Now().UnixMilli() - v.born, "born": v.born, "seq": v.sequence,
		"running": running, "ended": v.ended[:min(len(v.ended), 500)],
	}
	if !v.leaves.IsZero() {
		report["state"], report["remainingMs"] = "draining", max(0, time.Until(v.leaves).Milliseconds())
	}
	text, err := json.Marshal(report)
	if err != nil {
		panic(err)
	}
	return text
}

// report sends a report and follows the answer. It returns the time until the next one.
func (v *server) report() time.Duration {
	if v.target == "" {
		v.next++
		v.target = v.site.control(v.next % processCount)
	}
	sent := time.Now()
	response, err := v.client.Post("http://"+v.target+"/-/instances/"+v.id+"/heartbeat", "application/json", bytes.NewReader(v.body()))
	if err != nil {
		v.target = ""
		return 50 * time.Millisecond
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode/100 != 2 || time.Since(sent) > time.Second {
		v.target = ""
		return 50 * time.Millisecond
	}
	return v.follow(text, sent)
}

// orders is the answer to a report.
type orders struct {
	HoldMs       int64   `json:"holdMs"`
	Observed     int     `json:"observed"`
	FenceToken   uint64  `json:"fenceToken"`
	Start        [][]any `json:"start"`
	Stop         [][]any `json:"stop"`
	RetryMs      int64   `json:"retryMs"`
	HeartbeatURL string  `json:"heartbeatUrl"`
}

// follow follows the answer to a report that was sent at the given time.
func (v *server) follow(text []byte, sent time.Time) time.Duration {
	var o orders
	if json.Unmarshal(text, &o) != nil {
		return beatInterval
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if o.HeartbeatURL != "" {
		v.target = o.HeartbeatURL
	}
	if v.dead || o.FenceToken < v.fence {
		return beatInterval
	}
	v.fence = o.FenceToken
	for len(v.ended) > 0 && v.ended[0][0].(int) <= o.Observed {
		v.ended = v.ended[1:]
	}
	if o.HoldMs > 0 {
		if lease := sent.Add(min(time.Duration(o.HoldMs)*time.Millisecond, holdMax)); lease.After(v.lease) {
			v.lease = lease
		}
		for _, row := range o.Start {
			v.begin(row[0].(string), int(row[1].(float64)), row[2].(string))
		}
	}
	for _, row := range o.Stop {
		if r := v.running[row[0].(string)]; r != nil && r.run == int(row[1].(float64)) && r.stopDue.IsZero() {
			r.stopDue = time.Now().Add(stopDuration)
		}
	}
	if o.RetryMs > 0 {
		return time.Duration(o.RetryMs) * time.Millisecond
	}
	return beatInterval
}

// begin starts a run, unless the work item runs here or had this run or a later one here; the caller holds the lock.
func (v *server) begin(item string, run int, spec string) {
	if v.running[item] != nil || run <= v.highest[item] {
		v.endCount++
		v.ended = append(v.ended, []any{v.endCount, item, run, "refused", ""})
		return
	}
	v.highest[item] = run
	r := &workRun{item: item, run: run, begun: time.Now(), lasts: strings.HasPrefix(spec, lastingSpec)}
	if v.grey {
		r.failDue = r.begun.Add(greyAfter)
	}
	if ms, err := strconv.Atoi(strings.Fields(spec + " 0")[0]); err == nil {
		r.due = r.begun.Add(time.Duration(ms) * time.Millisecond)
	}
	v.running[item] = r
	go v.site.servers.note(runEvent{item: item, run: run, server: v.id})
}
