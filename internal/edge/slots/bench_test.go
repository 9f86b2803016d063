package slots

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipstack/internal/edge/queue"
)

// The benchmark is a discrete-event simulation of 11 entries and 5 services with 10 runners of 8 slots each. Each
// service surges in turn for 2 s, and otherwise runs at a quarter of its capacity. A message takes 1 to 2 ms one
// way.
const (
	benchEntries  = 11
	benchServices = 5
	benchRunners  = 10
	benchSlots    = 8
	benchService  = 50 * time.Millisecond
	benchDeadline = time.Second
	benchSurge    = 2 * time.Second
	benchTail     = 3 * benchService
)

var startTime = time.Unix(1_000_000, 0)

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

type bench struct {
	now      time.Duration
	events   events
	count    int
	random   *rand.Rand
	policy   policy
	queues   [benchEntries][benchServices]*queue.Queue
	load     [benchServices][benchRunners]int
	weights  []float64
	factor   float64
	inFlight [benchServices]int
	used     int
	samples  int
	good     int
	declined int
	maxLoad  int
	messages int
	waits    []time.Duration
}

func (b *bench) after(d time.Duration, run func()) {
	b.count++
	heap.Push(&b.events, event{at: b.now + d, sequence: b.count, run: run})
}

func (b *bench) time() time.Time { return startTime.Add(b.now) }

func (b *bench) delay() time.Duration {
	return time.Millisecond + time.Duration(b.random.Int64N(int64(time.Millisecond)))
}

// surging reports whether the service's surge is on. With measured, the first eighth of the surge is left out, as
// it is in the figures.
func (b *bench) surging(service int, measured bool) bool {
	sinceStart := b.now - time.Duration(service+1)*benchSurge
	return sinceStart >= 0 && sinceStart < benchSurge && (!measured || sinceStart >= benchSurge/8)
}

func (b *bench) arrive(entry, service int) {
	capacity := float64(benchRunners*benchSlots) / benchService.Seconds()
	maxRate := capacity * b.weights[entry] * max(b.factor, 0.25)
	b.after(time.Duration(b.random.ExpFloat64()/maxRate*float64(time.Second)), func() {
		b.arrive(entry, service)
		if !b.surging(service, false) && b.random.Float64() > 0.25/max(b.factor, 0.25) {
			return
		}
		b.policy.onArrival(entry, service)
		item := &queue.Item{Class: queue.ClassNormal, Arrived: b.time(), Deadline: b.time().Add(benchDeadline)}
		queueCapacity := queue.Capacity{Slots: b.policy.slots(entry, service), ServiceTime: benchService, TailLatency: benchTail}
		b.queues[entry][service].Push(item, b.time(), queueCapacity)
		b.drain(entry, service)
	})
}

func (b *bench) drain(entry, service int) {
	q := b.queues[entry][service]
	for q.Len() > 0 {
		runner, ok := b.policy.acquire(entry, service)
		if !ok {
			b.policy.onWaiting(entry, service)
			return
		}
		item, _ := q.Pop(b.time(), benchTail)
		if item == nil {
			b.policy.release(entry, service, runner, b.load[service][runner])
			return
		}
		b.send(entry, service, runner, item)
	}
}

func (b *bench) send(entry, service, runner int, item *queue.Item) {
	b.inFlight[service]++
	b.after(b.delay(), func() {
		load := &b.load[service][runner]
		if *load >= benchSlots {
			b.declined++
			b.after(b.delay(), func() {
				b.inFlight[service]--
				b.policy.release(entry, service, runner, benchSlots)
				b.queues[entry][service].Push(item, b.time(), queue.Capacity{Slots: 1})
				b.drain(entry, service)
			})
			return
		}
		*load++
		b.maxLoad = max(b.maxLoad, *load)
		duration := min(time.Duration(b.random.ExpFloat64()*float64(benchService)), 10*benchService)
		if b.surging(service, true) {
			b.waits = append(b.waits, b.time().Sub(item.Arrived))
		}
		b.after(duration, func() {
			*load--
			reported := *load
			if b.surging(service, true) && !b.time().After(item.Deadline) {
				b.good++
			}
			b.after(b.delay(), func() {
				b.inFlight[service]--
				b.policy.release(entry, service, runner, reported)
				b.drain(entry, service)
			})
		})
	})
}

func (b *bench) run() {
	for e := range benchEntries {
		for s := range benchServices {
			b.queues[e][s] = queue.New(256)
			b.arrive(e, s)
		}
	}
	b.policy.start(b)
	b.sample()
	for b.now < (benchServices+1)*benchSurge {
		next := heap.Pop(&b.events).(event)
		b.now = next.at
		next.run()
	}
}

// sample adds up the slots that the entries have taken, including the time of travel to and from the runner.
func (b *bench) sample() {
	for s, inFlight := range b.inFlight {
		if b.surging(s, true) {
			b.used += inFlight
			b.samples++
		}
	}
	b.after(time.Millisecond, b.sample)
}

// BenchmarkPolicies measures each policy at loads relative to the capacity, with the callers spread over the
// entries in different ways.
func BenchmarkPolicies(b *testing.B) {
	spreads := map[string]func(int) float64{
		"even":    func(int) float64 { return 1 },
		"uneven":  func(e int) float64 { return 1 / float64(e+1) },
		"oneonly": func(e int) float64 { return max(0.001, float64(1-e)) },
	}
	policies := map[string]func() policy{
		"fixed": func() policy { return &fixedSlots{} }, "told": func() policy { return &reportedLoad{} },
		"leased": func() policy { return &leasedSlots{maxPerHolder: benchSlots} }, "leased_most5": func() policy { return &leasedSlots{maxPerHolder: 5} },
	}
	for _, spread := range []string{"even", "uneven", "oneonly"} {
		for _, factor := range []float64{0.9, 1, 2, 5} {
			for _, policyName := range []string{"fixed", "told", "leased", "leased_most5"} {
				b.Run(fmt.Sprintf("%s/load_%.1f/%s", spread, factor, policyName), func(b *testing.B) {
					for b.Loop() {
						run := &bench{random: rand.New(rand.NewPCG(1, 2)), policy: policies[policyName](), factor: factor}
						var sum float64
						for e := range benchEntries {
							run.weights = append(run.weights, spreads[spread](e))
							sum += run.weights[e]
						}
						for e := range run.weights {
							run.weights[e] /= sum
						}
						run.run()
						run.report(b)
					}
				})
			}
		}
	}
}

func (b *bench) report(t *testing.B) {
	length := (benchSurge - benchSurge/8) * benchServices
	capacity := float64(benchRunners*benchSlots) * length.Seconds() / benchService.Seconds()
	slices.Sort(b.waits)
	t.ReportMetric(100*float64(b.used)/float64(b.samples*benchRunners*benchSlots), "slots_used_%")
	t.ReportMetric(100*float64(b.good)/capacity, "goodput_%")
	t.ReportMetric(float64(b.waits[len(b.waits)/2].Milliseconds()), "wait_p50_ms")
	t.ReportMetric(float64(b.waits[len(b.waits)*99/100].Milliseconds()), "wait_p99_ms")
	t.ReportMetric(float64(b.declined)/float64(len(b.waits)+1), "declined/req")
	t.ReportMetric(float64(b.messages)/b.now.Seconds()/benchEntries, "messages/s")
	t.ReportMetric(float64(b.maxLoad), "most_on_runner")
	t.ReportMetric(0, "ns/op")
}
