package sched

import (
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/pools"
)

// mayHoldMore reports whether the limit of a job's account allows a number of tasks of a step to start.
func (s *Scheduler) mayHoldMore(j *jobs.Job, id batch.TaskID, tasks int) bool {
	if j.Spec.Account == "" {
		return true
	}
	s.accounts.Configure(s.currentConfiguration())
	return s.accounts.MayStart(j.Spec.Account, j.Spec.Steps[id.Step].Need.Times(tasks))
}

// mayHoldAny reports whether the limit of a job's account may allow any of its ready tasks to start. It spares a look at each of
// them where many jobs wait for a limit.
func (s *Scheduler) mayHoldAny(job *activeJob) bool {
	account := job.state.Spec.Account
	if account == "" {
		return true
	}
	s.accounts.Configure(s.currentConfiguration())
	return s.accounts.MayStart(account, job.leastNeed)
}

// limitedDemand leaves out of the pools' waiting work what accounts can't start because of their limits.
type limitedDemand struct {
	// room is what each account may still start; waiting is what it would start over all pools.
	room    map[string]batch.Resources
	waiting map[string]batch.Resources
}

// limitedDemand sums what the accounts would start.
func (s *Scheduler) limitedDemand() *limitedDemand {
	s.accounts.Configure(s.currentConfiguration())
	l := &limitedDemand{room: map[string]batch.Resources{}, waiting: map[string]batch.Resources{}}
	if !s.currentConfiguration().RequiresKeys {
		return l
	}
	for _, job := range s.jobs {
		account := job.state.Spec.Account
		if account == "" || job.readyResources == (pools.Resources{}) {
			continue
		}
		if _, known := l.room[account]; !known {
			l.room[account] = s.accounts.Room(account)
		}
		l.waiting[account] = l.waiting[account].Add(batch.Resources{Accelerators: job.readyAccelerators})
	}
	for _, job := range s.jobs {
		account := job.state.Spec.Account
		if _, limited := l.room[account]; limited {
			ready := scaled(job.readyResources, l.acceleratorPart(job))
			l.waiting[account] = l.waiting[account].Add(batch.Resources{CPUMilli: ready.CPUMilli, MemoryMB: ready.MemoryMB})
		}
	}
	return l
}

// acceleratorPart returns the part of a job's waiting tasks for which its account may hold accelerators; jobs without
// accelerators aren't held back by those of others.
func (l *limitedDemand) acceleratorPart(job *activeJob) float64 {
	if job.readyAccelerators == 0 {
		return 1
	}
	account := job.state.Spec.Account
	return min(1, ratio(l.room[account].Accelerators, l.waiting[account].Accelerators))
}

// part returns the part of a job's waiting tasks that its account can start: each of the account's jobs counts with the same part
// of processor time and memory.
func (l *limitedDemand) part(job *activeJob) float64 {
	account := job.state.Spec.Account
	room, limited := l.room[account]
	if !limited {
		return 1
	}
	waiting := l.waiting[account]
	return min(1, ratio(room.CPUMilli, waiting.CPUMilli), ratio(room.MemoryMB, waiting.MemoryMB)) * l.acceleratorPart(job)
}

// of returns the part of a job's demand that its account can start.
func (l *limitedDemand) of(job *activeJob) pools.Demand {
	d := job.demand()
	if part := l.part(job); part < 1 {
		d.Waiting = scaled(d.Waiting, part)
		d.Upcoming = pools.Resources{}
	}
	return d
}

// minVMs returns the number of VMs that a job's tasks need that keep apart and that run or can start.
func (l *limitedDemand) minVMs(job *activeJob) int {
	part := l.part(job)
	if part >= 1 {
		return job.minVMs
	}
	running, ready := job.runningResources.CPUMilli, job.readyResources.CPUMilli
	if running+ready == 0 {
		running, ready = job.runningResources.MemoryMB, job.readyResources.MemoryMB
	}
	allowed := float64(running) + float64(ready)*part
	return int(math.Ceil(float64(job.minVMs) * allowed / float64(max(1, running+ready))))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func scaled(r pools.Resources, part float64) pools.Resources {
	return pools.Resources{CPUMilli: int64(float64(r.CPUMilli) * part), MemoryMB: int64(float64(r.MemoryMB) * part)}
}

// accountLoad counts the jobs of an account that haven't ended.
type accountLoad struct {
	waiting, running int
	oldestMs         int64
}

// observeAccounts sets the metrics of the accounts, and logs those whose limit keeps jobs waiting.
func (s *Scheduler) observeAccounts(wallMs int64) {
	c := s.currentConfiguration()
	if len(c.Accounts) == 0 && len(s.countedAccounts) == 0 {
		return
	}
	s.accounts.Configure(c)
	loads := s.accountLoads(wallMs)
	// Those that are set again aren't cleared: a reader of the metrics would see 0 in between.
	clearAccountGauges(slices.DeleteFunc(s.countedAccounts, s.accounts.Has))
	s.countedAccounts = s.countedAccounts[:0]
	for i := range c.Accounts {
		a := &c.Accounts[i]
		load, held := loads[a.Name], s.accounts.Held(a.Name)
		setAccountGauges(a.Name, load, held)
		s.countedAccounts = append(s.countedAccounts, a.Name)
		if load.waiting > 0 && s.accounts.AtLimit(a.Name) {
			s.options.Logger.Info("account_at_limit", zap.String("account", a.Name), zap.Int("waiting", load.waiting),
				zap.Int("running", load.running), zap.Int64("oldest_ms", load.oldestMs), zap.Int64("held_cpu_milli", held.CPUMilli),
				zap.Int64("limit_cpu_milli", a.Limit.CPUMilli), zap.Int64("held_memory_mb", held.MemoryMB),
				zap.Int64("limit_memory_mb", a.Limit.MemoryMB), zap.Int64("held_accelerators", held.Accelerators),
				zap.Int64("limit_accelerators", a.Limit.Accelerators), zap.Uint64("configuration", c.Version), zap.Uint64("term", s.term))
		}
	}
}

func (s *Scheduler) accountLoads(wallMs int64) map[string]accountLoad {
	loads := map[string]accountLoad{}
	for _, job := range s.jobs {
		account := job.state.Spec.Account
		if account == "" {
			continue
		}
		load := loads[account]
		if job.state.Phase == batch.PhaseQueued {
			load.waiting++
			load.oldestMs = max(load.oldestMs, wallMs-max(job.state.Spec.AcceptedMs, job.state.Spec.DueMs(0)))
		} else {
			load.running++
		}
		loads[account] = load
	}
	return loads
}

// clearAccountGauges sets the metrics to 0 of accounts that are configured no more or that another leader counts.
func clearAccountGauges(accounts []string) {
	for _, name := range accounts {
		setAccountGauges(name, accountLoad{}, batch.Resources{})
	}
}

func setAccountGauges(account string, load accountLoad, held batch.Resources) {
	label := hist.Label{Name: "account", Value: account}
	set := func(name string, value float64) { metrics.GetOrCreateGauge(hist.Series(name, label), nil).Set(value) }
	set("cowslip_account_jobs_waiting", float64(load.waiting))
	set("cowslip_account_jobs_running", float64(load.running))
	set("cowslip_account_oldest_waiting_seconds", (time.Duration(load.oldestMs) * time.Millisecond).Seconds())
	set("cowslip_account_held_cores", float64(held.CPUMilli)/milli)
	set("cowslip_account_held_megabytes", float64(held.MemoryMB))
}
