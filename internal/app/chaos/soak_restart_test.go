package chaos_test

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// latestDelivery is how long after a former life's heartbeat its reply is delivered at the latest, so that it still counts.
const latestDelivery = replyTimeout - 100*time.Millisecond

// restart is a crash of a worker, just before a reply reaches it, after which it comes back under its old identity. The reply
// then reaches the new life.
type restart struct {
	// onStart is set if the reply has to order a start.
	onStart bool
	// downtime is the time between the two lives.
	downtime time.Duration
	// deliverAfter is the number of its own leases after which the reply reaches the new life; if deliverAtEnd is set, it does
	// once an attempt has ended there.
	deliverAfter int
	deliverAtEnd bool
	// cutAfter is the number of its own leases after which the new life is cut off for a while, 0 for never. The last of them is
	// lost in the cut if loseLast is set.
	cutAfter int
	cut      time.Duration
	loseLast bool
}

// maxDeliverAfter bounds the leases that a new life has before the reply to its former life comes: later it mostly counts no more.
const maxDeliverAfter = 4

// newRestart returns a random restart; three in four end in a cut soon after.
func newRestart(random *rand.Rand) *restart {
	plan := &restart{
		onStart: random.IntN(4) > 0, downtime: time.Duration(300+random.IntN(300)) * time.Millisecond, deliverAfter: random.IntN(maxDeliverAfter + 1),
	}
	if random.IntN(4) > 0 {
		plan.cutAfter = 1 + plan.deliverAfter + random.IntN(3)
		plan.cut = time.Duration(1000+random.IntN(5000)) * time.Millisecond
		plan.loseLast = random.IntN(2) == 0
	}
	return plan
}

// injectRestarts has random workers crash and come back under their identities until the faults end.
func (s *soak) injectRestarts() {
	random := rand.New(rand.NewPCG(s.seed, 3))
	for time.Now().Before(s.faultsUntil) {
		time.Sleep(time.Duration(400+random.IntN(1000)) * time.Millisecond)
		plan, names := newRestart(random), s.provider.runningVMs()
		if len(names) > 0 {
			s.provider.armRestart(names[random.IntN(len(names))], plan)
		}
	}
}

// formerIncarnation is what a worker's former life left to the new one.
type formerIncarnation struct {
	plan *restart
	// reply is the reply that was on its way, nil once it has been delivered.
	reply *heartbeatReply
	// wasCut is set once the new life was cut off.
	wasCut bool
}

// crashesBefore reports whether the worker crashes while a reply is on its way to it.
func (w *siteWorker) crashesBefore(r *heartbeatReply) bool {
	plan := w.restart.Load()
	if plan == nil || !r.valid() || w.isCut() || w.soak.calm.Load() {
		return false
	}
	var o orders
	err := json.Unmarshal(r.text, &o)
	return err == nil && o.HoldMs > 0 && (!plan.onStart || len(o.Start) > 0)
}

// beginRestart ends a worker's life, and begins the next one under its identity after a while, to which a reply is on its
// way.
func (p *provider) beginRestart(w *siteWorker, r *heartbeatReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.vms[w.vm]
	if v.worker != w {
		return
	}
	v.worker, v.former = nil, w
	time.AfterFunc(w.restart.Load().downtime, func() { p.finishRestart(w, r) })
}

// finishRestart starts a worker again under its identity, unless its VM was moved or another one has started there.
func (p *provider) finishRestart(former *siteWorker, r *heartbeatReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.vms[former.vm]
	if v.former != former || p.closed {
		return
	}
	w := p.soak.newSiteWorker(former.vm, former.pool)
	w.id, w.born = former.id, max(w.born, former.born+1)
	w.capacity, w.attemptDuration = nil, former.attemptDuration
	if former.capacity != nil {
		w.capacity = newChangingCapacity(w.random)
	}
	w.former = &formerIncarnation{plan: former.restart.Load(), reply: r}
	p.soak.checker.count("restarted", 1)
	p.soak.t.Logf("%s %v is back, %+v", time.Now().Format("15:04:05.000"), w, *w.former.plan)
	p.runWorker(v, w)
}

// obeyFormerReply obeys the reply to the former life's last heartbeat when it is delivered, if it still counts then.
func (w *siteWorker) obeyFormerReply() {
	if w.former == nil || w.former.reply == nil || !w.formerReplyArrives() {
		return
	}
	r := w.former.reply
	w.former.reply = nil
	if !r.valid() || w.isCut() {
		w.soak.checker.count("stale_dropped", 1)
		return
	}
	var o orders
	if err := json.Unmarshal(r.text, &o); err != nil {
		panic(err)
	}
	w.soak.checker.count("stale_obeyed", 1)
	w.soak.checker.count("stale_orders", len(o.Start))
	leases := w.leases
	w.handleOrders(r)
	w.leases = leases
}

// formerReplyArrives reports whether the reply to the former life's last heartbeat arrives now.
func (w *siteWorker) formerReplyArrives() bool {
	plan := w.former.plan
	switch {
	case time.Since(w.former.reply.sent) >= latestDelivery:
		return true
	case plan.deliverAtEnd:
		return len(w.ended) > 0
	default:
		return w.leases >= plan.deliverAfter
	}
}

// cutAfterLeases cuts the worker off if its former life's plan does so after a number of leases.
func (w *siteWorker) cutAfterLeases(leases int) {
	if w.former == nil || w.former.wasCut || w.former.plan.cutAfter == 0 || leases < w.former.plan.cutAfter {
		return
	}
	// What arrives together with the last reply still counts.
	w.obeyFormerReply()
	w.former.wasCut = true
	w.cutUntil = time.Now().Add(w.former.plan.cut)
	w.soak.checker.count("worker_cuts", 1)
	w.soak.t.Logf("%s %v is cut off for %v, it runs %d", time.Now().Format("15:04:05.000"), w, w.former.plan.cut, len(w.running))
}

// isCut reports whether nothing passes between the worker and the system, in either direction.
func (w *siteWorker) isCut() bool {
	return time.Now().Before(w.cutUntil) && !w.soak.calm.Load()
}

// addWorker adds a VM whose worker checks its capacity, and takes the same time for each attempt.
func (p *provider) addWorker(name string, attemptDuration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := &siteVM{pool: "pool"}
	p.vms[name] = v
	w := p.soak.newSiteWorker(name, v.pool)
	w.capacity, w.attemptDuration = nil, attemptDuration
	p.runWorker(v, w)
}

// armRestart has the worker that runs on a VM, if any, crash at its next reply that fits the plan.
func (p *provider) armRestart(name string, plan *restart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.vms[name].worker; w != nil {
		w.restart.Store(plan)
	}
}
