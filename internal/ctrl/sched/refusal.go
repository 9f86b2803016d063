package sched

import (
	"hash/fnv"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/order"
	"cowslipstack/internal/plan/pools"
	"cowslipstack/internal/plan/refuse"
)

// refuseHopeless refuses a new job that can't be finished by its SLO, and reports whether it did. Nothing of the job is
// stored; a job that is proposed already is never refused.
func (s *Scheduler) refuseHopeless(spec *batch.Job, reply func(batch.Reply)) bool {
	if s.fleet.book != nil {
		return s.refuseBeyondRoom(spec, reply)
	}
	load, scarce := s.fleet.loads[spec.Pool]
	if !scarce || s.submitting[spec.ID] != nil {
		return false
	}
	job := s.describeJob(jobs.NewJob(*spec))
	if job.item.LongRunning || job.nextDueMs > 0 {
		return false
	}
	spread := fnv.New64a()
	_, _ = spread.Write([]byte(spec.ID))
	v := refuse.Judge(refuse.Job{Item: job.item, Spread: spread.Sum64()}, load)
	if !v.Refused {
		return false
	}
	jobsRefusedTotal.Inc()
	s.options.Logger.Info("job_refused_as_hopeless", zap.String("job", spec.ID), zap.String("pool", spec.Pool),
		queueField(spec.Queue), zap.Int64("chain_ms", job.criticalPathMs), zap.Int64("work_ms", job.item.RemainingWorkMs),
		zap.Int64("room_ms", v.RoomMs), zap.Int64("objective_ms", job.objectiveMs),
		zap.Int64("drain_ms", v.DrainMs), zap.Int64("retry_after_ms", v.RetryAfterMs), zap.Float64("cores", load.Cores),
		zap.Int64("known_ms_ago", s.now()-s.fleet.plannedMs), zap.Uint64("term", s.term))
	s.replyRefused(reply, spec.ID, batch.Reply{
		Code: batch.CodeRefused, Detail: "the job has not run and can't be finished in time: too much waits before it", RetryAfterMs: v.RetryAfterMs,
	})
	return true
}

// replyRefused replies that a job has not run, once the leadership is confirmed: another leader may have accepted the job, or this
// one when it was sent again meanwhile.
func (s *Scheduler) replyRefused(reply func(batch.Reply), id string, refusal batch.Reply) {
	s.replyWhenConfirmed(reply, func() batch.Reply {
		if j := s.options.Log.Batch().Job(id); j != nil {
			return batch.Reply{Code: batch.CodeOK, Phase: j.Phase}
		}
		if s.submitting[id] != nil {
			return batch.Reply{Code: batch.CodeUnknown, Detail: "the job was sent again and is being stored"}
		}
		return refusal
	})
}

// loadsOf returns, by pool, what it can do for its jobs: with its share of the VMs, or with its part of the fleet in
// proportion to its work if that is more, since its share grows as its work does.
func (s *Scheduler) loadsOf(inputs []pools.Pool, targets []int) map[string]refuse.Load {
	works := make([]poolWork, len(inputs))
	wallMs := s.wallMs()
	fleetCores, inTimeMs := 0.0, 0.0
	for i := range inputs {
		p := &inputs[i]
		fleetCores += coresOf(p, len(p.VMs))
		works[i] = s.workOf(p.Name, wallMs)
		inTimeMs += works[i].inTimeMs
	}
	loads := make(map[string]refuse.Load, len(inputs))
	for i := range inputs {
		p := &inputs[i]
		cores := max(coresOf(p, targets[i]), fleetCores*works[i].inTimeMs/max(1, inTimeMs))
		loads[p.Name] = refuse.NewLoad(works[i].items, cores, works[i].backlogMs)
	}
	return loads
}

// coresOf returns the cores that a number of a pool's VMs have for tasks that end.
func coresOf(p *pools.Pool, vms int) float64 {
	return float64(int64(vms)*p.VM.CPUMilli-p.LongRunning.CPUMilli) / milli
}

// poolWork is the remaining work of a pool's jobs, without long-running ones.
type poolWork struct {
	// items are the jobs that aren't late, and inTimeMs their work, in core-milliseconds.
	items    []*order.Item
	inTimeMs float64
	// backlogMs is the work of all jobs, in core-milliseconds.
	backlogMs int64
}

func (s *Scheduler) workOf(pool string, wallMs int64) poolWork {
	var w poolWork
	for _, job := range s.queueOf(pool).jobs {
		if job.item.LongRunning {
			continue
		}
		w.backlogMs += job.item.RemainingWorkMs
		if item := s.itemAt(job, wallMs); !item.Late() {
			w.items = append(w.items, item)
			w.inTimeMs += float64(item.RemainingWorkMs)
		}
	}
	return w
}
