package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/pools"
)

// PoolPlanner decides which VMs move to another pool.
type PoolPlanner interface {
	// Plan returns the moves and drains for the pools, with no more than maxMoves moves.
	Plan(all []pools.Pool, maxMoves int) pools.Result
}

// balancePools moves VMs to pools with work, and VMs that no pool needs to standby pools.
func (s *Scheduler) balancePools(now int64) {
	inputs := s.poolInputs(now)
	plan := s.options.PoolPlanner.Plan(inputs, maxMovesPerPlan)
	s.noteShares(inputs, plan.Shares, now)
	for _, v := range s.fleet.vms {
		v.drainForMove = false
	}
	s.fleet.draining = len(plan.Drains) > 0
	for _, name := range plan.Drains {
		if v := s.fleet.vms[name]; v != nil {
			v.drainForMove = true
		}
	}
	for _, m := range plan.Moves {
		s.moveVM(m, now)
	}
}

// demand returns the resources that the job's unfinished tasks need.
func (job *activeJob) demand() pools.Demand {
	return pools.Demand{Running: job.runningResources, Waiting: job.readyResources, Upcoming: job.nextResources}
}

// shareLogIntervalMs is the interval between two logs of the pools' shares, in milliseconds.
const shareLogIntervalMs = 1000

// noteShares logs the pools' shares, and collects what new jobs would wait for, while the work that can still be in time
// needs more VMs than there are.
func (s *Scheduler) noteShares(inputs []pools.Pool, shares pools.Shares, now int64) {
	f := &s.fleet
	f.loads = nil
	if !shares.Scarce {
		s.closeBook()
		return
	}
	if s.currentConfiguration().RequiresKeys {
		s.openBook(inputs, shares.Targets, now)
	} else {
		s.closeBook()
		f.loads = s.loadsOf(inputs, shares.Targets)
	}
	if now-f.sharesLoggedMs < shareLogIntervalMs {
		return
	}
	f.sharesLoggedMs = now
	for i, p := range inputs {
		s.options.Logger.Info("pool_share", zap.String("pool", p.Name), zap.Int("vms", len(p.VMs)), zap.Int("share", shares.Targets[i]),
			zap.Int("need", pools.Need(p)), zap.Int64("in_time_cores", p.InTime.Total().CPUMilli/milli),
			zap.Int64("late_cores", p.Late.Total().CPUMilli/milli), zap.Uint64("term", s.term))
	}
}

// poolInputs returns the input of the plan for the pools.
func (s *Scheduler) poolInputs(now int64) []pools.Pool {
	c := s.currentConfiguration()
	all := make([]pools.Pool, 0, len(c.Pools))
	index, limited := map[string]int{}, s.limitedDemand()
	for _, p := range c.Pools {
		index[p.Name] = len(all)
		all = append(all, s.demandOf(p, limited))
	}
	// A pool without VMs is sized with the VM size of another pool.
	var fallbackVM pools.Resources
	for _, v := range s.fleet.sortedVMs() {
		i, ok := index[v.Pool]
		if !ok || v.State == VMDown || v.drainForWave {
			// A VM that is about to be maintained has no resources for tasks.
			continue
		}
		p := &all[i]
		p.VM = pools.Resources{CPUMilli: max(p.VM.CPUMilli, v.Capacity.CPUMilli), MemoryMB: max(p.VM.MemoryMB, v.Capacity.MemoryMB)}
		fallbackVM = p.VM
		lacking := s.lackingOn(v)
		p.Lacking = p.Lacking.Add(pools.Resources{CPUMilli: lacking.CPUMilli, MemoryMB: lacking.MemoryMB})
		if lacking.CPUMilli > 0 && lacking.CPUMilli == v.Capacity.CPUMilli || lacking.MemoryMB > 0 && lacking.MemoryMB == v.Capacity.MemoryMB {
			p.Depleted++
		}
		load := s.loadOf(v, now)
		p.VMs = append(p.VMs, pools.VM{
			Name: v.Name, BusyMs: load.busyMs, Empty: load.empty && v.orderable(now),
			Fixed: load.longRunning || v.orderPending || v.unverifiedMs > 0 || v.State != VMUp || now < v.awayUntilMs || v.fenced,
		})
	}
	for i := range all {
		p := &all[i]
		if p.VM == (pools.Resources{}) {
			p.VM = fallbackVM
		}
		if len(p.VMs) <= pools.Need(*p) || s.fleet.surplusSinceMs[p.Name] == 0 {
			s.fleet.surplusSinceMs[p.Name] = now
		}
		p.IdleMs = now - s.fleet.surplusSinceMs[p.Name]
	}
	return all
}

// demandOf returns a pool without VMs, and what its jobs need as far as their accounts' limits allow.
func (s *Scheduler) demandOf(p batch.Pool, limited *limitedDemand) pools.Pool {
	input := pools.Pool{Name: p.Name, Standby: p.Standby}
	wallMs := s.wallMs()
	for _, job := range s.queueOf(p.Name).jobs {
		input.MinVMs = max(input.MinVMs, limited.minVMs(job))
		switch {
		case s.isLate(job, wallMs):
			input.Late = input.Late.Add(limited.of(job))
			continue
		case job.item.LongRunning:
			input.LongRunning = input.LongRunning.Add(limited.of(job).Total())
		}
		input.InTime = input.InTime.Add(limited.of(job))
	}
	return input
}

// lackingOn returns by how much a VM's listed capacity is above what its worker reports, or what runs there if that is
// more.
func (s *Scheduler) lackingOn(v *vm) batch.Resources {
	w := s.workers[v.Worker]
	if w == nil || w.inherited || w.left || w.draining {
		return batch.Resources{}
	}
	held := w.capacity.Sub(w.free.Min(batch.Resources{}))
	return v.Capacity.Sub(v.Capacity.Min(held))
}

// moveVM orders a VM to another pool.
func (s *Scheduler) moveVM(m pools.Move, now int64) {
	v := s.fleet.vms[m.VM]
	if v == nil || !v.orderable(now) || !s.takeOrderSlot(now) {
		return
	}
	if !s.loadOf(v, now).empty {
		return
	}
	s.options.Logger.Info("vm_moving", zap.String("vm", m.VM), zap.String("from", m.From), zap.String("to", m.To),
		zap.Int64("listed_ms_ago", now-v.listedMs), zap.Uint64("term", s.term))
	movesTotal.Inc()
	s.orderVM(v, Order{Kind: OrderMove, VM: m.VM, Pool: m.To}, now, func() {
		v.Pool, v.State, v.awayUntilMs = m.To, VMMoving, now+s.options.PlatformLimits.MoveMs
		if p := s.currentConfiguration().Pool(m.To); p != nil && p.Standby {
			v.State = VMUp
		}
		s.awaitVerification(v)
	})
}

// orderVM sends an order for a VM after the intention is committed, and handles the result.
func (s *Scheduler) orderVM(v *vm, o Order, now int64, done func()) {
	term := s.term
	o.Term = term
	o.Done = func(r OrderResult) {
		if s.term != term || !s.active {
			return
		}
		v.orderPending = false
		s.options.Logger.Info("vm_order_ended", zap.String("vm", v.Name), zap.Stringer("kind", o.Kind),
			zap.Stringer("code", r.Code), zap.String("detail", r.Detail), zap.Int64("took_ms", s.now()-now))
		switch r.Code {
		case OrderDone:
			done()
		case OrderFenced:
			v.fenced = true
		case OrderUnknown:
			v.retryAtMs = s.now() + orderRetryMs
			v.unverifiedMs, v.unanswered = s.now()+lateOrderMs, true
		default:
			v.retryAtMs = s.now() + orderRetryMs
		}
	}
	v.orderPending = true
	s.proposals.pending.OrderedVMs = append(s.proposals.pending.OrderedVMs, v.Name)
	o.NotAfterMs = now + orderValidMs
	s.commit(func(ok bool) {
		if !ok || !s.options.SendOrder(o) {
			v.orderPending = false
		}
	})
}

// takeOrderSlot reports whether another order may be sent within the platform's rate, and counts it.
func (s *Scheduler) takeOrderSlot(now int64) bool {
	f := &s.fleet
	f.recentOrdersMs = slices.DeleteFunc(f.recentOrdersMs, func(ms int64) bool { return ms <= now-milli })
	if float64(len(f.recentOrdersMs)) >= s.options.PlatformLimits.MaxOrdersPerS*orderRateShare {
		return false
	}
	f.recentOrdersMs = append(f.recentOrdersMs, now)
	return true
}
