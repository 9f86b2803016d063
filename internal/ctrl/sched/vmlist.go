package sched

import (
	"go.uber.org/zap"
)

// readList asks for a page of the list.
func (e *Scheduler) readList(page string, asked int64) {
	term := e.term
	sent := e.options.Orders(Order{Kind: OrderList, Page: page, Term: term, Done: func(r OrderResult) {
		if e.term != term || !e.active {
			return
		}
		if r.Code != OrderDone {
			e.options.Logger.Info("vm_list_unread", zap.Stringer("code", r.Code), zap.String("detail", r.Detail))
			e.fleet.reading = false
			return
		}
		for _, v := range r.VMs {
			e.listed(v, asked)
		}
		if r.Next != "" {
			e.readList(r.Next, asked)
			return
		}
		e.listEnds()
	}})
	if !sent {
		e.fleet.reading = false
	}
}

// listed takes one VM of the list, as it was when the list was asked for.
func (e *Scheduler) listed(v VM, asked int64) {
	f := &e.fleet
	f.found[v.Name] = true
	held := f.vms[v.Name]
	if held == nil {
		held = &vm{retryMs: f.notBefore[v.Name]}
		f.vms[v.Name] = held
	}
	if held.doneMs > 0 && asked >= held.doneMs {
		e.verify(held, v)
	}
	if held.ordered || held.awayMs > asked {
		// What was ordered since is newer than the list.
		return
	}
	e.listedGone(held, v, asked)
	if held.Worker != v.Worker {
		delete(f.byWorker, held.Worker)
	}
	if v.Worker != "" {
		f.byWorker[v.Worker] = v.Name
	}
	held.VM, held.listedMs = v, asked
}

// listedGone gives up what ran on a VM that is down, or on which another life of a worker runs, unless the former one was
// heard since the list was asked for.
func (e *Scheduler) listedGone(held *vm, v VM, asked int64) {
	for _, id := range []string{held.Worker, v.Worker} {
		w := e.workers[id]
		if w == nil || w.heardMs >= asked || w.inherited && id == v.Worker && v.State == VMUp {
			continue
		}
		if v.State == VMDown || id != v.Worker {
			e.loseAll(w, w.incarnation, "vm_listed_"+v.State.String())
			w.left = true
		}
	}
}

// listEnds drops VMs that are no longer listed.
func (e *Scheduler) listEnds() {
	f := &e.fleet
	f.reading, f.whole = false, true
	for name, v := range f.vms {
		if !f.found[name] && !v.ordered {
			delete(f.byWorker, v.Worker)
			delete(f.vms, name)
		}
	}
}

// done takes notice that an order was answered as done. It may have been done before, by an order whose answer was lost,
// and what runs there now runs on: the list tells.
func (e *Scheduler) done(v *vm) {
	v.doneMs = e.now()
	e.fleet.wanted = true
}

// verify compares a VM whose order is done with the list that was asked for since.
func (e *Scheduler) verify(held *vm, v VM) {
	held.doneMs = 0
	if v.State == VMUp && v.Worker != "" && v.Worker == held.Worker {
		held.awayMs = 0
		e.options.Logger.Info("vm_order_was_done", zap.String("vm", v.Name), zap.String("worker", v.Worker))
		return
	}
	e.gone(held)
}

// gone takes notice that all on a VM has ended by our order.
func (e *Scheduler) gone(v *vm) {
	if w := e.workers[v.Worker]; w != nil {
		e.loseAll(w, w.incarnation, "vm_ordered_away")
		w.left = true
		e.flush()
	}
	delete(e.fleet.byWorker, v.Worker)
	v.Worker = ""
}
