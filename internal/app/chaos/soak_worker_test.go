package chaos_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxTaskFailures is the number of failed attempts after which a task must not start again.
const maxTaskFailures = 3

// The capacity of a worker and the need of a task, in thousandths of a core.
const (
	workerMilliCores = 4000
	taskMilliCores   = 1000
)

// runningAttempt is an attempt that a worker runs until it is due, or until stopDue once it is being stopped.
type runningAttempt struct {
	attempt      int
	due, stopDue time.Time
}

// siteWorker is one incarnation of a simulated worker; only its own goroutine uses it.
type siteWorker struct {
	soak   *soak
	random *rand.Rand
	id     string
	vm     string
	pool   string
	born   int64

	sequence  int
	token     uint64
	lease     time.Time
	address   string
	running   map[string]runningAttempt
	ended     [][]any
	endNumber int
	// capacity is nil if the worker refuses what doesn't fit. reported is the capacity in its last heartbeat, and interval
	// the time until the next one.
	capacity *changingCapacity
	reported int
	interval time.Duration
	// highestEnded holds the highest attempt of each task that has ended here.
	highestEnded map[string]int
}

// run sends heartbeats and follows their orders until stop closes. It then tells the checker which completed tasks the
// leader has not acknowledged.
func (w *siteWorker) run(stop <-chan struct{}) {
	defer func() {
		var unacknowledged []string
		for _, e := range w.ended {
			if e[3] == "done" {
				unacknowledged = append(unacknowledged, e[1].(string))
			}
		}
		w.soak.checker.workerEnded(w, unacknowledged)
	}()
	client := &http.Client{Timeout: time.Second}
	for {
		w.interval = w.heartbeat(client)
		for end := time.Now().Add(w.interval); time.Now().Before(end); {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			if w.capacity != nil {
				w.capacity.update(w.soak.calm.Load())
			}
			if w.endDue() {
				end = time.Now().Add(min(time.Until(end), 50*time.Millisecond))
			}
		}
	}
}

// endDue ends the attempts that are due, or all if the lease has lapsed, and returns whether it ended any.
func (w *siteWorker) endDue() bool {
	ended := false
	for name, r := range w.running {
		switch {
		case time.Now().After(w.lease):
			w.end(name, "lapsed")
		case !r.stopDue.IsZero() && time.Now().After(r.stopDue):
			w.end(name, "stopped")
		case !r.stopDue.IsZero():
			continue
		case time.Now().After(r.due) && w.random.IntN(40) == 0:
			w.end(name, "failed")
		case time.Now().After(r.due):
			w.end(name, "done")
		default:
			continue
		}
		ended = true
	}
	return ended
}

func (w *siteWorker) end(name, kind string) {
	w.endNumber++
	w.ended = append(w.ended, []any{w.endNumber, name, w.running[name].attempt, kind, ""})
	w.highestEnded[name] = max(w.highestEnded[name], w.running[name].attempt)
	delete(w.running, name)
	w.soak.checker.taskEnded(w, name, kind)
}

// heartbeat sends one heartbeat and returns the time until the next one.
func (w *siteWorker) heartbeat(client *http.Client) time.Duration {
	w.sequence++
	w.reported = workerMilliCores
	if w.capacity != nil {
		w.reported = w.capacity.now()
	}
	w.soak.checker.heartbeatSent(w.reported, len(w.running)*taskMilliCores)
	running := [][]any{}
	for name, r := range w.running {
		running = append(running, []any{name, r.attempt, "", w.random.IntN(100)})
	}
	report, err := json.Marshal(map[string]any{
		"service": w.pool, "address": w.id + ":1", "state": "ready", "seq": w.sequence, "born": w.born, "zone": "dc", "slots": 8,
		"capacity": map[string]int{"cpu": w.reported, "memMb": 4000}, "labels": []string{"a", "r1"}, "running": running, "ended": w.ended,
	})
	if err != nil {
		panic(err)
	}
	if w.address == "" {
		w.address = w.soak.nextProcess().control()
	}
	sent := time.Now()
	response, err := client.Post("http://"+w.address+"/-/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(report))
	if err != nil {
		w.address = ""
		return 100 * time.Millisecond
	}
	text, err := io.ReadAll(response.Body)
	if closed := response.Body.Close(); err != nil || closed != nil || response.StatusCode != http.StatusOK || time.Since(sent) > time.Second {
		w.address = ""
		return 100 * time.Millisecond
	}
	return w.handleOrders(text, sent)
}

// orders is the answer to a heartbeat.
type orders struct {
	HoldMs       int64   `json:"holdMs"`
	Observed     int     `json:"observed"`
	FenceToken   uint64  `json:"fenceToken"`
	Start        [][]any `json:"start"`
	Stop         [][]any `json:"stop"`
	RetryMs      int64   `json:"retryMs"`
	HeartbeatURL string  `json:"heartbeatUrl"`
}

// handleOrders follows the answer to a heartbeat that was sent at the given time, unless its fencing token is outdated.
// It returns the time until the next heartbeat.
func (w *siteWorker) handleOrders(text []byte, sent time.Time) time.Duration {
	var o orders
	if err := json.Unmarshal(text, &o); err != nil {
		return 100 * time.Millisecond
	}
	if o.HeartbeatURL != "" {
		w.address = o.HeartbeatURL
	}
	if o.FenceToken < w.token {
		return 100 * time.Millisecond
	}
	w.token = o.FenceToken
	for len(w.ended) > 0 && w.ended[0][0].(int) <= o.Observed {
		w.soak.checker.endAcknowledged(w.ended[0][1].(string), w.ended[0][3].(string))
		w.ended = w.ended[1:]
	}
	if o.HoldMs > 0 {
		if lease := sent.Add(time.Duration(min(o.HoldMs, 6000)) * time.Millisecond); lease.After(w.lease) {
			w.lease = lease
		}
		for _, s := range o.Start {
			w.start(s[0].(string), int(s[1].(float64)), s[2].(string))
		}
	}
	for _, s := range o.Stop {
		if r, ok := w.running[s[0].(string)]; ok && r.attempt == int(s[1].(float64)) && r.stopDue.IsZero() {
			r.stopDue = time.Now().Add(time.Duration(w.random.Int64N(int64(maxStopDuration))))
			w.running[s[0].(string)] = r
		}
	}
	return time.Duration(max(20, o.RetryMs)) * time.Millisecond
}

// start starts an attempt, or refuses it if the task runs already, the attempt is outdated, or the worker checks its
// capacity and has too little.
func (w *siteWorker) start(name string, attempt int, spec string) {
	used := (len(w.running) + 1) * taskMilliCores
	if _, ok := w.running[name]; ok || attempt <= w.highestEnded[name] || w.capacity == nil && used > workerMilliCores {
		w.endNumber++
		w.ended = append(w.ended, []any{w.endNumber, name, attempt, "refused", ""})
		return
	}
	w.soak.checker.taskStarted(w, name, attempt, spec)
	if w.capacity != nil {
		w.soak.checker.capacityUsed(w, name, attempt, used)
	}
	w.running[name] = runningAttempt{attempt: attempt, due: time.Now().Add(time.Duration(50+w.random.IntN(400)) * time.Millisecond)}
}

// parseTaskName returns the job, step and index in the name that a task has on the wire.
func parseTaskName(name string) (job string, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, false
	}
	step, err := strconv.Atoi(parts[2])
	index, other := strconv.Atoi(parts[3])
	return parts[0], step, index, err == nil && other == nil
}

// newSiteWorker returns the next incarnation of the worker on a VM; every second one checks no capacity.
func (s *soak) newSiteWorker(vm, pool string) *siteWorker {
	s.incarnations++
	w := &siteWorker{
		soak: s, random: rand.New(rand.NewPCG(s.seed, uint64(s.incarnations))), id: fmt.Sprintf("i-%04d", s.incarnations), vm: vm, pool: pool,
		born: time.Now().UnixMilli(), running: map[string]runningAttempt{}, highestEnded: map[string]int{},
	}
	if s.incarnations%2 == 0 {
		w.capacity = newChangingCapacity(w.random)
	}
	return w
}
