package sched_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

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
	if r.RetryAfterMs > 0 {
		parts = append(parts, fmt.Sprintf("come back after %d ms", r.RetryAfterMs))
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
		lines = append(lines, fmt.Sprintf("start %s#%d%s%s", taskName(s.Task), s.Attempt,
			withPrefix("@", s.Checkpoint), withPrefix("!", s.Ticket)))
	}
	for _, s := range o.Stop {
		lines = append(lines, fmt.Sprintf("stop %s#%d", taskName(s.Task), s.Attempt))
	}
	for _, p := range o.Pace {
		lines = append(lines, fmt.Sprintf("pace %s#%d %d%%", taskName(p.Task), p.Attempt, p.Percent))
	}
	slices.Sort(lines)
	return strings.Join(append(parts, lines...), "; ")
}

func withPrefix(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}

// jobID pads a short name to a job identity.
func jobID(name string) string { return fmt.Sprintf("%016s", strings.Repeat("0", 16-len(name))+name) }

func taskName(t batch.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", strings.TrimLeft(t.Job, "0"), t.Occurrence, t.Step, t.Index)
}

// TestScripts runs the scripts under testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if folder := filepath.ToSlash(filepath.Dir(path)); folder == loadsFolder || folder == absencesFolder {
			return
		}
		core, logs := observer.New(zap.InfoLevel)
		h := newLoggedHarness(zap.New(core))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			h.replies = nil
			if d.Cmd == "logged" {
				return describeLogged(logs.FilterMessage(stringArg(d, "event", "")).All())
			}
			h.runCommand(t, d)
			if len(h.replies) == 0 {
				return "ok\n"
			}
			return strings.Join(h.replies, "\n") + "\n"
		})
	})
}

// describeLogged prints the last line of the log among entries, without what each line of the scheduler has.
func describeLogged(entries []observer.LoggedEntry) string {
	if len(entries) == 0 {
		return "nothing\n"
	}
	fields := entries[len(entries)-1].ContextMap()
	delete(fields, "term")
	return fmt.Sprintln(fields)
}

// stringArg returns an argument of the command, or fallback without it.
func stringArg(d *datadriven.TestData, key, fallback string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return strings.Join(a.Vals, ",")
		}
	}
	return fallback
}

func intArg(t *testing.T, d *datadriven.TestData, key string, fallback int64) int64 {
	t.Helper()
	n, err := strconv.ParseInt(stringArg(d, key, strconv.FormatInt(fallback, 10)), 10, 64)
	if err != nil {
		t.Fatalf("%s: %s: %v", d.Pos, key, err)
	}
	return n
}

func (h *harness) runCommand(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	switch d.Cmd {
	case "configure":
		h.call("configure", &batch.Call{Configure: parseConfiguration(t, d)})
	case "read-access":
		h.readAccess(t, d)
	case "read-configuration":
		h.call("configuration", &batch.Call{ReadConfiguration: true})
	case "submit":
		h.call("submit", &batch.Call{Credential: credential(d), Submit: &batch.Submission{Host: "h", Path: jobPath(d), Job: parseJob(t, d)}})
	case "cancel":
		h.call("cancel", &batch.Call{
			Credential: credential(d), Operator: stringArg(d, "operator", "") != "", Cancel: &batch.RequestTarget{Host: "h", Path: jobPath(d)},
		})
	case "cancel-many":
		h.cancelMany(t, d)
	case "state":
		h.call("state", &batch.Call{Credential: credential(d), JobState: &batch.RequestTarget{Host: "h", Path: jobPath(d)}})
	case "queue-delay":
		h.queuedMs = intArg(t, d, "ms", 0)
	case "count-waiting":
		h.countWaiting(d)
	case "heartbeat":
		h.sendHeartbeat(t, d)
	case "leave":
		h.call("leave", &batch.Call{Deregister: &batch.Deregistration{Worker: stringArg(d, "worker", "w1"), Incarnation: intArg(t, d, "incarnation", 0)}})
	case "wave":
		vms := strings.FieldsFunc(stringArg(d, "vms", ""), func(r rune) bool { return r == ',' })
		for i := range intArg(t, d, "unknown_vms", 0) {
			vms = append(vms, fmt.Sprint("unknown-", i))
		}
		h.call("wave", &batch.Call{StartWave: &batch.Wave{
			ID: uint64(intArg(t, d, "id", 1)), VMs: vms,
			DurationMs: intArg(t, d, "ms", 20000), MaxConcurrent: int(intArg(t, d, "max_concurrent", 1)),
		}})
	case "wave-state":
		h.call("wave", &batch.Call{WaveState: uint64(intArg(t, d, "id", 1))})
	case "inspect":
		h.inspect(d)
	case "pause":
		h.log.paused = true
	case "commit":
		h.log.paused = false
		h.log.commitAll()
	case "refuse-records", "take-records":
		h.log.busy = d.Cmd == "refuse-records"
	case "commit-records":
		h.log.commitRecords()
	case "answer-confirmations":
		h.log.answerConfirmations()
	case "fail-confirmations":
		h.log.failConfirmations()
	case "lose-log":
		// The scheduler hasn't heard of it yet.
		h.log.leads = false
	case "lose-leadership":
		h.log.leads, h.log.proposals, h.log.confirmations = false, nil, nil
		h.log.term++
		h.scheduler.HandleLogChange()
	case "job-memory":
		h.jobMemoryBytes = intArg(t, d, "bytes", 0)
	case "report-memory":
		h.reportMemoryBytes = intArg(t, d, "bytes", 0)
	case "restore":
		restored := jobs.New()
		restored.Restore(*h.log.batch.State())
		h.log.batch = restored
	case "lead":
		h.log.paused = false
		h.start(stringArg(d, "as", "leader-b"))
	case "lead-again":
		h.log.paused, h.log.leads = false, true
		h.log.term++
		h.scheduler.HandleLogChange()
		h.log.commitAll()
	case "advance":
		h.advance(intArg(t, d, "ms", 1000))
	case "orders":
		h.printOrders()
	case "count-orders":
		h.replies = append(h.replies, fmt.Sprintf("%d under way", len(h.orders)))
	case "answer-list-many":
		h.answerListsWithMany(t, d)
	case "answer-list":
		h.answerLists(t, d)
	case "answer-order":
		h.answerOrder(t, d)
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
}

// readAccess asks for the access table.
func (h *harness) readAccess(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	known := uint64(intArg(t, d, "known", 0))
	h.scheduler.Call(&batch.Call{ReadAccess: &batch.AccessRequest{KnownVersion: known}}, h.uptime.ms, func(r batch.Reply) {
		if r.Access == nil {
			h.replies = append(h.replies, describe(r))
			return
		}
		h.replies = append(h.replies, fmt.Sprintf("version %d, requires keys %t, %d keys, public %v, unchanged %t",
			r.Access.Version, r.Access.RequiresKeys, len(r.Access.Keys), r.Access.Public, r.Access.Unchanged))
	})
	h.log.commitAll()
}

// credential returns the digest of the key that a command presents.
func credential(d *datadriven.TestData) batch.KeyDigest {
	return batch.DigestOf(stringArg(d, "key", ""))
}

// jobPath returns the path of the job that a command names.
func jobPath(d *datadriven.TestData) string {
	return stringArg(d, "queue", "/q/") + jobID(stringArg(d, "job", "a"))
}

// countWaiting asks how many jobs of the queue wait.
func (h *harness) countWaiting(d *datadriven.TestData) {
	c := &batch.Call{Credential: credential(d), Pending: &batch.RequestTarget{Host: "h", Path: stringArg(d, "queue", "/q/")}}
	h.scheduler.Call(c, h.uptime.ms-h.queuedMs, func(r batch.Reply) {
		h.replies = append(h.replies, fmt.Sprintf("%s; %d jobs wait", r.Code, r.Pending))
	})
	h.log.commitAll()
}

// topics maps the topic argument of the inspect command.
var topics = map[string]batch.Topic{
	"overview": batch.TopicOverview, "job": batch.TopicJob, "workers": batch.TopicWorkers, "vms": batch.TopicVMs,
	"accounts": batch.TopicAccounts,
}

// inspect queries the scheduler and prints each part of the answer on its own line.
func (h *harness) inspect(d *datadriven.TestData) {
	query := &batch.InspectRequest{Topic: topics[stringArg(d, "topic", "")], Job: jobID(stringArg(d, "job", "a"))}
	h.scheduler.Call(&batch.Call{Inspect: query}, h.uptime.ms, func(r batch.Reply) {
		if r.Inspection == nil {
			h.replies = append(h.replies, describe(r)+" "+r.Detail)
			return
		}
		if o := r.Inspection.Overview; o != nil {
			h.replies = append(h.replies, fmt.Sprintf("%+v", *o))
		}
		if j := r.Inspection.Job; j != nil {
			h.replies = append(h.replies, fmt.Sprintf("%s in %s, %s, age %d, slack %d",
				strings.TrimLeft(j.ID, "0"), j.Pool, j.Phase, j.AgeMs, j.SlackMs))
			for _, s := range j.Steps {
				h.replies = append(h.replies, fmt.Sprintf("%+v", s))
			}
			for _, a := range j.Attempts {
				h.replies = append(h.replies, fmt.Sprintf("%s#%d on %s at %d%%", taskName(a.Task), a.Attempt, a.Worker, a.Percent))
			}
		}
		for _, worker := range r.Inspection.Workers {
			h.replies = append(h.replies, fmt.Sprintf("%+v", worker))
		}
		for _, a := range r.Inspection.Accounts {
			h.replies = append(h.replies, fmt.Sprintf("%+v", a))
		}
		for _, v := range r.Inspection.VMs {
			h.replies = append(h.replies, fmt.Sprintf("%+v", v))
		}
	})
	h.log.commitAll()
}

// advance moves both clocks forward and ticks the scheduler on the way.
func (h *harness) advance(ms int64) {
	for ; ms > 0; ms -= sched.TickMs {
		h.uptime.ms += min(ms, sched.TickMs)
		h.clock.Advance(time.Duration(min(ms, sched.TickMs)) * time.Millisecond)
		h.scheduler.Tick()
		h.log.commitAll()
	}
}

// printOrders prints the outstanding orders except reads of the VM list, and leaves them unanswered.
func (h *harness) printOrders() {
	for _, o := range h.orders {
		switch o.Kind {
		case sched.OrderMove:
			h.replies = append(h.replies, fmt.Sprintf("move %s to %s, term %d", o.VM, o.Pool, o.Term))
		case sched.OrderMaintain:
			h.replies = append(h.replies, fmt.Sprintf("maintain %s for %d, term %d", o.VM, o.Wave, o.Term))
		case sched.OrderAdvise:
			slices.Sort(o.Workers)
			h.replies = append(h.replies, fmt.Sprintf("advise %s for %s", o.Step, strings.Join(o.Workers, ",")))
		default:
		}
	}
}

// answerOrder answers the outstanding order for a VM, or the outstanding request for permits.
func (h *harness) answerOrder(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	r := sched.OrderResult{Code: orderCode(t, d), ValidMs: 5000, Tickets: map[string]string{}}
	for _, g := range strings.Split(stringArg(d, "granted", ""), ",") {
		if g != "" {
			r.Tickets[g] = "ticket-" + g
		}
	}
	vm := stringArg(d, "vm", "")
	h.finishOrders(func(o sched.Order) bool { return o.VM == vm && o.Kind != sched.OrderList }, r)
}

func (h *harness) finishOrders(matches func(sched.Order) bool, r sched.OrderResult) {
	var remaining, done []sched.Order
	for _, o := range h.orders {
		if matches(o) {
			done = append(done, o)
		} else {
			remaining = append(remaining, o)
		}
	}
	h.orders = remaining
	for _, o := range done {
		o.Done(r)
		h.log.commitAll()
	}
}

// sendHeartbeat sends a worker's report.
func (h *harness) sendHeartbeat(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	worker := stringArg(d, "worker", "w1")
	h.sequence[worker]++
	report := parseHeartbeat(t, d, worker, h.sequence[worker])
	report.ClockMs = intArg(t, d, "clock", h.uptime.ms)
	h.call(worker, &batch.Call{Heartbeat: report})
}
