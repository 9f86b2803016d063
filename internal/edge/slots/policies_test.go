package slots

import (
	"fmt"
	"slices"
	"time"
)

// policy is a way to share the slots; rejected policies are kept as baselines.
type policy interface {
	start(*bench)
	acquire(entry, service int) (runner int, ok bool)
	release(entry, service, runner, load int)
	onArrival(entry, service int)
	onWaiting(entry, service int)
	slots(entry, service int) int
}

// fixedSlots assigns each slot to one entry permanently.
type fixedSlots struct {
	*bench
	free [benchEntries][benchServices][benchRunners]int
	own  [benchEntries][benchServices]int
}

func (p *fixedSlots) start(b *bench) {
	p.bench = b
	for i := range benchServices * benchRunners * benchSlots {
		s, r, e := i/benchSlots/benchRunners, i/benchSlots%benchRunners, i%benchEntries
		p.free[e][s][r]++
		p.own[e][s]++
	}
}

func (p *fixedSlots) acquire(e, s int) (int, bool) {
	for _, r := range p.random.Perm(benchRunners) {
		if p.free[e][s][r] > 0 {
			p.free[e][s][r]--
			return r, true
		}
	}
	return 0, false
}

func (p *fixedSlots) release(e, s, r, _ int) { p.free[e][s][r]++ }

func (p *fixedSlots) onArrival(int, int) {}

func (p *fixedSlots) onWaiting(int, int) {}

func (p *fixedSlots) slots(e, s int) int { return p.own[e][s] }

// reportedLoad takes the less loaded of two random runners, by the loads reported with their last answers; a full
// runner declines.
type reportedLoad struct {
	*bench
	loads, own [benchEntries][benchServices][benchRunners]int
	waiting    [benchEntries][benchServices]bool
}

func (p *reportedLoad) start(b *bench) { p.bench = b }

func (p *reportedLoad) acquire(e, s int) (int, bool) {
	estimate := func(r int) int { return max(p.loads[e][s][r], p.own[e][s][r]) }
	order := p.random.Perm(benchRunners)
	if estimate(order[1]) < estimate(order[0]) {
		order[0] = order[1]
	}
	for _, r := range order {
		if estimate(r) < benchSlots {
			p.own[e][s][r]++
			return r, true
		}
	}
	return 0, false
}

func (p *reportedLoad) release(e, s, r, load int) {
	p.own[e][s][r]--
	p.loads[e][s][r] = load
	// Reported loads go stale: they decay, so that a runner that was once full is tried again.
	for i := range p.loads[e][s] {
		if i != r && p.random.IntN(4) == 0 {
			p.loads[e][s][i] = max(p.loads[e][s][i]-1, 0)
		}
	}
}

func (p *reportedLoad) onWaiting(e, s int) {
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

func (p *reportedLoad) onArrival(int, int) {}

func (p *reportedLoad) slots(int, int) int { return benchRunners * benchSlots / benchEntries }

// leasedSlots is the policy that this package implements.
type leasedSlots struct {
	*bench
	maxPerHolder int
	names        []string
	holders      [benchEntries]*Holder
	ledgers      [benchEntries]*Ledger
	shares       [benchEntries][benchServices][benchRunners]*Share
	busy         [benchEntries][benchServices]int
	offered      [benchEntries][benchServices]OfferedLoad
	pacers       [benchEntries][benchEntries]Pacer
}

func (p *leasedSlots) start(b *bench) {
	p.bench = b
	for e := range benchEntries {
		p.names = append(p.names, fmt.Sprintf("entry-%d", e))
	}
	members := Members{Version: 1, Names: p.names}
	var runners []Runner
	for s := range benchServices {
		for r := range benchRunners {
			runners = append(runners, Runner{Key: benchKey(s, r), Service: fmt.Sprint(s), Slots: benchSlots, MaxRequestTime: benchDeadline})
		}
	}
	for e, name := range p.names {
		p.holders[e] = NewHolder(name, uint64(e+1), members)
		o := Options{Self: name, Incarnation: uint64(e + 1), Peers: p.names, GrantDuration: 3 * time.Second, MaxPerHolder: p.maxPerHolder}
		p.ledgers[e] = NewLedger(o, members, b.time())
		p.ledgers[e].SetRunners(runners)
		for i, r := range runners {
			p.shares[e][i/benchRunners][i%benchRunners] = p.holders[e].Share(r.Key)
		}
		p.tick(e)
	}
}

func benchKey(s, r int) Key { return KeyOf(fmt.Sprintf("%d/runner-%d", s, r)) }

func (p *leasedSlots) tick(e int) {
	for home := range p.names {
		p.report(e, home, 0)
	}
	p.after(25*time.Millisecond, func() { p.tick(e) })
}

func (p *leasedSlots) report(e, home int, cause Cause) {
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
	pacer.ReportSent(sent, sum, len(r.Claims) > 0)
	p.messages += 2
	p.after(p.delay(), func() {
		answer, wake := p.ledgers[home].HandleReport(r, p.time())
		for _, name := range wake {
			p.messages++
			p.after(p.delay(), func() { p.report(slices.Index(p.names, name), home, CauseWoken) })
		}
		p.after(p.delay(), func() {
			again := pacer.ReportEnded()
			if p.holders[e].HandleAnswer(p.names[home], r.Number, sent, answer) {
				again = CauseFollowUp
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

func (p *leasedSlots) acquire(e, s int) (int, bool) {
	for _, r := range p.random.Perm(benchRunners) {
		if p.shares[e][s][r].TryAcquire(p.time()) {
			p.busy[e][s]++
			return r, true
		}
	}
	return 0, false
}

func (p *leasedSlots) release(e, s, r, _ int) {
	p.busy[e][s]--
	p.shares[e][s][r].Release()
}

func (p *leasedSlots) onArrival(e, s int) { p.offered[e][s].Arrive(p.time()) }

func (p *leasedSlots) onWaiting(e, _ int) {
	for home := range p.names {
		p.report(e, home, CauseWaiting)
	}
}

func (p *leasedSlots) slots(e, s int) int {
	sum := 0
	for r := range benchRunners {
		granted, _ := p.shares[e][s][r].Counts()
		sum += granted
	}
	return sum
}
