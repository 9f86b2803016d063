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

// The benchmark runs 11 entries, 5 services of 10 runners of 8 slots each, on events over plain data: each
// service surges in turn for 2 s and stands at a quarter of its capacity else. One way is 1 to 2 ms.
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

var zero = time.Unix(1_000_000, 0)

// policy is a way to share the slots; the ways that lost are kept here as baselines.
type policy interface {
	start(*bench)
	acquire(entry, service int) (runner int, ok bool)
	release(entry, service, runner, load int)
	arrived(entry, service int)
	hungry(entry, service int)
	slots(entry, service int) int
}

type event struct {
	at  time.Duration
	no  int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].no < e[j].no
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
	most     int
	messages int
	waits    []time.Duration
}

func (b *bench) after(d time.Duration, run func()) {
	b.count++
	heap.Push(&b.events, event{at: b.now + d, no: b.count, run: run})
}

func (b *bench) time() time.Time { return zero.Add(b.now) }

func (b *bench) delay() time.Duration {
	return time.Millisecond + time.Duration(b.random.Int64N(int64(time.Millisecond)))
}

// surging says whether the service's surge is on; the first half second of each is left out of the figures with measured.
func (b *bench) surging(service int, measured bool) bool {
	into := b.now - time.Duration(service+1)*benchSurge
	return into >= 0 && into < benchSurge && (!measured || into >= benchSurge/8)
}

func (b *bench) arrive(entry, service int) {
	capacity := float64(benchRunners*benchSlots) / benchService.Seconds()
	most := capacity * b.weights[entry] * max(b.factor, 0.25)
	b.after(time.Duration(b.random.ExpFloat64()/most*float64(time.Second)), func() {
		b.arrive(entry, service)
		if !b.surging(service, false) && b.random.Float64() > 0.25/max(b.factor, 0.25) {
			return
		}
		b.policy.arrived(entry, service)
		item := &queue.Item{Class: queue.ClassNormal, Arrived: b.time(), Deadline: b.time().Add(benchDeadline)}
		pace := queue.Capacity{Slots: b.policy.slots(entry, service), ServiceTime: benchService, TailLatency: benchTail}
		b.queues[entry][service].Push(item, b.time(), pace)
		b.drain(entry, service)
	})
}

func (b *bench) drain(entry, service int) {
	q := b.queues[entry][service]
	for q.Len() > 0 {
		runner, ok := b.policy.acquire(entry, service)
		if !ok {
			b.policy.hungry(entry, service)
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
		b.most = max(b.most, *load)
		took := min(time.Duration(b.random.ExpFloat64()*float64(benchService)), 10*benchService)
		if b.surging(service, true) {
			b.waits = append(b.waits, b.time().Sub(item.Arrived))
		}
		b.after(took, func() {
			*load--
			told := *load
			if b.surging(service, true) && !b.time().After(item.Deadline) {
				b.good++
			}
			b.after(b.delay(), func() {
				b.inFlight[service]--
				b.policy.release(entry, service, runner, told)
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

// sample adds up the slots that the entries have taken, travel to and from the runner included.
func (b *bench) sample() {
	for s, inFlight := range b.inFlight {
		if b.surging(s, true) {
			b.used += inFlight
			b.samples++
		}
	}
	b.after(time.Millisecond, b.sample)
}

// fixed gives each slot to one entry for good.
type fixed struct {
	*bench
	free [benchEntries][benchServices][benchRunners]int
	own  [benchEntries][benchServices]int
}

func (p *fixed) start(b *bench) {
	p.bench = b
	for i := range benchServices * benchRunners * benchSlots {
		s, r, e := i/benchSlots/benchRunners, i/benchSlots%benchRunners, i%benchEntries
		p.free[e][s][r]++
		p.own[e][s]++
	}
}

func (p *fixed) acquire(e, s int) (int, bool) {
	for _, r := range p.random.Perm(benchRunners) {
		if p.free[e][s][r] > 0 {
			p.free[e][s][r]--
			return r, true
		}
	}
	return 0, false
}
func (p *fixed) release(e, s, r, _ int) { p.free[e][s][r]++ }
func (p *fixed) arrived(int, int)       {}
func (p *fixed) hungry(int, int)        {}
func (p *fixed) slots(e, s int) int     { return p.own[e][s] }

// told takes the less loaded of two by what the runners told with their last answers; a runner that is full declines.
type told struct {
	*bench
	loads, own [benchEntries][benchServices][benchRunners]int
	waiting    [benchEntries][benchServices]bool
}

func (p *told) start(b *bench) { p.bench = b }

func (p *told) acquire(e, s int) (int, bool) {
	guess := func(r int) int { return max(p.loads[e][s][r], p.own[e][s][r]) }
	order := p.random.Perm(benchRunners)
	if guess(order[1]) < guess(order[0]) {
		order[0] = order[1]
	}
	for _, r := range order {
		if guess(r) < benchSlots {
			p.own[e][s][r]++
			return r, true
		}
	}
	return 0, false
}

func (p *told) release(e, s, r, load int) {
	p.own[e][s][r]--
	p.loads[e][s][r] = load
	// What was told last is no news for long: it fades, so that a runner once full is tried again.
	for i := range p.loads[e][s] {
		if i != r && p.random.IntN(4) == 0 {
			p.loads[e][s][i] = max(p.loads[e][s][i]-1, 0)
		}
	}
}

func (p *told) hungry(e, s int) {
	if p.waiting[e][s] {
		return
	}
	p.waiting[e][s] = true
	p.after(5*time.Millisecond, func() {
		p.waiting[e][s] = false
		for i := range p.loads[e][s] {
			p.loads[e][s][i] = max(p.loads[e][s][i]-1, 0)
		}
		p.drain(e, s)
	})
}
func (p *told) arrived(int, int)   {}
func (p *told) slots(int, int) int { return benchRunners * benchSlots / benchEntries }

// leased is what the program does.
type leased struct {
	*bench
	most    int
	names   []string
	holders [benchEntries]*Holder
	ledgers [benchEntries]*Ledger
	shares  [benchEntries][benchServices][benchRunners]*Share
	busy    [benchEntries][benchServices]int
	offered [benchEntries][benchServices]Offered
	pacers  [benchEntries][benchEntries]Pacer
}

func (p *leased) start(b *bench) {
	p.bench = b
	for e := range benchEntries {
		p.names = append(p.names, fmt.Sprintf("entry-%d", e))
	}
	members := Members{Version: 1, Names: p.names}
	var runners []Runner
	for s := range benchServices {
		for r := range benchRunners {
			runners = append(runners, Runner{Key: benchKey(s, r), Service: fmt.Sprint(s), Slots: benchSlots, Hold: benchDeadline})
		}
	}
	for e, name := range p.names {
		p.holders[e] = NewHolder(name, uint64(e+1), members)
		o := Options{Self: name, Incarnation: uint64(e + 1), Peers: p.names, Valid: 3 * time.Second, PerHolder: p.most}
		p.ledgers[e] = NewLedger(o, members, b.time())
		p.ledgers[e].SetRunners(runners)
		for i, r := range runners {
			p.shares[e][i/benchRunners][i%benchRunners] = p.holders[e].Share(r.Key)
		}
		p.tick(e)
	}
}

func benchKey(s, r int) Key { return KeyOf(fmt.Sprintf("%d/runner-%d", s, r)) }

func (p *leased) tick(e int) {
	for home := range p.names {
		p.report(e, home, 0)
	}
	p.after(25*time.Millisecond, func() { p.tick(e) })
}

func (p *leased) report(e, home int, cause Cause) {
	var demands []Demand
	sum := 0
	for s := range benchServices {
		count := p.offered[e][s].Demand(p.time(), benchService, p.busy[e][s], p.queues[e][s].Len())
		demands = append(demands, Demand{Service: fmt.Sprint(s), Count: count})
		sum += count
	}
	pacer := &p.pacers[e][home]
	if !pacer.Due(p.time(), cause, sum) {
		return
	}
	sent, r := p.time(), p.holders[e].Report(p.names[home], demands)
	pacer.Reported(sent, sum, len(r.Claims) > 0)
	p.messages += 2
	p.after(p.delay(), func() {
		answer, wake := p.ledgers[home].Take(r, p.time())
		for _, name := range wake {
			p.messages++
			p.after(p.delay(), func() { p.report(slices.Index(p.names, name), home, CauseWoken) })
		}
		p.after(p.delay(), func() {
			again := pacer.Ended()
			if p.holders[e].Accept(p.names[home], r.Number, sent, answer) {
				again = CauseFollow
			}
			if again != 0 {
				p.report(e, home, again)
			}
			for s := range benchServices {
				p.drain(e, s)
			}
		})
	})
}

func (p *leased) acquire(e, s int) (int, bool) {
	for _, r := range p.random.Perm(benchRunners) {
		if p.shares[e][s][r].TryAcquire(p.time()) {
			p.busy[e][s]++
			return r, true
		}
	}
	return 0, false
}

func (p *leased) release(e, s, r, _ int) {
	p.busy[e][s]--
	p.shares[e][s][r].Release()
}

func (p *leased) arrived(e, s int) { p.offered[e][s].Arrive(p.time()) }

func (p *leased) hungry(e, _ int) {
	for home := range p.names {
		p.report(e, home, CauseHungry)
	}
}

func (p *leased) slots(e, s int) int {
	sum := 0
	for r := range benchRunners {
		granted, _ := p.shares[e][s][r].Counts()
		sum += granted
	}
	return sum
}

// BenchmarkPolicies measures each way to share slots, at loads relative to the capacity, with callers spread over the entries.
func BenchmarkPolicies(b *testing.B) {
	spreads := map[string]func(int) float64{
		"even":    func(int) float64 { return 1 },
		"uneven":  func(e int) float64 { return 1 / float64(e+1) },
		"oneonly": func(e int) float64 { return max(0.001, float64(1-e)) },
	}
	ways := map[string]func() policy{
		"fixed": func() policy { return &fixed{} }, "told": func() policy { return &told{} },
		"leased": func() policy { return &leased{most: benchSlots} }, "leased_most5": func() policy { return &leased{most: 5} },
	}
	for _, spread := range []string{"even", "uneven", "oneonly"} {
		for _, factor := range []float64{0.9, 1, 2, 5} {
			for _, way := range []string{"fixed", "told", "leased", "leased_most5"} {
				b.Run(fmt.Sprintf("%s/load_%.1f/%s", spread, factor, way), func(b *testing.B) {
					for b.Loop() {
						run := &bench{random: rand.New(rand.NewPCG(1, 2)), policy: ways[way](), factor: factor}
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
	t.ReportMetric(float64(b.most), "most_on_runner")
	t.ReportMetric(0, "ns/op")
}
