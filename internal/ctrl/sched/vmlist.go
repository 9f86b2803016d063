package sched

import (
	"go.uber.org/zap"
)

const (
	// maxReportedRows bounds the VMs whose unread rows are logged, and maxNameBytes the names of VMs with such rows.
	maxReportedRows = 256
	maxNameBytes    = 256
)

const (
	// crashedKeptMs is how long after a crash workers that join the pool wait for the VM list, and maxVMWaitMs is how long each
	// of them waits at most.
	crashedKeptMs = 30_000
	maxVMWaitMs   = 300
	// lateHeartbeatMs is how long after a leader took over a heartbeat may still arrive that its worker sent before it left.
	lateHeartbeatMs = 3000
)

// awaitsVM reports whether a worker that has just joined gets no orders yet because the VM list doesn't show on which VM it
// runs. It matters while workers of its pool crash, since nothing would tell of a crash until the worker is back, and under a
// new leader: a heartbeat that was delayed may be from a worker that left before.
func (s *Scheduler) awaitsVM(w *worker, now int64) bool {
	if !s.fleet.reads.HaveWhole() || s.fleet.byWorker[w.id] != "" || now-w.joinedMs > maxVMWaitMs {
		return false
	}
	crashedMs, crashed := s.crashedMs[w.pool]
	takenOver := s.tookOver && now-s.activeSinceMs <= lateHeartbeatMs
	return takenOver || crashed && now-crashedMs <= crashedKeptMs
}

// readList begins a read of the VM list.
func (s *Scheduler) readList(now int64) {
	f := &s.fleet
	f.listWanted, f.listRequestedMs = false, now
	f.reads.Begin(now)
	f.reads.AddPage("")
	s.readListPage("", now)
}

// readListPage requests a page of the VM list; asked is the uptime at which the first page was requested.
func (s *Scheduler) readListPage(page string, asked int64) {
	term, reads := s.term, s.fleet.reads
	sent := s.options.SendOrder(Order{Kind: OrderList, Page: page, Term: term, Done: func(r OrderResult) {
		if s.term != term || !s.active {
			return
		}
		if r.Code == OrderDone && r.NextPage != "" && !reads.AddPage(r.NextPage) {
			r.Code, r.Detail = OrderUnknown, "the next page was read before"
		}
		if r.Code != OrderDone {
			s.options.Logger.Info("vm_list_unread", zap.Stringer("code", r.Code), zap.String("detail", r.Detail))
			reads.Abort()
			return
		}
		s.applyPage(&r, asked)
		if r.NextPage != "" {
			s.readListPage(r.NextPage, asked)
			return
		}
		s.finishList()
	}})
	if !sent {
		reads.Abort()
	}
}

// applyPage applies a page of a list that was requested at uptime asked. A row with a capacity that no VM can have counts
// as unread.
func (s *Scheduler) applyPage(r *OrderResult, asked int64) {
	for _, v := range r.VMs {
		s.noteDown(v, asked)
	}
	for _, v := range r.VMs {
		if !v.Capacity.InRange() {
			s.noteUnread(UnreadVM{Name: v.Name, Cause: "the capacity is out of range"})
			continue
		}
		s.applyListed(v, asked)
	}
	for _, u := range r.Unread {
		s.noteUnread(u)
	}
}

// noteDown notes the worker of a VM that is listed as down, so that those that crash together are known before the first of them
// is judged.
func (s *Scheduler) noteDown(v VM, asked int64) {
	known := s.fleet.vms[v.Name]
	if known == nil || v.State != VMDown || !v.Capacity.InRange() || known.orderPending || known.awayUntilMs > asked {
		return
	}
	if w := s.workers[known.Worker]; w != nil && w.heardMs < asked {
		w.listedDown = true
	}
}

// applyListed updates one VM from a list that was requested at uptime asked.
func (s *Scheduler) applyListed(v VM, asked int64) {
	f := &s.fleet
	f.reads.AddRow(v.Name, v.upWorker())
	delete(f.reported, v.Name)
	known := f.vms[v.Name]
	if known == nil {
		known = &vm{retryAtMs: f.orderNotBeforeMs[v.Name]}
		f.vms[v.Name] = known
	}
	if known.unverifiedMs > 0 && asked >= known.unverifiedMs {
		s.verify(known, v, asked)
	}
	if known.orderPending || known.awayUntilMs > asked {
		// An order is in flight or took effect after the list was requested, so the list is outdated for this VM.
		return
	}
	s.endIfGone(known, v, asked)
	s.noteUp(v, asked)
	if known.Worker != v.Worker {
		delete(f.byWorker, known.Worker)
	}
	if v.Worker != "" {
		f.byWorker[v.Worker] = v.Name
	}
	known.VM, known.listedMs = v, asked
}

// upWorker returns the worker on a VM that is up; empty for none.
func (v *VM) upWorker() string {
	if v.State != VMUp {
		return ""
	}
	return v.Worker
}

// noteUp notes that a worker was up on its VM at uptime asked.
func (s *Scheduler) noteUp(v VM, asked int64) {
	if w := s.workers[v.Worker]; w != nil && v.State == VMUp {
		w.listedUpMs, w.vm = asked, v.Name
	}
}

// endIfGone ends what ran on a VM that is down, or on which another worker runs now, unless the worker was heard
// since the list was requested.
func (s *Scheduler) endIfGone(known *vm, v VM, asked int64) {
	for _, id := range []string{known.Worker, v.Worker} {
		w := s.workers[id]
		if w == nil || w.heardMs >= asked || w.inherited && id == v.Worker && v.State == VMUp {
			continue
		}
		switch cause := "vm_listed_" + v.State.String(); {
		case v.State == VMDown || v.State == VMUp && id != v.Worker && v.Pool == w.pool:
			s.handleCrash(w, cause, goneAt(asked))
		case id != v.Worker:
			s.loseAttempts(w, w.incarnation, cause, goneAt(asked))
		default:
			continue
		}
		w.left = true
	}
}

// noteUnread notes a row that can't be read; it is logged once for each VM.
func (s *Scheduler) noteUnread(u UnreadVM) {
	f := &s.fleet
	if len(u.Name) > maxNameBytes {
		u.Name = ""
	}
	f.reads.AddUnread(u.Name)
	if !f.reported[u.Name] && len(f.reported) < maxReportedRows {
		f.reported[u.Name] = true
		s.options.Logger.Warn("vm_row_unread", zap.String("vm", u.Name), zap.String("cause", u.Cause))
	}
}

// finishList removes the VMs that the list shows to be gone.
func (s *Scheduler) finishList() {
	f := &s.fleet
	f.reads.Finish()
	for name, v := range f.vms {
		if !v.orderPending && f.reads.GoneSince(name, max(v.listedMs, v.unverifiedMs)) {
			delete(f.byWorker, v.Worker)
			delete(f.vms, name)
		}
	}
	s.settleGone()
}

// awaitVerification notes that an order was answered as done. An earlier order whose answer was lost may have done
// it, so that the tasks there now still run; the next VM list shows which is the case.
func (s *Scheduler) awaitVerification(v *vm) {
	v.unverifiedMs = s.now()
	s.fleet.listWanted = true
}

// verify compares a VM whose order is done, or had no answer, with a list that was requested since, at uptime asked.
func (s *Scheduler) verify(known *vm, v VM, asked int64) {
	unanswered := known.unanswered
	known.unverifiedMs, known.unanswered = 0, false
	if v.State == VMUp && v.Worker != "" && v.Worker == known.Worker {
		known.awayUntilMs = 0
		if unanswered {
			s.options.Logger.Info("vm_order_not_carried_out", zap.String("vm", v.Name), zap.String("worker", v.Worker))
		} else {
			s.options.Logger.Info("vm_order_was_done", zap.String("vm", v.Name), zap.String("worker", v.Worker))
		}
		return
	}
	s.endAllOn(known, asked)
}

// endAllOn ends all attempts on a VM that this leader has ordered away, and which a list that was requested at uptime asked shows so.
func (s *Scheduler) endAllOn(v *vm, asked int64) {
	if w := s.workers[v.Worker]; w != nil {
		s.loseAttempts(w, w.incarnation, "vm_ordered_away", goneAt(asked))
		w.left = true
		s.flush()
	}
	delete(s.fleet.byWorker, v.Worker)
	v.Worker = ""
}
