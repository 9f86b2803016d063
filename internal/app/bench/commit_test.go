package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"cowslipstack/internal/model/record"
)

// claim returns the nth test command: a claim, the kind and size that most commands have.
func claim(n int) record.Command {
	return record.Command{
		RequestID: fmt.Sprintf("request-%08d", n),
		Time:      time.Unix(1_700_000_000, 0),
		Claim: &record.ClaimChange{
			Key: fmt.Sprintf("credits/team-7/%08d", n), Entry: "entry-1", Attempt: fmt.Sprintf("attempt-%08d", n),
			Issued: time.Unix(1_700_000_000, 0), Step: record.ClaimOpen, Digest: "0123456789abcdef0123456789abcdef",
		},
	}
}

// BenchmarkCommit measures the rate and latency of commits by three replicas on the local disk, with concurrent writers.
func BenchmarkCommit(b *testing.B) {
	for _, grouped := range []bool{true, false} {
		for _, writers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("group_commit=%t/writers=%d", grouped, writers), func(b *testing.B) {
				n := startGroup(b, []string{"one", "two", "three"}, grouped)
				leader := n.leader(b)
				times := make([]time.Duration, b.N)
				var wait sync.WaitGroup
				b.ResetTimer()
				for w := range writers {
					wait.Go(func() {
						for i := w; i < b.N; i += writers {
							start := time.Now()
							if _, err := leader.node.Submit(context.Background(), claim(i)); err != nil {
								b.Error(err)
								return
							}
							times[i] = time.Since(start)
						}
					})
				}
				wait.Wait()
				b.StopTimer()
				slices.Sort(times)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
				b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50_ms")
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99_ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkNewLeader measures the time from a network partition of the leader until a quorum confirms another leader.
func BenchmarkNewLeader(b *testing.B) {
	n := startGroup(b, []string{"one", "two", "three"}, true)
	var times []time.Duration
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		old := n.leader(b)
		b.StartTimer()
		start := time.Now()
		n.setCut(old.id, true)
		n.leader(b)
		times = append(times, time.Since(start))
		n.setCut(old.id, false)
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds()*1000, "p50_ms")
	b.ReportMetric(times[len(times)-1].Seconds()*1000, "max_ms")
	b.ReportMetric(0, "ns/op")
}
