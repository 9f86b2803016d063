package fakes_test

import (
	"fmt"
	"testing"
	"time"
)

// way is one way to carry a surge: how many VMs it holds for five services, when they help, and what they cost in moves.
type way struct {
	name    string
	held    int
	helpers int
	// after is the time from the start of a surge to when the helpers serve.
	after time.Duration
	// moves is how many moves each helper costs in a surge.
	moves int
}

var ways = []way{
	{name: "waiting_only"},
	{name: "spare_per_service", held: 15, helpers: 3},
	{name: "shared_throttled_runners", held: 3, helpers: 3, after: time.Second},
	{name: "borrowing", helpers: 3, after: 40 * time.Second, moves: 2},
}

const (
	wayTick   = 100 * time.Millisecond
	wayCycle  = 50 * time.Second
	waySurge  = 10 * time.Second
	wayPeak   = 12_000
	wayRest   = 120
	wayVMs    = 10
	wayCycles = 72
)

// badTime returns the bad time of one service in an hour, with some of its ten VMs lost.
func (w way) badTime(lost int, deadline time.Duration) time.Duration {
	var backlog, bad int64
	ms := wayTick.Milliseconds()
	for at := time.Duration(0); at < wayCycles*wayCycle; at += wayTick {
		inCycle := at % wayCycle
		load, capacity := int64(wayRest), int64(wayVMs-lost)*1000
		if inCycle < waySurge {
			load = wayPeak
		}
		if w.helpers > 0 && inCycle >= w.after && inCycle < w.after+waySurge+deadline {
			capacity += int64(w.helpers) * 1000
		}
		arrived := load * ms
		backlog = max(0, backlog+arrived-capacity*ms)
		late := max(0, backlog-capacity*deadline.Milliseconds())
		backlog -= late
		bad += ms * late / max(1, arrived)
	}
	return time.Duration(bad) * time.Millisecond
}

// BenchmarkWays compares the ways to carry a surge to 12 VMs' load for 10 s in each 50 s, on a pool of 10.
func BenchmarkWays(b *testing.B) {
	for _, w := range ways {
		for _, deadline := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
			b.Run(fmt.Sprintf("%s/deadline=%s", w.name, deadline), func(b *testing.B) {
				for range b.N {
					for _, lost := range []int{0, 2, 4} {
						b.ReportMetric(w.badTime(lost, deadline).Seconds(), fmt.Sprintf("bad_s/h_%d_lost", lost))
					}
				}
				b.ReportMetric(float64(w.held), "spare")
				b.ReportMetric(float64(w.moves*w.helpers*wayCycles*5), "moves/h")
			})
		}
	}
}
