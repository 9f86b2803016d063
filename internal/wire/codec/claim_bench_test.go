package codec_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
)

// BenchmarkFullClaims measures the memory and the snapshot of a state that holds the maximum number of claims.
func BenchmarkFullClaims(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := state.NewMachine()
	now := time.Unix(1e9, 0).UTC()
	for i := range state.MaxClaims {
		r := claim.Request{Service: "credits", Key: fmt.Sprint(i)}
		m.Apply(uint64(i+1), record.Command{Time: now, Claim: &record.ClaimChange{
			Step: record.ClaimOpen, Key: r.Name(), Digest: r.Digest(), Entry: "entry-1", Issued: now,
			Attempt: fmt.Sprintf("5a42b632-75ff-4085-a380-498ecae43beb-%x", i),
		}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	var size int
	for range b.N {
		data, err := codec.Codec{}.EncodeState(m.State())
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/state.MaxClaims, "bytes/claim")
	b.ReportMetric(float64(size)/state.MaxClaims, "snapshot-bytes/claim")
}

// BenchmarkClaim measures how long it takes to apply one claim.
func BenchmarkClaim(b *testing.B) {
	m := state.NewMachine()
	now := time.Unix(1e9, 0).UTC()
	c := record.ClaimChange{Step: record.ClaimOpen, Digest: "d", Entry: "entry-1", Attempt: "a"}
	for i := range b.N {
		// One claim per 5 ms is 120,000 in ClaimWindow, below MaxClaims.
		now = now.Add(5 * time.Millisecond)
		c.Key, c.Issued = fmt.Sprint(i), now
		if r := m.Apply(uint64(i+1), record.Command{Time: now, Claim: &c}); r.Code != record.CodeOK {
			b.Fatal(r)
		}
	}
}
