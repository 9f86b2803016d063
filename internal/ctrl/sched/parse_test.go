package sched_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/model/batch"
)

// parseConfiguration returns a configuration with the pools p and spare, one that is added, and one queue at h/q/.
func parseConfiguration(t *testing.T, d *datadriven.TestData) *batch.Configuration {
	t.Helper()
	version := intArg(t, d, "version", 1)
	pool := stringArg(d, "pool", "p")
	c := &batch.Configuration{
		Version: uint64(version), Text: []byte("text-" + strconv.FormatInt(version, 10)),
		Queues: []batch.Queue{{
			Host: "h", Prefix: stringArg(d, "prefix", "/q/"), Pool: pool, MaxAttempts: int(intArg(t, d, "attempts", 2)), SlackFactor: 2,
			TargetLatencyMs: 3000, TimeoutMs: intArg(t, d, "timeout", 3000), RequiresPermit: stringArg(d, "requires_permit", "") != "",
		}},
		Pools: []batch.Pool{{Name: "p", AdmissionCheck: true}, {Name: "spare", Standby: true}},
	}
	if added := stringArg(d, "add_pool", ""); added != "" {
		c.Pools = append(c.Pools, batch.Pool{Name: added, AdmissionCheck: true})
	}
	if stringArg(d, "public_queue", "") != "" {
		c.Queues = append(c.Queues, batch.Queue{Host: "h", Prefix: "/public/", Pool: pool, MaxAttempts: 2, SlackFactor: 2, TimeoutMs: 3000, Public: true})
	}
	c.Accounts = parseAccounts(t, d)
	c.RequiresKeys = len(c.Accounts) > 0 || stringArg(d, "requires_keys", "") != ""
	return c
}

// parseAccounts reads client accounts: one per line, such as "account a keys=k1,k2 weight=2 cpu=4000".
func parseAccounts(t *testing.T, d *datadriven.TestData) []batch.Account {
	t.Helper()
	var all []batch.Account
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		a := batch.Account{Name: strings.Trim(fields[1], `"`), Weight: 1}
		for _, pair := range fields[2:] {
			key, value, _ := strings.Cut(pair, "=")
			n, _ := strconv.ParseFloat(value, 64)
			switch key {
			case "keys":
				for _, k := range strings.Split(value, ",") {
					a.Keys = append(a.Keys, batch.DigestOf(k))
				}
			case "weight":
				a.Weight = n
			case "cpu":
				a.Limit.CPUMilli = int64(n)
			case "memory":
				a.Limit.MemoryMB = int64(n)
			case "accelerators":
				a.Limit.Accelerators = int64(n)
			default:
				t.Fatalf("%s: unknown key %s", d.Pos, key)
			}
		}
		all = append(all, a)
	}
	return all
}

// parseJob reads a job: one step per line, as key=value pairs.
func parseJob(t *testing.T, d *datadriven.TestData) batch.Job {
	t.Helper()
	j := batch.Job{Text: "text", RunCount: int(intArg(t, d, "run_count", 0)), FirstDueMs: intArg(t, d, "first_due", 0), IntervalMs: 1000}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		s := batch.Step{Count: 1, Need: batch.Resources{CPUMilli: 1000, MemoryMB: 1000}, EstimateMs: 500}
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
			case "accelerators":
				s.Need.Accelerators = int64(n)
			case "after":
				s.After = []int{n}
			case "gang":
				s.Gang = true
			case "long_running":
				s.LongRunning = true
			case "max_per_worker":
				s.MaxPerWorker = n
			case "max_unavailable":
				s.MaxUnavailable = n
			case "label":
				s.RequiredLabel = value
			case "speculative":
				s.Speculative = true
			case "estimate":
				s.EstimateMs = int64(n)
			case "best_effort":
				s.BestEffort = true
			case "tail_latency_target":
				s.TailLatencyTargetMs = int64(n)
			default:
				t.Fatalf("%s: unknown key %s", d.Pos, key)
			}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func parseEndKind(t *testing.T, name string) batch.EndKind {
	t.Helper()
	for k := batch.EndDone; k <= batch.EndWorkerLost; k++ {
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
	fields := strings.Split(id, ".")
	if len(fields) != 4 {
		t.Fatalf("%q is no task", name)
	}
	var n [4]int
	for i, text := range []string{fields[1], fields[2], fields[3], attempt} {
		n[i], _ = strconv.Atoi(text)
	}
	return batch.TaskID{Job: jobID(fields[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, n[3]
}

// parseHeartbeat reads a worker's report; lines name what runs or has ended, such as "running a.0.0.0#1 50" or
// "ended 1 a.0.0.0#1 done".
func parseHeartbeat(t *testing.T, d *datadriven.TestData, worker string, sequence uint64) *batch.Heartbeat {
	t.Helper()
	report := &batch.Heartbeat{
		Worker: worker, Incarnation: intArg(t, d, "incarnation", 1), Sequence: uint64(intArg(t, d, "sequence", int64(sequence))),
		Pool: stringArg(d, "pool", "p"), Address: stringArg(d, "address", worker), Draining: stringArg(d, "draining", "") != "",
		Capacity: batch.Resources{
			CPUMilli: intArg(t, d, "cpu", 16000), MemoryMB: intArg(t, d, "memory", 64000), Accelerators: intArg(t, d, "accelerators", 0),
		},
		Labels:   []string{"a", stringArg(d, "rack", "r1")},
		MoreEnds: stringArg(d, "more_ends", "") != "",
	}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		switch {
		case len(fields) == 0:
		case fields[0] == "unread":
			report.UnreadRunning++
		case fields[0] == "unread_end":
			report.UnreadEnded++
		case fields[0] == "running":
			id, attempt := parseTask(t, fields[1])
			r := batch.Running{Task: id, Attempt: attempt, Percent: 50}
			if len(fields) > 2 {
				r.Percent, _ = strconv.Atoi(fields[2])
			}
			if len(fields) > 3 {
				r.Load, _ = strconv.ParseFloat(fields[3], 64)
			}
			report.Running = append(report.Running, r)
		default:
			id, attempt := parseTask(t, fields[2])
			n, _ := strconv.ParseUint(fields[1], 10, 64)
			end := batch.EndReport{Number: n, Task: id, Attempt: attempt, Kind: parseEndKind(t, fields[3])}
			if len(fields) > 4 {
				end.Checkpoint = fields[4]
			}
			report.Ended = append(report.Ended, end)
		}
	}
	return report
}
