package sched

import (
	"hash/fnv"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/accept"
	"cowslipstack/internal/plan/order"
	"cowslipstack/internal/plan/pools"
	"cowslipstack/internal/plan/shares"
)

// moveLagMs is how long after it is planned a move brings a VM's processor time: the VM is drained, moves and joins.
const moveLagMs = 2500

// openBook collects the work that is to be done, and ranks the jobs of the accounts.
func (s *Scheduler) openBook(inputs []pools.Pool, targets []int, now int64) {
	room := s.roomFor(inputs, now)
	works := s.acceptedWork()
	s.fleet.book = accept.NewBook(room, works)
	s.fleet.nextRanks = map[string]map[string]float64{}
	for i := range inputs {
		rate := room.Pools[inputs[i].Name]
		rate.Soon = max(0, coresOf(&inputs[i], targets[i]))
		s.rankJobs(inputs[i].Name, rate, room.Weights)
	}
}

// rankJobs ranks the jobs of a pool that can still be in time.
func (s *Scheduler) rankJobs(pool string, rate accept.Rate, weights shares.Weights) {
	var all []shares.Job
	var totalDueMs int64
	running := map[string]float64{}
	for _, job := range s.queueOf(pool).jobs {
		account := job.state.Spec.Account
		job.item.Rank, job.item.Scarce = 0, true
		if job.item.LongRunning {
			continue
		}
		running[account] += float64(job.runningResources.CPUMilli) / milli * float64(job.openTaskMs)
		if !job.item.Late() {
			all = append(all, shares.Job{Item: &job.item, Account: account, WorkMs: job.workLeftMs()})
			totalDueMs += max(0, dueMs(&job.item))
		}
	}
	roomMs := accept.UsedPart * rate.By(totalDueMs/int64(max(1, len(all))))
	s.fleet.nextRanks[pool] = shares.Rank(all, running, weights, roomMs)
}

// closeBook clears the ranks of the jobs once there is room for all, or no account.
func (s *Scheduler) closeBook() {
	if s.fleet.book == nil {
		return
	}
	s.fleet.book, s.fleet.nextRanks = nil, nil
	for _, job := range s.jobs {
		job.item.Rank, job.item.Scarce = 0, false
	}
}

// dueMs returns by when a job's work has to be done on average, in milliseconds: half its longest chain before its SLO.
func dueMs(i *order.Item) int64 {
	return i.SlackMs + i.CriticalPathMs/2
}

// acceptedWork returns the work of the jobs that can still be in time.
func (s *Scheduler) acceptedWork() []accept.Work {
	wallMs := s.wallMs()
	var all []accept.Work
	for id, job := range s.jobs {
		job.item = *s.itemAt(job, wallMs)
		due := job.lastDueMs()
		if job.item.LongRunning || due <= 0 {
			continue
		}
		all = append(all, accept.Work{
			ID: id, Account: job.state.Spec.Account, Pool: job.pool, Ms: job.workLeftMs(), DueMs: due,
		})
	}
	return all
}

// maxLateObjectives is how many times the time to its SLO a job may take and still be of use to its caller.
const maxLateObjectives = 3

// lastDueMs returns by when a job's work has to be done on average so that the job is still of use, in milliseconds.
func (job *activeJob) lastDueMs() int64 {
	return dueMs(&job.item) + (maxLateObjectives-1)*job.objectiveMs
}

// workLeftMs returns the job's remaining work, in core-milliseconds; a task that runs is half done on average.
func (job *activeJob) workLeftMs() float64 {
	half := float64(job.runningResources.CPUMilli) / milli * float64(job.openTaskMs) / 2
	return max(0, float64(job.item.RemainingWorkMs)-half)
}

// roomFor returns what there is to do the jobs with. VMs follow the work, except those that a pool needs for tasks that keep
// apart.
func (s *Scheduler) roomFor(inputs []pools.Pool, now int64) accept.Room {
	room := accept.Room{Pools: map[string]accept.Rate{}, Limits: map[string]float64{}, Weights: shares.Weights{}}
	away := map[string]int{}
	for _, v := range s.fleet.vms {
		if v.State != VMUp || now < v.awayUntilMs {
			away[v.Pool]++
		}
	}
	floating := 0.0
	for i := range inputs {
		p := &inputs[i]
		floating += float64(max(0, len(p.VMs)-p.MinVMs)) * float64(p.VM.CPUMilli) / milli
	}
	room.Fleet = accept.Rate{Now: floating, Soon: floating, LagMs: moveLagMs}
	for i := range inputs {
		p := &inputs[i]
		if p.Standby {
			continue
		}
		own := coresOf(p, min(p.MinVMs, len(p.VMs)))
		room.Pools[p.Name] = accept.Rate{Now: max(0, coresOf(p, len(p.VMs)-away[p.Name])), Soon: max(0, own) + floating, LagMs: moveLagMs}
		if p.InTime.Running != (pools.Resources{}) {
			room.Fleet.Now += max(0, own)
			room.Fleet.Soon += max(0, own)
		}
	}
	s.addAccounts(&room)
	return room
}

// addAccounts adds the weights of the accounts, and the cores that those with a limit may use beside what lasts.
func (s *Scheduler) addAccounts(room *accept.Room) {
	lasting, ending := map[string]batch.Resources{}, map[string]batch.Resources{}
	for _, job := range s.jobs {
		sums := ending
		if job.item.LongRunning {
			sums = lasting
		}
		total := job.demand().Total()
		account := job.state.Spec.Account
		sums[account] = sums[account].Add(batch.Resources{CPUMilli: total.CPUMilli, MemoryMB: total.MemoryMB})
	}
	for i := range s.currentConfiguration().Accounts {
		a := &s.currentConfiguration().Accounts[i]
		room.Weights[a.Name] = a.Weight
		held, asked := lasting[a.Name], ending[a.Name]
		if a.Limit.CPUMilli > 0 {
			room.Limits[a.Name] = max(0, float64(a.Limit.CPUMilli-held.CPUMilli)/milli)
		}
		if a.Limit.MemoryMB > 0 && asked.MemoryMB > 0 {
			// Work that needs much memory reaches that limit with fewer cores.
			cores := max(0, float64(a.Limit.MemoryMB-held.MemoryMB)) * float64(asked.CPUMilli) / milli / float64(asked.MemoryMB)
			if limit, limited := room.Limits[a.Name]; !limited || cores < limit {
				room.Limits[a.Name] = cores
			}
		}
	}
}

// refuseBeyondRoom refuses a new job that can't be done in time beside those that are accepted, nor goes before them by its
// account's share, and reports whether it did. Nothing of the job is stored; one that is proposed already is never refused.
func (s *Scheduler) refuseBeyondRoom(spec *batch.Job, reply func(batch.Reply)) bool {
	if s.submitting[spec.ID] != nil {
		return false
	}
	job := s.describeJob(jobs.NewJob(*spec))
	if job.item.LongRunning || job.nextDueMs > 0 {
		return false
	}
	spread := fnv.New64a()
	_, _ = spread.Write([]byte(spec.ID))
	v := s.fleet.book.Judge(&accept.Candidate{
		Work: accept.Work{
			ID: spec.ID, Account: spec.Account, Pool: spec.Pool, Ms: float64(job.item.RemainingWorkMs),
			// One that returns after that is accepted once there is room for it within another objective.
			DueMs: max(job.lastDueMs(), job.objectiveMs),
		},
		SlackMs: job.item.SlackMs, AloneMs: job.objectiveMs - job.criticalPathMs, Spread: spread.Sum64(),
	})
	if v.Accepted {
		return false
	}
	s.refusals.Note(spec.ID, spec.SubmittedMs())
	jobsRefusedTotal.Inc()
	countRefusal(spec.Account, v.Reason)
	s.options.Logger.Info("job_refused_as_hopeless", zap.String("job", spec.ID), zap.String("account", spec.Account), zap.String("pool", spec.Pool),
		queueField(spec.Queue), zap.Stringer("reason", v.Reason), zap.Int64("work_ms", job.item.RemainingWorkMs),
		zap.Int64("chain_ms", job.criticalPathMs), zap.Int64("slack_ms", job.item.SlackMs), zap.Int64("objective_ms", job.objectiveMs), zap.Float64("lack_ms", v.LackMs), zap.Float64("share_ms", v.ShareMs),
		zap.Float64("asked_ms", v.AskedMs), zap.Int64("retry_after_ms", v.RetryAfterMs), zap.Int64("first_ms_ago", s.wallMs()-spec.SubmittedMs()),
		zap.Int64("known_ms_ago", s.now()-s.fleet.plannedMs), zap.Uint64("term", s.term))
	s.replyRefused(reply, spec.ID, batch.Reply{
		Code: batch.CodeRefused, Detail: "the job has not run and can't be finished in time: " + v.Reason.String() + " is the limit",
		RetryAfterMs: v.RetryAfterMs,
	})
	return true
}
