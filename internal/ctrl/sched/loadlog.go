package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// The events in this file and job_refused_as_hopeless are the recorded load that cowslipbound reads; see docs/MEASURES.md.

// logAccepting logs a new job that is about to be recorded, with what it asks for.
func (s *Scheduler) logAccepting(spec *batch.Job) {
	job := s.describeJob(jobs.NewJob(*spec))
	s.options.Logger.Info("job_accepting", zap.String("job", spec.ID), zap.String("account", spec.Account), zap.String("pool", spec.Pool), zap.Int("steps", len(spec.Steps)),
		queueField(spec.Queue), zap.Int64("work_ms", job.item.TotalWorkMs), zap.Int64("chain_ms", job.criticalPathMs),
		zap.Int64("objective_ms", job.objectiveMs), zap.Bool("long_running", job.item.LongRunning),
		zap.Bool("scheduled", spec.RunCount > 0), zap.Uint64("configuration", s.currentConfiguration().Version),
		zap.Uint64("term", s.term))
}

// logEnded logs that a job has ended. Its work and its SLO use the estimates of its last change.
func (s *Scheduler) logEnded(job *activeJob) {
	spec := &job.state.Spec
	ageMs := s.wallMs() - spec.AcceptedMs
	s.options.Logger.Info("job_ended", zap.String("job", spec.ID), zap.String("pool", job.pool), zap.Stringer("phase", job.state.Phase),
		zap.Int64("age_ms", ageMs), zap.Int64("objective_ms", job.objectiveMs), zap.Int64("work_ms", job.item.TotalWorkMs),
		zap.Bool("in_time", job.state.Phase == batch.PhaseCompleted && ageMs <= job.objectiveMs), zap.Uint64("term", s.term))
}

// logCapacity logs the cores of the workers that are heard, by pool, and those of the listed VMs that aren't down. The
// latter include VMs on standby, which have no worker and which a better plan could have used. A new leader logs nothing
// until it knows the fleet: the capacity that its predecessor logged holds until then.
func (s *Scheduler) logCapacity(now int64) {
	if !s.fleet.reads.HaveWhole() {
		return
	}
	workers, cores, byPool := 0, int64(0), map[string]float64{}
	for _, w := range s.workers {
		if w.inherited || w.left || now-w.heardMs >= maxSilenceMs {
			continue
		}
		workers++
		cores += w.capacity.CPUMilli
		byPool[w.pool] += float64(w.capacity.CPUMilli) / milli
	}
	listed := int64(0)
	for _, v := range s.fleet.vms {
		if v.State != VMDown && v.State != VMMaintained {
			listed += v.Capacity.CPUMilli
		}
	}
	s.options.Logger.Info("fleet_capacity", zap.Float64("cores", float64(cores)/milli), zap.Int("workers", workers),
		zap.Any("pools", byPool), zap.Float64("listed_cores", float64(listed)/milli), zap.Uint64("term", s.term))
}

// queueField returns the log field that names a queue.
func queueField(key batch.QueueKey) zap.Field {
	return zap.String("queue", key.Host+key.Prefix)
}
