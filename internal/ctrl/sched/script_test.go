package sched_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
)

// fakeLog applies records to a book when the script says so.
type fakeLog struct {
	book    *jobs.Book
	leads   bool
	term    uint64
	held    bool
	records []func()
	reads   []func(error)
	wall    func() int64
}

func (l *fakeLog) Leads() (bool, uint64) { return l.leads, l.term }
func (l *fakeLog) Book() *jobs.Book      { return l.book }

func (l *fakeLog) ProposeNow(c record.Command, done func(error)) error {
	l.records = append(l.records, func() {
		l.book.Apply(c.Batch, l.wall())
		done(nil)
	})
	return nil
}

func (l *fakeLog) ConfirmNow(done func(error)) error {
	l.reads = append(l.reads, done)
	return nil
}

// settle commits what was proposed and confirms what was asked, until nothing is left.
func (l *fakeLog) settle() {
	for !l.held && len(l.records)+len(l.reads) > 0 {
		records, reads := l.records, l.reads
		l.records, l.reads = nil, nil
		for _, apply := range records {
			apply()
		}
		for _, confirm := range reads {
			confirm(nil)
		}
	}
}

// uptime is moved on by the script.
type uptime struct{ ms int64 }

func (u *uptime) Milliseconds() int64 { return u.ms }

// world is one scheduler with all that it works with.
type world struct {
	log      *fakeLog
	uptime   *uptime
	clock    *clock.Manual
	engine   *sched.Scheduler
	orders   []sched.Order
	replies  []string
	sequence map[string]uint64
	enough   bool
}

func newWorld() *world {
	w := &world{uptime: &uptime{ms: 100_000}, clock: clock.NewManual(time.Unix(1_000, 0)), sequence: map[string]uint64{}, enough: true}
	w.log = &fakeLog{book: jobs.New(), wall: func() int64 { return w.clock.Now().UnixMilli() }}
	w.start("leader-a")
	return w
}

// start makes a scheduler on the book as it is, for a process of the given name.
func (w *world) start(holder string) {
	w.engine = sched.New(sched.Options{
		Log: w.log, Clock: w.clock, Uptime: w.uptime, Logger: zap.NewNop(), Holder: holder, Control: holder + ":1",
		Bounds: sched.Bounds{
			LeaseMaxMs: 6000, GangMs: 3000, StopMs: 900, MoveMs: 1500, UpkeepMs: 2000, HolderMs: 3000,
			OrdersPerS: 64,
		},
		Enough: func() bool { return w.enough },
		Members: func() []batch.MemberView {
			return []batch.MemberView{{Name: holder, Role: "leader", Heard: true, CaughtUp: true}}
		},
		Orders: func(o sched.Order) bool {
			w.orders = append(w.orders, o)
			return true
		},
	})
	w.log.term++
	w.log.leads = true
	w.engine.Watch()
	w.log.settle()
}

// call makes a call and notes its reply when it comes.
func (w *world) call(name string, c *batch.Call) {
	w.engine.Call(c, func(r batch.Reply) { w.replies = append(w.replies, name+": "+describe(r)) })
	w.log.settle()
}

func describe(r batch.Reply) string {
	parts := []string{r.Code.String()}
	if r.Phase != 0 {
		parts = append(parts, r.Phase.String())
	}
	if r.Complete {
		parts = append(parts, "complete")
	}
	if len(r.Text) > 0 {
		parts = append(parts, string(r.Text))
	}
	o := r.Orders
	if o.LeaseMs > 0 {
		parts = append(parts, "lease")
	}
	if o.Acknowledged > 0 {
		parts = append(parts, fmt.Sprintf("acknowledged=%d", o.Acknowledged))
	}
	var lines []string
	for _, s := range o.Start {
		lines = append(lines, fmt.Sprintf("start %s#%d%s%s", task(s.Task), s.Attempt, mark("@", s.Checkpoint), mark("!", s.Ticket)))
	}
	for _, s := range o.Stop {
		lines = append(lines, fmt.Sprintf("stop %s#%d", task(s.Task), s.Attempt))
	}
	for _, p := range o.Pace {
		lines = append(lines, fmt.Sprintf("pace %s#%d %d%%", task(p.Task), p.Attempt, p.Percent))
	}
	slices.Sort(lines)
	return strings.Join(append(parts, lines...), "; ")
}

func mark(sign, text string) string {
	if text == "" {
		return ""
	}
	return sign + text
}

// jobID makes an identity of a short name.
func jobID(name string) string { return fmt.Sprintf("%016s", strings.Repeat("0", 16-len(name))+name) }

func task(t batch.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", strings.TrimLeft(t.Job, "0"), t.Occurrence, t.Step, t.Index)
}

// TestScripts plays the scripts under testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := newWorld()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w.replies = nil
			w.play(t, d)
			if len(w.replies) == 0 {
				return "ok\n"
			}
			return strings.Join(w.replies, "\n") + "\n"
		})
	})
}

// text returns an argument, or a default.
func text(d *datadriven.TestData, key, or string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return strings.Join(a.Vals, ",")
		}
	}
	return or
}

func number(t *testing.T, d *datadriven.TestData, key string, or int64) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text(d, key, strconv.FormatInt(or, 10)), 10, 64)
	if err != nil {
		t.Fatalf("%s: %s: %v", d.Pos, key, err)
	}
	return n
}

func (w *world) play(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	switch d.Cmd {
	case "configure":
		w.call("configure", &batch.Call{Configure: configuration(t, d)})
	case "read-configuration":
		w.call("configuration", &batch.Call{ReadConfiguration: true})
	case "submit":
		w.call("submit", &batch.Call{Submit: &batch.Submission{Host: "h", Path: "/q/" + jobID(text(d, "job", "a")), Job: job(t, d)}})
	case "cancel":
		w.call("cancel", &batch.Call{Cancel: &batch.Lookup{Host: "h", Path: "/q/" + jobID(text(d, "job", "a"))}})
	case "state":
		w.call("state", &batch.Call{State: &batch.Lookup{Host: "h", Path: "/q/" + jobID(text(d, "job", "a"))}})
	case "heartbeat":
		w.heartbeat(t, d)
	case "leave":
		w.call("leave", &batch.Call{Leave: &batch.Leaving{Worker: text(d, "worker", "w1"), Incarnation: number(t, d, "born", 0)}})
	case "wave":
		w.call("wave", &batch.Call{StartWave: &batch.Wave{
			ID: uint64(number(t, d, "id", 1)), VMs: strings.Split(text(d, "vms", ""), ","),
			DurationMs: number(t, d, "ms", 20000), MostAtOnce: int(number(t, d, "most", 1)),
		}})
	case "wave-state":
		w.call("wave", &batch.Call{WaveState: uint64(number(t, d, "id", 1))})
	case "inspect":
		w.inspect(d)
	case "hold":
		w.log.held = true
	case "commit":
		w.log.held = false
		w.log.settle()
	case "depose":
		w.log.leads, w.log.records, w.log.reads = false, nil, nil
		w.log.term++
		w.engine.Watch()
	case "lead":
		w.log.held = false
		w.start(text(d, "as", "leader-b"))
	case "advance":
		w.advance(number(t, d, "ms", 1000))
	case "orders":
		w.takeOrders()
	case "count-orders":
		w.replies = append(w.replies, fmt.Sprintf("%d under way", len(w.orders)))
	case "list-many":
		w.listMany(t, d)
	case "list":
		w.list(t, d)
	case "answer":
		w.answer(t, d)
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
}

// topics are what scripts ask about.
var topics = map[string]batch.Topic{
	"overview": batch.TopicOverview, "job": batch.TopicJob, "workers": batch.TopicWorkers, "vms": batch.TopicVMs,
}

// inspect asks what the leader knows, and shows its parts a line each.
func (w *world) inspect(d *datadriven.TestData) {
	question := &batch.Inspect{Topic: topics[text(d, "topic", "")], Job: jobID(text(d, "job", "a"))}
	w.engine.Call(&batch.Call{Inspect: question}, func(r batch.Reply) {
		if r.Inspection == nil {
			w.replies = append(w.replies, describe(r)+" "+r.Detail)
			return
		}
		if o := r.Inspection.Overview; o != nil {
			w.replies = append(w.replies, fmt.Sprintf("%+v", *o))
		}
		if j := r.Inspection.Job; j != nil {
			w.replies = append(w.replies, fmt.Sprintf("%s in %s, %s, age %d, slack %d", strings.TrimLeft(j.ID, "0"), j.Pool, j.Phase, j.AgeMs, j.SlackMs))
			for _, s := range j.Steps {
				w.replies = append(w.replies, fmt.Sprintf("%+v", s))
			}
			for _, a := range j.Runs {
				w.replies = append(w.replies, fmt.Sprintf("%s#%d on %s at %d%%", task(a.Task), a.Attempt, a.Worker, a.Percent))
			}
		}
		for _, k := range r.Inspection.Workers {
			w.replies = append(w.replies, fmt.Sprintf("%+v", k))
		}
		for _, v := range r.Inspection.VMs {
			w.replies = append(w.replies, fmt.Sprintf("%+v", v))
		}
	})
	w.log.settle()
}

// advance moves time on, with the ticks on the way.
func (w *world) advance(ms int64) {
	for ; ms > 0; ms -= sched.TickMs {
		w.uptime.ms += min(ms, sched.TickMs)
		w.clock.Advance(time.Duration(min(ms, sched.TickMs)) * time.Millisecond)
		w.engine.Tick()
		w.log.settle()
	}
}

// takeOrders shows the orders that went out, but for readings of the list, and leaves them unanswered.
func (w *world) takeOrders() {
	for _, o := range w.orders {
		switch o.Kind {
		case sched.OrderMove:
			w.replies = append(w.replies, fmt.Sprintf("move %s to %s, term %d", o.VM, o.Pool, o.Term))
		case sched.OrderMaintain:
			w.replies = append(w.replies, fmt.Sprintf("maintain %s for %d, term %d", o.VM, o.Wave, o.Term))
		case sched.OrderAdvise:
			slices.Sort(o.Workers)
			w.replies = append(w.replies, fmt.Sprintf("advise %s for %s", o.Step, strings.Join(o.Workers, ",")))
		default:
		}
	}
}

// list answers the readings of the VM list; each line names a VM, its pool and its worker, or "-".
func (w *world) list(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	r := sched.OrderResult{Code: sched.OrderDone}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(line)
		v := sched.VM{Name: f[0], Pool: f[1], State: sched.VMUp, Capacity: batch.Capacity{CPUMilli: 16000, MemoryMB: 64000}}
		if f[2] != "-" {
			v.Worker = f[2]
		}
		r.VMs = append(r.VMs, v)
	}
	r.Next = text(d, "next", "")
	w.finish(func(o sched.Order) bool { return o.Kind == sched.OrderList }, r)
}

// listMany answers the readings of the VM list with VMs of the spare pool that have no worker.
func (w *world) listMany(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	r := sched.OrderResult{Code: sched.OrderDone}
	for i := range number(t, d, "vms", 0) {
		r.VMs = append(r.VMs, sched.VM{
			Name: fmt.Sprintf("m%03d", i), Pool: "spare", State: sched.VMUp, Capacity: batch.Capacity{CPUMilli: 16000, MemoryMB: 64000},
		})
	}
	w.finish(func(o sched.Order) bool { return o.Kind == sched.OrderList }, r)
}

// answer answers the order for a VM, or about a step.
func (w *world) answer(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	r := sched.OrderResult{Code: sched.OrderDone, ValidMs: 5000, Granted: map[string]string{}}
	if text(d, "code", "") == "fenced" {
		r.Code = sched.OrderFenced
	}
	for _, g := range strings.Split(text(d, "granted", ""), ",") {
		if g != "" {
			r.Granted[g] = "ticket-" + g
		}
	}
	vm := text(d, "vm", "")
	w.finish(func(o sched.Order) bool { return o.VM == vm && o.Kind != sched.OrderList }, r)
}

func (w *world) finish(which func(sched.Order) bool, r sched.OrderResult) {
	var left, done []sched.Order
	for _, o := range w.orders {
		if which(o) {
			done = append(done, o)
		} else {
			left = append(left, o)
		}
	}
	w.orders = left
	for _, o := range done {
		o.Done(r)
		w.log.settle()
	}
}

// configuration reads the pools p and spare, with one queue at h/q/.
func configuration(t *testing.T, d *datadriven.TestData) *batch.Configuration {
	t.Helper()
	version := number(t, d, "version", 1)
	pool := text(d, "pool", "p")
	return &batch.Configuration{
		Version: uint64(version), Text: []byte("text-" + strconv.FormatInt(version, 10)),
		Queues: []batch.Queue{{
			Host: "h", Prefix: "/q/", Pool: pool, MaxAttempts: int(number(t, d, "attempts", 2)), SlackFactor: 2,
			TargetLatencyMs: 3000, TimeoutMs: number(t, d, "timeout", 3000), Advised: text(d, "advised", "") != "",
		}},
		Pools: []batch.Pool{{Name: "p", Guarded: true}, {Name: "spare", Standby: true}},
	}
}

// job reads a job: one step a line, as key=value pairs.
func job(t *testing.T, d *datadriven.TestData) batch.Job {
	t.Helper()
	j := batch.Job{Text: "text", Times: int(number(t, d, "times", 0)), FirstDueMs: number(t, d, "due", 0), IntervalMs: 1000}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		s := batch.Step{Count: 1, Need: batch.Capacity{CPUMilli: 1000, MemoryMB: 1000}, EstimateMs: 500}
		for _, pair := range strings.Fields(line) {
			key, value, _ := strings.Cut(pair, "=")
			n, _ := strconv.Atoi(value)
			switch key {
			case "count":
				s.Count = n
			case "cpu":
				s.Need.CPUMilli = int64(n)
			case "memory":
				s.Need.MemoryMB = int64(n)
			case "after":
				s.After = []int{n}
			case "gang":
				s.Gang = true
			case "lasting":
				s.LongRunning = true
			case "apart":
				s.PerWorker = n
			case "misses":
				s.AllowedMisses = n
			case "label":
				s.RequiredLabel = value
			case "speculative":
				s.Speculative = true
			case "estimate":
				s.EstimateMs = int64(n)
			case "fills":
				s.Fills = true
			case "target":
				s.TailTargetMs = int64(n)
			default:
				t.Fatalf("%s: unknown key %s", d.Pos, key)
			}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// heartbeat reads a worker's report; lines name what runs and what has ended: "running a.0.0.0#1 50" or "ended 1 a.0.0.0#1 done".
func (w *world) heartbeat(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	worker := text(d, "worker", "w1")
	w.sequence[worker]++
	h := &batch.Heartbeat{
		Worker: worker, Incarnation: number(t, d, "born", 1), Sequence: uint64(number(t, d, "seq", int64(w.sequence[worker]))),
		Pool: text(d, "pool", "p"), Address: text(d, "address", worker), Draining: text(d, "draining", "") != "",
		Capacity: batch.Capacity{CPUMilli: number(t, d, "cpu", 16000), MemoryMB: 64000}, Labels: []string{"a", text(d, "rack", "r1")},
	}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(line)
		switch {
		case len(f) == 0:
		case f[0] == "running":
			id, attempt := parseTask(t, f[1])
			r := batch.Running{Task: id, Attempt: attempt, Percent: 50}
			if len(f) > 2 {
				r.Percent, _ = strconv.Atoi(f[2])
			}
			if len(f) > 3 {
				r.Load, _ = strconv.ParseFloat(f[3], 64)
			}
			h.Running = append(h.Running, r)
		default:
			id, attempt := parseTask(t, f[2])
			n, _ := strconv.ParseUint(f[1], 10, 64)
			e := batch.Ended{Number: n, Task: id, Attempt: attempt, Kind: kind(t, f[3])}
			if len(f) > 4 {
				e.Checkpoint = f[4]
			}
			h.Ended = append(h.Ended, e)
		}
	}
	w.call(worker, &batch.Call{Heartbeat: h})
}

func kind(t *testing.T, name string) batch.EndKind {
	t.Helper()
	for k := batch.EndDone; k <= batch.EndLost; k++ {
		if k.String() == name {
			return k
		}
	}
	t.Fatalf("no end is called %s", name)
	return 0
}

func parseTask(t *testing.T, name string) (batch.TaskID, int) {
	t.Helper()
	id, attempt, _ := strings.Cut(name, "#")
	f := strings.Split(id, ".")
	if len(f) != 4 {
		t.Fatalf("%q is no task", name)
	}
	var n [4]int
	for i, text := range []string{f[1], f[2], f[3], attempt} {
		n[i], _ = strconv.Atoi(text)
	}
	return batch.TaskID{Job: jobID(f[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, n[3]
}
