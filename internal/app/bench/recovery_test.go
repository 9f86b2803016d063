package bench

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/ctrl/store"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
)

// The sizes that docs/CAPACITY.md gives figures for.
const (
	designVMs      = 1300
	designPools    = 265
	recordsPerSync = 256
)

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkRecovery measures the time to open a data folder without a snapshot and to apply all its records.
func BenchmarkRecovery(b *testing.B) {
	for _, records := range []int{1000, 8192, 65536} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			folder := filepath.Join(b.TempDir(), "one")
			writeRecords(b, folder, records)
			b.ResetTimer()
			for range b.N {
				before := heapBytes()
				start := time.Now()
				log, found, err := store.Open(folder, "one", codec.Codec{})
				if err != nil {
					b.Fatal(err)
				}
				opened := time.Since(start)
				m := state.NewMachine()
				for _, e := range found.Entries {
					if e.Kind != quorum.EntryCommand {
						continue
					}
					c, err := codec.Codec{}.DecodeCommand(e.Data)
					if err != nil {
						b.Fatal(err)
					}
					m.Apply(e.Index, c)
				}
				b.ReportMetric(float64(opened.Microseconds())/1000, "open_ms")
				b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "recovery_ms")
				b.ReportMetric((heapBytes()-before)/(1<<20), "heap_MB")
				runtime.KeepAlive(found)
				runtime.KeepAlive(m)
				if err := log.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// writeRecords fills a new data folder with records.
func writeRecords(b *testing.B, folder string, records int) {
	b.Helper()
	log, _, err := store.Open(folder, "one", codec.Codec{})
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; i < records; i += recordsPerSync {
		w := quorum.Write{}
		for j := i; j < min(i+recordsPerSync, records); j++ {
			data, err := codec.Codec{}.EncodeCommand(claim(j))
			if err != nil {
				b.Fatal(err)
			}
			w.Entries = append(w.Entries, quorum.Entry{Index: uint64(j) + 1, Term: 1, Kind: quorum.EntryCommand, Data: data})
		}
		if err := log.Save([]quorum.Write{w}); err != nil {
			b.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkSnapshot encodes, saves and restores a state of the design size that holds the results of several days of
// changes.
func BenchmarkSnapshot(b *testing.B) {
	for _, changes := range []int{4200, 16384} {
		b.Run(fmt.Sprintf("vms=%d/changes=%d", designVMs, changes), func(b *testing.B) {
			m := designState(changes)
			log, _, err := store.Open(filepath.Join(b.TempDir(), "one"), "one", codec.Codec{})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = log.Close() })
			b.ResetTimer()
			for i := range b.N {
				start := time.Now()
				data, err := codec.Codec{}.EncodeState(m.State())
				if err != nil {
					b.Fatal(err)
				}
				encoded := time.Now()
				s := quorum.Snapshot{Index: uint64(i) + 1, Term: 1, Data: data}
				if err := log.Save([]quorum.Write{{Snapshot: &s}}); err != nil {
					b.Fatal(err)
				}
				saved := time.Now()
				decoded, err := codec.Codec{}.DecodeState(data)
				if err != nil {
					b.Fatal(err)
				}
				state.NewMachine().Restore(decoded)
				b.ReportMetric(float64(encoded.Sub(start).Microseconds())/1000, "encode_ms")
				b.ReportMetric(float64(saved.Sub(encoded).Microseconds())/1000, "save_ms")
				b.ReportMetric(float64(time.Since(saved).Microseconds())/1000, "restore_ms")
				b.ReportMetric(float64(len(data))/1024, "snapshot_KB")
			}
		})
	}
}

// designState returns a state machine with designVMs VMs in designPools pools and the results of the given number of
// changes.
func designState(changes int) *state.Machine {
	m := state.NewMachine()
	index := uint64(0)
	apply := func(c record.Command) {
		index++
		m.Apply(index, c)
	}
	for i := range designVMs {
		apply(record.Command{RequestID: fmt.Sprintf("join-%d", i), VM: &record.VMChange{
			Step: record.VMJoin, VM: fmt.Sprintf("vm-%04d", i), Pool: fmt.Sprintf("pool-%03d", i%designPools), Cause: "joined",
		}})
	}
	for i := range changes {
		apply(claim(i))
	}
	return m
}

// BenchmarkIdle measures the processor time of three idle replicas in one process, without a network; one confirmation of
// the leader a second is included.
func BenchmarkIdle(b *testing.B) {
	n := startGroup(b, []string{"one", "two", "three"}, true)
	leader := n.leader(b)
	b.ResetTimer()
	before := processorTime(b)
	start := time.Now()
	for range b.N {
		if err := leader.node.Confirm(context.Background()); err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Second)
	}
	b.ReportMetric(100*(processorTime(b)-before).Seconds()/time.Since(start).Seconds(), "core_percent")
	b.ReportMetric(0, "ns/op")
}
