package codec_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// The size to design for.
const (
	sizeVMs      = 1300
	sizePools    = 265
	sizeTeams    = 170
	sizeRequests = 16384
)

// largeText is a document of the size to design for; n makes one differ from the next in one pool.
func largeText(n int) []byte {
	var s strings.Builder
	s.WriteString("environment = \"production\"\n")
	for i := range sizePools {
		size := 5
		if i == sizePools/2 {
			size += n % 100
		}
		fmt.Fprintf(&s, "[[pools]]\nname = \"pool-%d\"\nsize = %d\n", i, size)
		fmt.Fprintf(&s, "[[services]]\nname = \"service-%d\"\npool = \"pool-%d\"\navailability = 0.999\ndeadline_ms = 2000\n", i, i)
	}
	for i := range sizeTeams {
		fmt.Fprintf(&s, "[[teams]]\nname = \"team-%d\"\nweight = 2\nquota_cores = 640\n", i)
	}
	return []byte(s.String())
}

// largeMachine is a machine with VMs, a document of that size and results kept for resends.
func largeMachine(b *testing.B, vms, requests int) *machine {
	m := newMachine()
	index := uint64(0)
	do := func(c record.Command) {
		index++
		c.RequestID, c.Time = fmt.Sprintf("6f2c1d3a-0000-4000-8000-%012d", index), time.Unix(1_800_000_000+int64(index), 0).UTC()
		if r := m.Apply(index, c); r.Code != record.CodeOK {
			b.Fatal(r.Message)
		}
	}
	for i := range vms {
		do(record.Command{VM: &record.VMChange{
			Step: record.VMJoin, VM: fmt.Sprint("vm-", i), Pool: fmt.Sprint("pool-", i%sizePools),
			Domain: fleet.Domain{DataCentre: "dc-1", Switch: "switch-1", Rack: fmt.Sprint("rack-", i/4)}, Size: fleet.Size{Cores: 64, MemoryMB: 256_000},
		}})
	}
	for i := range requests - vms {
		do(record.Command{Document: &record.DocumentChange{BaseRevision: uint64(i), Text: largeText(i)}})
	}
	return m
}

// BenchmarkSnapshot tells the size of the state, the time to make and to restore a snapshot of it, and its memory.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ vms, requests int }{{130, 1000}, {1300, 1500}, {1300, sizeRequests}} {
		b.Run(fmt.Sprintf("vms_%d_requests_%d", size.vms, size.requests), func(b *testing.B) {
			before := heap()
			m := largeMachine(b, size.vms, size.requests)
			b.ReportMetric(float64(heap()-before)/1e6, "MB_heap")
			var data []byte
			var err error
			var making, restoring time.Duration
			for b.Loop() {
				start := time.Now()
				if data, err = m.Snapshot(); err != nil {
					b.Fatal(err)
				}
				middle := time.Now()
				if err := newMachine().Restore(data); err != nil {
					b.Fatal(err)
				}
				making, restoring = making+middle.Sub(start), restoring+time.Since(middle)
			}
			b.ReportMetric(float64(len(data))/1e6, "MB_snapshot")
			b.ReportMetric(making.Seconds()*1000/float64(b.N), "ms_make")
			b.ReportMetric(restoring.Seconds()*1000/float64(b.N), "ms_restore")
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkDocument tells what a change of a large document costs: its delta, and the time to parse it.
func BenchmarkDocument(b *testing.B) {
	from, to := largeText(0), largeText(1)
	var d docs.Delta
	for b.Loop() {
		d = docs.MakeDelta(1, from, to)
		text, err := d.Apply(from)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := docs.Parse("document", text); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(to)), "B/document")
	b.ReportMetric(float64(len(d.Middle)), "B/delta")
}

func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
