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
	"sync/atomic"
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

// siteWorker is one incarnation of a simulated worker; only its own goroutine uses it, but for restart.
type siteWorker struct {
	soak   *soak
	random *rand.Rand
	id     string
	vm     string
	pool   string
	born   int64

	sequence int
	token    uint64
	lease    time.Time
	address  string
	running  map[string]runningAttempt
	ended    [][]any
	// endNumber is the number of the last end, and lapsedNumber that of the last one after which the lease has lapsed.
	endNumber, lapsedNumber int
	// capacity is nil if the worker refuses what doesn't fit. interval is the time between the last two heartbeats.
	capacity *changingCapacity
	interval time.Duration
	// highestEnded holds the highest attempt of each task that has ended here.
	highestEnded map[string]int
	// attemptDuration is how long each attempt takes, 0 for durations that differ, where some attempts fail.
	attemptDuration time.Duration
	// restart is set once the worker is to crash and to come back under its identity.
	restart atomic.Pointer[restart]
	// former is nil unless the worker has come back under the identity of a former life.
	former *formerIncarnation
	// leases is the number of replies with a lease that it has received, and cutUntil the time until which it is cut off.
	leases   int
	cutUntil time.Time
}

// String identifies the worker's life in the messages of the checker.
func (w *siteWorker) String() string { return fmt.Sprintf("%s (born %d)", w.id, w.born) }

// heartbeatReply is the reply to a heartbeat that was sent at a time and reported a capacity.
type heartbeatReply struct {
	// text is nil if no reply came.
	text     []byte
	sent     time.Time
	reported int
}

// valid reports whether a worker obeys the reply if it arrives now.
func (r *heartbeatReply) valid() bool {
	return r.text != nil && time.Since(r.sent) <= replyTimeout
}

const (
	// replyTimeout is how long after its heartbeat was sent a reply still counts.
	replyTimeout = time.Second
	// noReplyInterval is the time until the next heartbeat if there was no reply.
	noReplyInterval = 100 * time.Millisecond
	// endInterval is the longest time until the next heartbeat once an attempt has ended.
	endInterval = 50 * time.Millisecond
	// tickInterval is the time between two looks at what is due.
	tickInterval = 10 * time.Millisecond
)

// run sends heartbeats and follows their orders until stop closes or the worker crashes to restart. It then tells the checker
// which completed tasks the leader has not acknowledged.
func (w *siteWorker) run(stop <-chan struct{}) {
	defer w.finish()
	client := &http.Client{Timeout: replyTimeout}
	replies := make(chan heartbeatReply, 1)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// An attempt that ends while a reply is outstanding is reported soon after that reply.
	next, outstanding, ended := time.Now(), false, false
	for {
		w.obeyFormerReply()
		if !outstanding && !time.Now().Before(next) {
			outstanding, ended = true, false
			w.sendHeartbeat(client, replies)
		}
		select {
		case <-stop:
			return
		case r := <-replies:
			if w.crashesBefore(&r) {
				w.soak.provider.beginRestart(w, &r)
				return
			}
			outstanding = false
			w.interval = w.handleReply(&r)
			next = time.Now().Add(w.interval)
			if ended {
				next = time.Now().Add(min(w.interval, endInterval))
			}
		case <-ticker.C:
			if w.capacity != nil {
				w.capacity.update(w.soak.calm.Load())
			}
			if w.endDue() {
				ended = true
				next = time.Now().Add(min(time.Until(next), endInterval))
			}
		}
	}
}

// finish tells the checker that the worker's life is over.
func (w *siteWorker) finish() {
	var unacknowledged []string
	for _, e := range w.ended {
		if e[3] == "done" {
			unacknowledged = append(unacknowledged, e[1].(string))
		}
	}
	w.soak.checker.workerEnded(w)
	w.soak.checker.endsForgotten(unacknowledged...)
}

// endDue ends the attempts that are due, or all if the lease has lapsed, and returns whether it ended any.
func (w *siteWorker) endDue() bool {
	ended := false
	if time.Now().After(w.lease) {
		// An end doesn't count as acknowledged if the lease lapses before.
		w.lapsedNumber = w.endNumber
	}
	for name, r := range w.running {
		switch {
		case time.Now().After(w.lease):
			w.end(name, "lapsed")
		case !r.stopDue.IsZero() && time.Now().After(r.stopDue):
			w.end(name, "stopped")
		case !r.stopDue.IsZero():
			continue
		case time.Now().After(r.due) && w.attemptDuration == 0 && w.random.IntN(40) == 0:
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

// sendHeartbeat sends a heartbeat, whose reply arrives in replies; it is lost while the worker is cut off.
func (w *siteWorker) sendHeartbeat(client *http.Client, replies chan<- heartbeatReply) {
	w.sequence++
	r := heartbeatReply{reported: workerMilliCores, sent: time.Now()}
	if w.capacity != nil {
		r.reported = w.capacity.now()
	}
	w.soak.checker.heartbeatSent(r.reported, len(w.running)*taskMilliCores)
	if w.isCut() {
		replies <- r
		return
	}
	if w.address == "" {
		w.address = w.soak.nextProcess().control()
	}
	url, report := "http://"+w.address+"/-/instances/"+w.id+"/heartbeat", w.report(r.reported)
	go func() {
		r.text = exchange(client, url, report)
		replies <- r
	}()
}

// report returns the content of a heartbeat that reports a capacity.
func (w *siteWorker) report(capacity int) []byte {
	running := [][]any{}
	for name, r := range w.running {
		running = append(running, []any{name, r.attempt, "", w.random.IntN(100)})
	}
	report, err := json.Marshal(map[string]any{
		"service": w.pool, "address": w.id + ":1", "state": "ready", "seq": w.sequence, "born": w.born, "zone": "dc", "slots": 8,
		"clockMs": time.Now().UnixMilli() - w.born, "capacity": map[string]int{"cpu": capacity, "memMb": 4000},
		"labels": []string{"a", "r1"}, "running": running, "ended": w.ended,
	})
	if err != nil {
		panic(err)
	}
	return report
}

// exchange posts a heartbeat and returns the text of the reply, nil without any.
func exchange(client *http.Client, url string, report []byte) []byte {
	response, err := client.Post(url, "application/json", bytes.NewReader(report))
	if err != nil {
		return nil
	}
	text, err := io.ReadAll(response.Body)
	if closed := response.Body.Close(); err != nil || closed != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	return text
}

// handleReply follows the reply to this life's last heartbeat, unless it is lost or late, and returns the time until the next
// heartbeat.
func (w *siteWorker) handleReply(r *heartbeatReply) time.Duration {
	if w.former != nil && w.former.plan.loseLast && r.valid() {
		w.cutAfterLeases(w.leases + 1)
	}
	if !r.valid() || w.isCut() {
		w.address = ""
		return noReplyInterval
	}
	interval := w.handleOrders(r)
	w.cutAfterLeases(w.leases)
	return interval
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

// handleOrders follows the reply to a heartbeat, unless its fencing token is outdated. It returns the time until the next
// heartbeat.
func (w *siteWorker) handleOrders(r *heartbeatReply) time.Duration {
	var o orders
	if err := json.Unmarshal(r.text, &o); err != nil {
		return noReplyInterval
	}
	if o.HeartbeatURL != "" {
		w.address = o.HeartbeatURL
		w.soak.leaderAddress.Store(&o.HeartbeatURL)
	}
	if o.FenceToken < w.token {
		return noReplyInterval
	}
	w.token = o.FenceToken
	for len(w.ended) > 0 && w.ended[0][0].(int) <= o.Observed {
		number, name, kind := w.ended[0][0].(int), w.ended[0][1].(string), w.ended[0][3].(string)
		w.ended = w.ended[1:]
		if number > w.lapsedNumber {
			w.soak.checker.endAcknowledged(name, kind)
		} else if kind == "done" {
			w.soak.checker.endsForgotten(name)
		}
	}
	if o.HoldMs > 0 {
		w.leases++
		if lease := r.sent.Add(time.Duration(min(o.HoldMs, 6000)) * time.Millisecond); lease.After(w.lease) {
			w.lease = lease
		}
		for _, s := range o.Start {
			w.start(s[0].(string), int(s[1].(float64)), s[2].(string), r.reported)
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
// capacity and has too little. The start answers a heartbeat that reported a capacity.
func (w *siteWorker) start(name string, attempt int, spec string, reported int) {
	used := (len(w.running) + 1) * taskMilliCores
	if _, ok := w.running[name]; ok || attempt <= w.highestEnded[name] || w.capacity == nil && used > workerMilliCores {
		w.endNumber++
		w.ended = append(w.ended, []any{w.endNumber, name, attempt, "refused", ""})
		return
	}
	w.soak.checker.taskStarted(w, name, attempt, spec)
	if w.capacity != nil {
		w.soak.checker.capacityUsed(w, name, attempt, used, reported)
	}
	w.running[name] = runningAttempt{attempt: attempt, due: time.Now().Add(w.durationOf(spec))}
}

// durationOf returns how long an attempt takes.
func (w *siteWorker) durationOf(spec string) time.Duration {
	switch {
	case w.attemptDuration > 0:
		return w.attemptDuration
	case strings.HasPrefix(spec, longSpec):
		return time.Duration(2000+w.random.IntN(2000)) * time.Millisecond
	default:
		return time.Duration(50+w.random.IntN(400)) * time.Millisecond
	}
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
