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

// Size of the largest system to design for.
const (
	designVMs      = 1300
	designPools    = 265
	designTeams    = 170
	designRequests = 16384
)

// largeText returns a document of the size to design for; documents with different n differ in the size of one pool.
func largeText(n int) []byte {
	var s strings.Builder
	s.WriteString("environment = \"production\"\n")
	for i := range designPools {
		size := 5
		if i == designPools/2 {
			size += n % 100
		}
		fmt.Fprintf(&s, "[[pools]]\nname = \"pool-%d\"\nsize = %d\n", i, size)
		fmt.Fprintf(&s, "[[services]]\nname = \"service-%d\"\npool = \"pool-%d\"\navailability = 0.999\ndeadline_ms = 2000\n", i, i)
	}
	for i := range designTeams {
		fmt.Fprintf(&s, "[[teams]]\nname = \"team-%d\"\nweight = 2\nquota_cores = 640\n", i)
	}
	return []byte(s.String())
}

// largeMachine returns a machine with VMs, a document of that size and stored results for resent requests.
func largeMachine(b *testing.B, vms, requests int) *machine {
	m := newMachine()
	index := uint64(0)
	mustApply := func(c record.Command) {
		index++
		c.RequestID, c.Time = fmt.Sprintf("6f2c1d3a-0000-4000-8000-%012d", index), time.Unix(1_800_000_000+int64(index), 0).UTC()
		if r := m.Apply(index, c); r.Code != record.CodeOK {
			b.Fatal(r.Message)
		}
	}
	for i := range vms {
		mustApply(record.Command{VM: &record.VMChange{
			Step: record.VMJoin, VM: fmt.Sprint("vm-", i), Pool: fmt.Sprint("pool-", i%designPools),
			Domain: fleet.Domain{DataCentre: "dc-1", Switch: "switch-1", Rack: fmt.Sprint("rack-", i/4)}, Size: fleet.Size{Cores: 64, MemoryMB: 256_000},
		}})
	}
	for i := range requests - vms {
		mustApply(record.Command{Document: &record.DocumentChange{BaseRevision: uint64(i), Text: largeText(i)}})
	}
	return m
}

// BenchmarkSnapshot measures the memory of the state, the size of its snapshot, and the time to make and to restore it.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ vms, requests int }{{130, 1000}, {1300, 1500}, {1300, designRequests}} {
		b.Run(fmt.Sprintf("vms_%d_requests_%d", size.vms, size.requests), func(b *testing.B) {
			before := heapBytes()
			m := largeMachine(b, size.vms, size.requests)
			b.ReportMetric(float64(heapBytes()-before)/1e6, "MB_heap")
			var data []byte
			var err error
			var makeTime, restoreTime time.Duration
			for b.Loop() {
				start := time.Now()
				if data, err = m.Snapshot(); err != nil {
					b.Fatal(err)
				}
				made := time.Now()
				if err := newMachine().Restore(data); err != nil {
					b.Fatal(err)
				}
				makeTime, restoreTime = makeTime+made.Sub(start), restoreTime+time.Since(made)
			}
			b.ReportMetric(float64(len(data))/1e6, "MB_snapshot")
			b.ReportMetric(makeTime.Seconds()*1000/float64(b.N), "ms_make")
			b.ReportMetric(restoreTime.Seconds()*1000/float64(b.N), "ms_restore")
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkDocument measures a change of a large document: the size of its delta, and the time to apply and parse it.
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

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
