package fakes_test

import (
	"fmt"
	"testing"
	"time"
)

// surgeStrategy describes one way to serve a surge: the spare VMs that it holds for five services, when they help, and
// their cost in moves.
type surgeStrategy struct {
	name     string
	spareVMs int
	helpers  int
	// helpDelay is the time from the start of a surge until the helpers serve.
	helpDelay time.Duration
	// movesPerHelper is the number of VM moves that each helper costs in a surge.
	movesPerHelper int
}

var surgeStrategies = []surgeStrategy{
	{name: "waiting_only"},
	{name: "spare_per_service", spareVMs: 15, helpers: 3},
	{name: "shared_throttled_runners", spareVMs: 3, helpers: 3, helpDelay: time.Second},
	{name: "borrowing", helpers: 3, helpDelay: 40 * time.Second, movesPerHelper: 2},
}

const (
	modelTick     = 100 * time.Millisecond
	surgeCycle    = 50 * time.Second
	surgeDuration = 10 * time.Second
	peakLoadMilli = 12_000
	restLoadMilli = 120
	poolVMs       = 10
	cyclesPerHour = 72
)

// badTime returns the bad time of one service in an hour while some of its ten VMs are lost.
func (s surgeStrategy) badTime(lost int, deadline time.Duration) time.Duration {
	var backlog, bad int64
	ms := modelTick.Milliseconds()
	for at := time.Duration(0); at < cyclesPerHour*surgeCycle; at += modelTick {
		inCycle := at % surgeCycle
		load, capacity := int64(restLoadMilli), int64(poolVMs-lost)*1000
		if inCycle < surgeDuration {
			load = peakLoadMilli
		}
		if s.helpers > 0 && inCycle >= s.helpDelay && inCycle < s.helpDelay+surgeDuration+deadline {
			capacity += int64(s.helpers) * 1000
		}
		arrived := load * ms
		backlog = max(0, backlog+arrived-capacity*ms)
		late := max(0, backlog-capacity*deadline.Milliseconds())
		backlog -= late
		bad += ms * late / max(1, arrived)
	}
	return time.Duration(bad) * time.Millisecond
}

// BenchmarkSurgeStrategies compares the strategies for a pool of 10 VMs with a load of 12 VMs for 10 s of each 50 s.
func BenchmarkSurgeStrategies(b *testing.B) {
	for _, s := range surgeStrategies {
		for _, deadline := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
			b.Run(fmt.Sprintf("%s/deadline=%s", s.name, deadline), func(b *testing.B) {
				for range b.N {
					for _, lost := range []int{0, 2, 4} {
						b.ReportMetric(s.badTime(lost, deadline).Seconds(), fmt.Sprintf("bad_s/h_%d_lost", lost))
					}
				}
				b.ReportMetric(float64(s.spareVMs), "spare")
				b.ReportMetric(float64(s.movesPerHelper*s.helpers*cyclesPerHour*5), "moves/h")
			})
		}
	}
}
