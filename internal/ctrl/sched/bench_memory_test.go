package sched_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// BenchmarkJobMemory measures the memory that stored jobs of several shapes take on a leader, beside the estimate by which jobs are
// refused, which has the part of a snapshot and of the log besides.
func BenchmarkJobMemory(b *testing.B) {
	for _, shape := range []struct{ count, text, steps, tasks int }{
		{4000, 0, 1, 1}, {4000, 4000, 1, 1}, {4000, 0, 2, 6}, {100, 0, 1000, 1}, {100, 0, 1, 20000},
	} {
		b.Run(fmt.Sprintf("text=%d,steps=%d,tasks=%d", shape.text, shape.steps, shape.tasks), func(b *testing.B) {
			job := func() batch.Job {
				j := batch.Job{Text: strings.Repeat("x", shape.text)}
				for range shape.steps {
					j.Steps = append(j.Steps, batch.Step{Count: shape.tasks, Need: batch.Resources{CPUMilli: 1000}, EstimateMs: 1})
				}
				return j
			}
			sample := job()
			for b.Loop() {
				h := newHarness()
				h.call("configure", &batch.Call{Configure: &batch.Configuration{
					Version: 1, Text: []byte("text"), Queues: []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 4, SlackFactor: 2, TimeoutMs: 3000}},
					Pools: []batch.Pool{{Name: "p", AdmissionCheck: true}},
				}})
				before := heapBytes()
				for i := range shape.count {
					submission := &batch.Submission{Host: "h", Path: fmt.Sprintf("/q/%016x", i), Job: job()}
					h.scheduler.Call(&batch.Call{Submit: submission}, h.uptime.ms, func(batch.Reply) {})
					h.log.commitAll()
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(shape.count), "heap_B/job")
				runtime.KeepAlive(h)
			}
			b.ReportMetric(float64(jobs.MemoryOf(&sample)), "estimate_B/job")
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
