package codec_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/codec"
)

// BenchmarkEncodeJobs measures what a snapshot of stored jobs of several shapes allocates while it is made, and its size.
func BenchmarkEncodeJobs(b *testing.B) {
	for _, shape := range []struct{ count, text, steps, tasks int }{
		{4000, 0, 1, 1}, {4000, 4000, 1, 1}, {4000, 0, 2, 6}, {100, 0, 1000, 1}, {100, 0, 1, 20000},
	} {
		b.Run(fmt.Sprintf("text=%d,steps=%d,tasks=%d", shape.text, shape.steps, shape.tasks), func(b *testing.B) {
			is := is.New(b)
			m := jobs.New()
			for i := range shape.count {
				j := batch.Job{ID: fmt.Sprintf("%016x", i), Queue: batch.QueueKey{Host: "h", Prefix: "/q/"}, Pool: "p", Text: strings.Repeat("x", shape.text)}
				for range shape.steps {
					j.Steps = append(j.Steps, batch.Step{Count: shape.tasks, Need: batch.Resources{CPUMilli: 1000}, EstimateMs: 1})
				}
				m.Apply(&batch.Change{NewJobs: []batch.Job{j}}, 0)
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := codec.Codec{}.EncodeState(&state.State{Batch: *m.State()})
				is.NoErr(err)
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(shape.count), "snapshot_B/job")
			b.ReportMetric(float64(shape.count), "jobs")
		})
	}
}
