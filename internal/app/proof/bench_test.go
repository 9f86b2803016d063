package proof_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/front"
)

// BenchmarkEntry compares requests through one entry with requests sent directly to its endpoint, all in one process.
func BenchmarkEntry(b *testing.B) {
	s := newSystem(1, 4)
	defer s.close()
	s.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1024}
	for _, callers := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("direct/callers=%d", callers), func(b *testing.B) {
			s.measureLoad(b, callers, func(int) *http.Request { return newRequest("GET", s.servers[0].URL+"/x") })
		})
		b.Run(fmt.Sprintf("entry/callers=%d", callers), func(b *testing.B) {
			s.measureLoad(b, callers, func(int) *http.Request { return newRequest("GET", s.entries[0].server.URL+"/"+serviceName+"/x") })
		})
		b.Run(fmt.Sprintf("claimed/callers=%d", callers), func(b *testing.B) {
			run := clock.System{}.Now().UnixNano()
			s.measureLoad(b, callers, func(n int) *http.Request {
				r := newRequest("POST", s.entries[0].server.URL+"/"+serviceName+"/x")
				r.Header.Set(front.HeaderKey, fmt.Sprint(run, "-", n))
				r.Header.Set(front.HeaderKeyIssued, strconv.FormatInt(clock.System{}.Now().UnixMilli(), 10))
				return r
			})
		})
	}
}

func newRequest(method, url string) *http.Request {
	r, err := http.NewRequest(method, url, nil)
	if err != nil {
		panic(err)
	}
	return r
}

// measureLoad sends b.N requests from concurrent callers, each one after another, and reports rate and latencies.
func (s *system) measureLoad(b *testing.B, callers int, request func(n int) *http.Request) {
	var next, refused atomic.Int64
	times := make([][]time.Duration, callers)
	var running sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for i := range callers {
		running.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				start := time.Now()
				response, err := s.client.Transport.RoundTrip(request(int(n)))
				if err != nil {
					panic(err)
				}
				if response.StatusCode != http.StatusOK {
					refused.Add(1)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				times[i] = append(times[i], time.Since(start))
			}
		})
	}
	running.Wait()
	b.StopTimer()
	sorted := slices.Concat(times...)
	slices.Sort(sorted)
	percentile := func(share float64) float64 {
		return float64(sorted[min(len(sorted)-1, int(share*float64(len(sorted))))].Microseconds())
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(refused.Load())/float64(b.N), "refused")
	b.ReportMetric(percentile(0.5), "p50-us")
	b.ReportMetric(percentile(0.99), "p99-us")
	b.ReportMetric(percentile(0.999), "p99.9-us")
}
