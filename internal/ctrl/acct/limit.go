package acct

import (
	"math"

	"cowslipstack/internal/model/batch"
)

// charge is what a task needs, and the account that holds it.
type charge struct {
	account string
	need    batch.Resources
}

// attemptOn identifies the attempt of a task on a worker.
type attemptOn struct {
	task   batch.TaskID
	worker string
}

// MayStart reports whether the limit of an account allows it to hold so much more.
func (a *Accounts) MayStart(account string, need batch.Resources) bool {
	limit := a.limitOf(account)
	return limit == (batch.Resources{}) || covers(limit, a.Held(account).Add(need), need)
}

// covers reports whether a sum is within a limit wherever an amount was added to it; a limit of 0 is none.
func covers(limit, sum, added batch.Resources) bool {
	within := func(limit, sum, added int64) bool { return limit == 0 || added <= 0 || sum <= limit }
	return within(limit.CPUMilli, sum.CPUMilli, added.CPUMilli) && within(limit.MemoryMB, sum.MemoryMB, added.MemoryMB) &&
		within(limit.Accelerators, sum.Accelerators, added.Accelerators)
}

// Held returns what an account holds: all its attempts that run or may still run, or are about to start.
func (a *Accounts) Held(account string) batch.Resources {
	return a.committed.Reserved(account).Add(a.beside[account])
}

// Room returns how much more an account may hold, at least 0 in each dimension; an account without a limit has no bound.
func (a *Accounts) Room(account string) batch.Resources {
	limit, held := a.limitOf(account), a.Held(account)
	left := func(limit, held int64) int64 {
		if limit == 0 {
			return math.MaxInt64
		}
		return max(0, limit-held)
	}
	return batch.Resources{
		CPUMilli: left(limit.CPUMilli, held.CPUMilli), MemoryMB: left(limit.MemoryMB, held.MemoryMB),
		Accelerators: left(limit.Accelerators, held.Accelerators),
	}
}

// AtLimit reports whether an account holds nearly as much as it may.
func (a *Accounts) AtLimit(account string) bool {
	limit, held := a.limitOf(account), a.Held(account)
	near := func(limit, held int64) bool { return limit > 0 && held*100 >= limit*nearPercent }
	return near(limit.CPUMilli, held.CPUMilli) || near(limit.MemoryMB, held.MemoryMB) || near(limit.Accelerators, held.Accelerators)
}

// nearPercent is the part of its limit from which an account's next tasks may not fit, in percent.
const nearPercent = 90

// limitOf returns the limit of an account; one that the configuration doesn't name has none.
func (a *Accounts) limitOf(account string) batch.Resources {
	if known := a.accounts[account]; known != nil {
		return known.Limit
	}
	return batch.Resources{}
}

// Propose counts a task whose start is proposed, until it is settled.
func (a *Accounts) Propose(task batch.TaskID, account string, need batch.Resources) {
	if account == "" {
		return
	}
	a.Settle(task)
	a.proposed[task] = charge{account: account, need: need}
	a.add(account, need)
}

// Settle counts the start of a task no more: it is applied, and counts as committed, or never will be.
func (a *Accounts) Settle(task batch.TaskID) {
	if c, ok := a.proposed[task]; ok {
		delete(a.proposed, task)
		a.subtract(c.account, c.need)
	}
}

// Abandon counts an attempt that was given up and that a worker lists, until it is released.
func (a *Accounts) Abandon(task batch.TaskID, worker, account string, need batch.Resources) {
	id := attemptOn{task: task, worker: worker}
	if _, counted := a.abandoned[id]; counted || account == "" {
		return
	}
	a.abandoned[id] = charge{account: account, need: need}
	a.add(account, need)
}

// Release counts an attempt no more that was given up: it can't run any more.
func (a *Accounts) Release(task batch.TaskID, worker string) {
	id := attemptOn{task: task, worker: worker}
	if c, ok := a.abandoned[id]; ok {
		delete(a.abandoned, id)
		a.subtract(c.account, c.need)
	}
}

// Plan counts members of a gang that is planned.
func (a *Accounts) Plan(account string, need batch.Resources, members int) {
	if account != "" {
		a.add(account, need.Times(members))
	}
}

// Unplan counts members of a planned gang no more: they are proposed, or the plan was dropped.
func (a *Accounts) Unplan(account string, need batch.Resources, members int) {
	if account != "" && members > 0 {
		a.subtract(account, need.Times(members))
	}
}

func (a *Accounts) add(account string, need batch.Resources) {
	a.beside[account] = a.beside[account].Add(need)
}

func (a *Accounts) subtract(account string, need batch.Resources) {
	left := a.beside[account].Sub(need)
	if left == (batch.Resources{}) {
		delete(a.beside, account)
		return
	}
	a.beside[account] = left
}
