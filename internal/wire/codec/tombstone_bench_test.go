package codec_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
)

// BenchmarkTombstones measures what the cancels of unknown jobs cost: the bytes of a log entry with one, and with one of a hundred,
// and per tombstone the bytes in memory and in a snapshot.
func BenchmarkTombstones(b *testing.B) {
	is := is.New(b)
	tombstone := func(i int) batch.Tombstone {
		return batch.Tombstone{JobID: fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), Account: "account-0042"}
	}
	size := func(count int) int {
		c := record.Command{Time: time.Unix(1_800_000_000, 0).UTC(), Batch: &batch.Change{Leader: batch.Leader{Name: "frontend-1", Term: 4, UptimeMs: 90_000_000}}}
		for i := range count {
			c.Batch.Tombstones = append(c.Batch.Tombstones, tombstone(i))
		}
		data, err := codec.Codec{}.EncodeCommand(c)
		is.NoErr(err)
		return len(data)
	}
	const most = 16_384
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := jobs.New()
		for i := range most {
			m.Apply(&batch.Change{Tombstones: []batch.Tombstone{tombstone(i)}}, 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		data, err := codec.Codec{}.EncodeState(&state.State{Batch: *m.State()})
		is.NoErr(err)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/most, "heap_B/tombstone")
		b.ReportMetric(float64(len(data))/most, "snapshot_B/tombstone")
		runtime.KeepAlive(m)
	}
	b.ReportMetric(float64(size(1)), "entry_B")
	b.ReportMetric(float64(size(100)-size(0))/100, "more_B/cancel")
}
