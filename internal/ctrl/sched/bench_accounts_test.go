package sched_test

import (
	"fmt"
	"testing"

	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

// accountCounts are the numbers of accounts that the benchmarks are run with.
var accountCounts = []int{20, 200, 2000}

// newAccountsHarness returns a scheduler with accounts that each may hold a number of cores, and jobs of theirs that wait in one
// pool with too few VMs.
func newAccountsHarness(accounts, jobs int, cores int64) *harness {
	h := newHarness()
	c := &batch.Configuration{
		Version: 1, Text: []byte("text"), RequiresKeys: true,
		Queues: []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMs: 3000, TimeoutMs: 3000}},
		Pools:  []batch.Pool{{Name: "p", AdmissionCheck: true}},
	}
	for i := range accounts {
		c.Accounts = append(c.Accounts, batch.Account{
			Name: fmt.Sprintf("account-%04d", i), Weight: 1, Limit: batch.Resources{CPUMilli: cores * 1000},
			Keys: []batch.KeyDigest{batch.DigestOf(fmt.Sprint(i)), batch.DigestOf(fmt.Sprint("second", i))},
		})
	}
	h.call("configure", &batch.Call{Configure: c})
	h.beatAccounts(1)
	for i := range jobs {
		h.submitFor(i%accounts, i)
	}
	h.advance(25)
	h.finishOrders(func(o sched.Order) bool { return o.Kind == sched.OrderList }, sched.OrderResult{Code: sched.OrderDone, VMs: []sched.VM{{
		Name: "m1", Pool: "p", State: sched.VMUp, Worker: "w1", Capacity: batch.Resources{CPUMilli: 16000, MemoryMB: 64000},
	}}})
	h.advance(225)
	return h
}

// submitFor submits a job of an account.
func (h *harness) submitFor(account, job int) {
	h.scheduler.Call(&batch.Call{Credential: batch.DigestOf(fmt.Sprint(account)), Submit: &batch.Submission{
		Host: "h", Path: fmt.Sprintf("/q/%016x", job), Job: batch.Job{
			Text: "text", Steps: []batch.Step{{Count: 8, Need: batch.Resources{CPUMilli: 2000, MemoryMB: 1000}, EstimateMs: 640}},
		},
	}}, h.uptime.ms, func(batch.Reply) {})
	h.log.commitAll()
}

// beatAccounts sends a heartbeat of the worker, which runs nothing and obeys no order.
func (h *harness) beatAccounts(sequence uint64) {
	h.scheduler.Call(&batch.Call{Heartbeat: &batch.Heartbeat{
		Worker: "w1", Incarnation: 1, Sequence: sequence, Pool: "p", Address: "w1", Labels: []string{"a", "r1"},
		Capacity: batch.Resources{CPUMilli: 16000, MemoryMB: 64000}, ClockMs: h.uptime.ms,
	}}, h.uptime.ms, func(batch.Reply) {})
	h.log.commitAll()
}

// BenchmarkAccountsSubmission measures a submission while 1,000 jobs wait for too little room.
func BenchmarkAccountsSubmission(b *testing.B) {
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			h := newAccountsHarness(accounts, 1000, 100)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h.submitFor(i%accounts, 1<<32+i)
			}
		})
	}
}

// BenchmarkAccountsAtLimit measures a heartbeat of a worker that has room, in whose pool 1,000 jobs wait, each for its account's
// limit.
func BenchmarkAccountsAtLimit(b *testing.B) {
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			h := newAccountsHarness(accounts, 1000, 1)
			b.ReportAllocs()
			for i := uint64(2); b.Loop(); i++ {
				h.beatAccounts(i)
			}
		})
	}
}

// BenchmarkAccountsPlan measures a plan of the pools while 1,000 jobs wait for too little room; one in five also sets the metrics of
// the accounts.
func BenchmarkAccountsPlan(b *testing.B) {
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			h := newAccountsHarness(accounts, 1000, 100)
			b.ReportAllocs()
			for b.Loop() {
				h.uptime.ms += 200
				h.scheduler.Tick()
				h.log.commitAll()
			}
		})
	}
}
