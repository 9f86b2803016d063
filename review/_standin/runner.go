package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// beatTimeout is how long a runner waits for the answer to a liveness report.
	beatTimeout = time.Second
	// beatAfterEnd is how long after an end a runner reports at the latest.
	beatAfterEnd = 50 * time.Millisecond
	// beatDefault is the time between reports if no answer says otherwise.
	beatDefault = 1500 * time.Millisecond
	// maxListedEnds is how many ends a report lists at most.
	maxListedEnds = 500
	// holdMax is the longest lease.
	holdMax = 6 * time.Second
	// stopTime is how long a stop takes; stopMs is 900.
	stopTime = 300 * time.Millisecond
	// readyTime is how long after its start a work item that lasts is at work.
	readyTime = 400 * time.Millisecond
)

// watcher sees what runners do.
type watcher interface {
	// started is called for each work item that a runner has begun on an order.
	started(r *runner, task string, run int)
	// ended is called for each end of a work item that had begun.
	ended(r *runner, task string, run int, how string)
	// observed is called for each end that an answer takes note of; lapsed says that the lease lapsed since the end.
	observed(r *runner, task string, run int, how string, lapsed bool)
}

// runs is a work item that runs.
type runs struct {
	run    int
	began  time.Time
	length time.Duration
	stopAt time.Time
	cpu    int
	// gang is nil for a work item that works on its own.
	gang *gang
}

// endRow is an end that is still to be taken note of.
type endRow struct {
	number int
	task   string
	run    int
	how    string
	lapses int
}

// runner is one life of a worker machine.
type runner struct {
	scene   *scene
	watcher watcher
	id      string
	address string
	pool    string
	labels  []string
	cpu     int
	memMb   int
	born    int64

	mu      sync.Mutex
	seq     int
	running map[string]*runs
	// highest is the highest run of each work item that was stopped or ended here.
	highest map[string]int
	ends    []endRow
	number  int
	fence   int
	// lease is the end of the lease, lapsed says that it is over, and lapses counts how often it was.
	lease  time.Time
	lapsed bool
	lapses int
	target string
	next   int
	cut    bool
	gone   bool
}

// startRunner starts a runner at an address of its own.
func (s *scene) startRunner(w watcher, id, pool string, labels []string, cpu, memMb int) *runner {
	r := &runner{
		scene: s, watcher: w, id: id, address: "127.0.0.1:1" + id[len(id)-2:], pool: pool, labels: labels, cpu: cpu, memMb: memMb,
		born: time.Now().UnixMilli(), running: map[string]*runs{}, highest: map[string]int{},
	}
	go r.live()
	return r
}

// newLife starts a runner with a new id at the address of one that has crashed.
func (s *scene) newLife(former *runner, id string) *runner {
	r := &runner{
		scene: s, watcher: former.watcher, id: id, address: former.address, pool: former.pool, labels: former.labels,
		cpu: former.cpu, memMb: former.memMb, born: time.Now().UnixMilli(),
		running: map[string]*runs{}, highest: map[string]int{},
	}
	go r.live()
	return r
}

// live reports and works until the runner is gone.
func (r *runner) live() {
	client := &http.Client{Timeout: beatTimeout}
	for !r.isGone() && !r.scene.over() {
		wait := r.beat(client)
		for due := time.Now().Add(wait); time.Now().Before(due) && !r.isGone(); time.Sleep(5 * time.Millisecond) {
			if r.work() {
				if soon := time.Now().Add(beatAfterEnd); soon.Before(due) {
					due = soon
				}
			}
		}
	}
}

// crash ends the runner at once; it sends nothing more.
func (r *runner) crash() {
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
}

func (r *runner) isGone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// setCut cuts the runner off from all daemons, or ends that.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *runner) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// work ends what is due and reports whether anything has ended.
func (r *runner) work() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, ended := time.Now(), false
	if !r.lapsed && !r.lease.IsZero() && now.After(r.lease) {
		r.lapsed = true
		r.lapses++
		for task := range r.running {
			r.end(task, "lapsed")
		}
		return true
	}
	for task, w := range r.running {
		if w.gang != nil && w.stopAt.IsZero() {
			if how := r.scene.gangs.fate(w.gang, w.began, w.length); how != "" {
				r.end(task, how)
				ended = true
			}
			continue
		}
		switch {
		case !w.stopAt.IsZero() && now.After(w.stopAt):
			r.end(task, "stopped")
			ended = true
		case w.stopAt.IsZero() && w.length > 0 && now.After(w.began.Add(w.length)):
			r.end(task, "done")
			ended = true
		}
	}
	return ended
}

// end ends a work item; the caller holds the lock.
func (r *runner) end(task, how string) {
	w := r.running[task]
	delete(r.running, task)
	if w.gang != nil && how != "done" {
		r.scene.gangs.leave(w.gang)
	}
	r.highest[task] = max(r.highest[task], w.run)
	r.addEnd(task, w.run, how)
	r.watcher.ended(r, task, w.run, how)
}

func (r *runner) addEnd(task string, run int, how string) {
	r.number++
	r.ends = append(r.ends, endRow{number: r.number, task: task, run: run, how: how, lapses: r.lapses})
}

// beat sends a liveness report, follows the answer, and returns the time until the next report.
func (r *runner) beat(client *http.Client) time.Duration {
	body := r.report()
	target, ok := r.nextTarget()
	if !ok {
		// Nothing that the runner sends arrives, and no answer comes.
		return r.waitCut()
	}
	sent := time.Now()
	response, err := client.Post("http://"+target+"/-/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		r.loseTarget()
		return beatAfterEnd
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK || time.Since(sent) > beatTimeout || r.isCut() {
		r.loseTarget()
		return beatAfterEnd
	}
	return r.follow(text, sent)
}

// waitCut waits as long as a report without an answer does, or until the cut ends.
func (r *runner) waitCut() time.Duration {
	for end := time.Now().Add(beatTimeout); time.Now().Before(end) && r.isCut() && !r.isGone(); time.Sleep(5 * time.Millisecond) {
		r.work()
	}
	return beatAfterEnd
}

func (r *runner) nextTarget() (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return "", false
	}
	if r.target == "" {
		r.next++
		return r.scene.daemons[r.next%len(r.scene.daemons)].address(portControl), true
	}
	return r.target, true
}

func (r *runner) loseTarget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = ""
}

// report returns the body of the next liveness report.
func (r *runner) report() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	running, ended := [][]any{}, [][]any{}
	for task, w := range r.running {
		running = append(running, []any{task, w.run, "", w.percent(), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	text, err := json.Marshal(map[string]any{
		"service": r.pool, "address": r.address, "zone": "kwinana", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": r.cpu, "memMb": r.memMb, "gpu": 0}, "labels": r.labels,
		"clockMs": time.Since(r.scene.began).Milliseconds(), "seq": r.seq, "born": r.born, "running": running, "ended": ended,
	})
	if err != nil {
		panic(err)
	}
	return text
}

// percent returns the progress of a work item; one that lasts is at work after a short startup, and a member of a gang makes
// none before all are present.
func (w *runs) percent() int {
	if w.gang != nil && w.gang.full.IsZero() {
		return 0
	}
	length := w.length
	if length == 0 {
		length = readyTime
	}
	return int(min(100, 100*time.Since(w.began)/length))
}

// orders is the answer to a liveness report.
type orders struct {
	HoldMs       int     `json:"holdMs"`
	Observed     int     `json:"observed"`
	FenceToken   int     `json:"fenceToken"`
	Start        [][]any `json:"start"`
	Stop         [][]any `json:"stop"`
	RetryMs      int     `json:"retryMs"`
	HeartbeatURL string  `json:"heartbeatUrl"`
}

// follow obeys an answer, and returns the time until the next report.
func (r *runner) follow(text []byte, sent time.Time) time.Duration {
	var o orders
	if err := json.Unmarshal(text, &o); err != nil {
		return beatAfterEnd
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return 0
	}
	if o.HeartbeatURL != "" {
		r.target = o.HeartbeatURL
	}
	wait := beatDefault
	if o.RetryMs > 0 {
		wait = time.Duration(o.RetryMs) * time.Millisecond
	}
	if o.FenceToken < r.fence {
		return wait
	}
	r.fence = o.FenceToken
	for len(r.ends) > 0 && r.ends[0].number <= o.Observed {
		e := r.ends[0]
		r.ends = r.ends[1:]
		r.watcher.observed(r, e.task, e.run, e.how, e.lapses != r.lapses)
	}
	if o.HoldMs > 0 {
		lease := sent.Add(min(time.Duration(o.HoldMs)*time.Millisecond, holdMax))
		if lease.After(r.lease) {
			r.lease, r.lapsed = lease, false
		}
		for _, start := range o.Start {
			r.start(start[0].(string), int(start[1].(float64)), start[2].(string))
		}
	}
	for _, stop := range o.Stop {
		r.stop(stop[0].(string), int(stop[1].(float64)))
	}
	return wait
}

// stop stops a run; one that is not there yet will be rejected.
func (r *runner) stop(task string, run int) {
	w := r.running[task]
	switch {
	case w == nil || w.run < run:
		r.highest[task] = max(r.highest[task], run)
	case w.run == run && w.stopAt.IsZero():
		w.stopAt = time.Now().Add(stopTime)
	}
}

// start begins a work item, or rejects it if it runs already, its run is not higher than one that ended here, or it does
// not fit. The spec holds the length of the run in milliseconds and what it needs.
func (r *runner) start(task string, run int, spec string) {
	var lengthMs, cpu, members int
	if _, err := fmt.Sscanf(spec, "run %d ms on %d with %d", &lengthMs, &cpu, &members); err != nil {
		panic(err)
	}
	used := cpu
	for _, w := range r.running {
		used += w.cpu
	}
	if r.running[task] != nil || run <= r.highest[task] || used > r.cpu {
		r.addEnd(task, run, "refused")
		return
	}
	w := &runs{run: run, began: time.Now(), length: time.Duration(lengthMs) * time.Millisecond, cpu: cpu}
	if members > 0 {
		w.gang = r.scene.gangs.join(task, run, members)
	}
	r.running[task] = w
	r.watcher.started(r, task, run)
}

// atWork returns the work items that last and are at work, sorted.
func (r *runner) atWork() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for task, w := range r.running {
		if w.length == 0 && w.percent() >= 100 && w.stopAt.IsZero() {
			all = append(all, task)
		}
	}
	sort.Strings(all)
	return all
}

// count returns how many work items run.
func (r *runner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// specOf returns the spec of work items that run for some milliseconds, 0 for those that last, on some thousandths of a core.
func specOf(lengthMs, cpu int) string {
	return gangSpecOf(lengthMs, cpu, 0)
}

// gangSpecOf returns the spec of the members of a gang.
func gangSpecOf(lengthMs, cpu, members int) string {
	return fmt.Sprintf("run %d ms on %d with %d", lengthMs, cpu, members)
}

// jobOf returns the ID of the submission in the name of a work item.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// newID returns the ID of the submission with a number.
func newID(prefix, n int) string {
	return fmt.Sprintf("%08x%08x", prefix, n)
}

// atoi returns the number in a text, 0 if there is none.
func atoi(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}
