package sched_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

// FuzzPoolNames guards against a name in the configuration or in a worker's heartbeat that ends each leader or spoils its metrics.
func FuzzPoolNames(f *testing.F) {
	for _, name := range []string{`yard "east"`, `yard\`, "yard\neast", "\xff", "yard east"} {
		f.Add(name)
	}
	f.Fuzz(func(t *testing.T, name string) {
		is := is.New(t)
		h := newHarness()
		c := &batch.Configuration{
			Version: 1, Pools: []batch.Pool{{Name: name, AdmissionCheck: true}},
			Queues: []batch.Queue{{Host: name, Prefix: "/" + name, Pool: name, MaxAttempts: 2, TimeoutMs: 1000}},
		}
		if c.Check() != nil {
			return
		}
		h.call("configure", &batch.Call{Configure: c})
		h.call("submit", &batch.Call{Submit: &batch.Submission{
			Host: name, Path: "/" + name + jobID("a"), Job: batch.Job{Steps: []batch.Step{{Count: 1, EstimateMs: 500}}},
		}})
		// The second worker is of another writer: no pool has its name.
		for _, pool := range []string{name, name + `"`} {
			h.call("heartbeat", &batch.Call{Heartbeat: &batch.Heartbeat{
				Worker: pool, Incarnation: 1, Sequence: 1, Pool: pool, Address: pool, Labels: []string{pool, pool},
				Capacity: batch.Resources{CPUMilli: 1000, MemoryMB: 1000},
			}})
		}
		h.advance(3000)
		h.log.leads = false
		h.scheduler.HandleLogChange()
		h.start("leader-b")
		h.advance(sched.TickMs)
		var page bytes.Buffer
		metrics.WritePrometheus(&page, false)
		is.NoErr(tests.CheckMetricsPage(page.String()))
		is.True(!strings.Contains(page.String(), hist.Name("cowslip_jobs_waiting", hist.Labels{Service: name + `"`})))
		for _, metric := range []string{"cowslip_jobs_waiting", "cowslip_jobs_ordered", "cowslip_jobs_oldest_waiting_seconds"} {
			metrics.UnregisterMetric(hist.Name(metric, hist.Labels{Service: name}))
		}
	})
}
