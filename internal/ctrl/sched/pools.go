package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/plan/pools"
)

// steerPools moves VMs to where there is work, and switches off what no pool needs.
func (e *Scheduler) steerPools(now int64) {
	all := e.describePools(now)
	plan := pools.Plan(all, movesAtOnce)
	for _, v := range e.fleet.vms {
		v.leaving = false
	}
	for _, name := range plan.Drains {
		if v := e.fleet.vms[name]; v != nil {
			v.leaving = true
		}
	}
	for _, m := range plan.Moves {
		e.move(m, now)
	}
}

// describePools returns what the plan of the pools depends on.
func (e *Scheduler) describePools(now int64) []pools.Pool {
	c := e.current()
	all := make([]pools.Pool, 0, len(c.Pools))
	at := map[string]int{}
	for _, p := range c.Pools {
		one := pools.Pool{Name: p.Name, Standby: p.Standby}
		for _, w := range e.queue(p.Name).works {
			one.Running, one.Ready, one.Soon = one.Running.Add(w.runRoom), one.Ready.Add(w.readyRoom), one.Soon.Add(w.soonRoom)
			one.Floor = max(one.Floor, w.apart)
		}
		at[p.Name] = len(all)
		all = append(all, one)
	}
	// A pool without VMs is sized as if it had those of another one.
	var usual pools.Room
	for _, v := range e.fleet.sortedVMs() {
		i, ok := at[v.Pool]
		if !ok || v.State == VMDown || v.maintain {
			// What is about to be maintained is no room for tasks.
			continue
		}
		p := &all[i]
		p.VM = pools.Room{CPUMilli: max(p.VM.CPUMilli, v.Capacity.CPUMilli), MemoryMB: max(p.VM.MemoryMB, v.Capacity.MemoryMB)}
		usual = p.VM
		load, empty, lasting := e.load(v)
		p.VMs = append(p.VMs, pools.VM{
			Name: v.Name, LoadMilli: load, Empty: empty && v.orderable(now),
			Fixed: lasting || v.ordered || v.doneMs > 0 || v.State != VMUp || now < v.awayMs || v.fenced,
		})
	}
	for i := range all {
		p := &all[i]
		if p.VM == (pools.Room{}) {
			p.VM = usual
		}
		if len(p.VMs) <= pools.Need(*p) || e.fleet.idleSince[p.Name] == 0 {
			e.fleet.idleSince[p.Name] = now
		}
		p.IdleMs = now - e.fleet.idleSince[p.Name]
	}
	return all
}

// move orders a VM to another pool.
func (e *Scheduler) move(m pools.Move, now int64) {
	v := e.fleet.vms[m.VM]
	if v == nil || !v.orderable(now) || !e.spend(now) {
		return
	}
	if _, empty, _ := e.load(v); !empty {
		return
	}
	e.options.Logger.Info("vm_moving", zap.String("vm", m.VM), zap.String("from", m.From), zap.String("to", m.To),
		zap.Int64("listed_ms_ago", now-v.listedMs), zap.Uint64("term", e.term))
	movesTotal.Inc()
	e.order(v, Order{Kind: OrderMove, VM: m.VM, Pool: m.To}, now, func() {
		v.Pool, v.State, v.awayMs = m.To, VMMoving, now+e.options.Bounds.MoveMs
		if p := e.current().Pool(m.To); p != nil && p.Standby {
			v.State = VMUp
		}
		e.done(v)
	})
}

// order sends an order for a VM, once it is recorded that it will be, and takes notice of what comes of it.
func (e *Scheduler) order(v *vm, o Order, now int64, done func()) {
	term := e.term
	o.Term = term
	o.Done = func(r OrderResult) {
		if e.term != term || !e.active {
			return
		}
		v.ordered = false
		e.options.Logger.Info("vm_order_ended", zap.String("vm", v.Name), zap.Stringer("kind", o.Kind),
			zap.Stringer("code", r.Code), zap.String("detail", r.Detail), zap.Int64("took_ms", e.now()-now))
		switch r.Code {
		case OrderDone:
			done()
		case OrderFenced:
			v.fenced = true
		default:
			v.retryMs = e.now() + orderRetryMs
		}
	}
	v.ordered = true
	e.commits.next.Ordered = append(e.commits.next.Ordered, v.Name)
	e.commit(func(ok bool) {
		if !ok || !e.options.Orders(o) {
			v.ordered = false
		}
	})
}

// spend says whether another order may go out within the platform's rate.
func (e *Scheduler) spend(now int64) bool {
	f := &e.fleet
	f.ordersMs = slices.DeleteFunc(f.ordersMs, func(ms int64) bool { return ms <= now-milli })
	if float64(len(f.ordersMs)) >= e.options.Bounds.OrdersPerS*ordersPart {
		return false
	}
	f.ordersMs = append(f.ordersMs, now)
	return true
}
