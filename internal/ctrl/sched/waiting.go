package sched

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// waitingIntervalMs is the interval between two counts of the waiting jobs for the metrics, in milliseconds.
const waitingIntervalMs = 1000

// waitingJobs counts jobs of which no worker has begun a task.
type waitingJobs struct {
	// unordered is the number of jobs without an attempt, and ordered the number of those with one that has not begun.
	unordered, ordered int
	// oldestMs is the greatest age among both, in milliseconds since their acceptance or their first due time.
	oldestMs int64
}

// add counts a job if it waits at a time in Unix milliseconds.
func (c *waitingJobs) add(j *jobs.Job, wallMs int64) {
	switch {
	case j.Phase != batch.PhaseQueued:
		return
	case j.LiveAttempts > 0:
		c.ordered++
	default:
		c.unordered++
	}
	c.oldestMs = max(c.oldestMs, wallMs-max(j.Spec.AcceptedMs, j.Spec.DueMs(0)))
}

func (c *waitingJobs) count() int {
	return c.unordered + c.ordered
}

// noteBegun adds to the next command that a worker has begun a job, if the attempt that it lists is the first to show
// so. Members of a gang wait at no progress until all are present.
func (s *Scheduler) noteBegun(j *jobs.Job, t *jobs.Task, r *batch.Running) {
	if j.Phase != batch.PhaseQueued || r.Attempt > t.LastAttempt || j.Spec.Steps[r.Task.Step].Gang && r.Percent <= 0 {
		return
	}
	if !slices.Contains(s.proposals.pending.BegunJobs, j.Spec.ID) {
		s.proposals.pending.BegunJobs = append(s.proposals.pending.BegunJobs, j.Spec.ID)
	}
}

// observeBegun logs and measures how long a job waited, once a worker has begun it.
func (s *Scheduler) observeBegun(job *activeJob) {
	j := job.state
	if j.Phase == batch.PhaseQueued || j.Phase == batch.PhaseCancelled {
		return
	}
	waitedMs := s.wallMs() - max(j.Spec.AcceptedMs, j.Spec.DueMs(0))
	observeFirstStart(job.pool, waitedMs)
	s.options.Logger.Info("job_begun", zap.String("job", j.Spec.ID), zap.String("pool", job.pool), zap.Int64("waited_ms", waitedMs),
		zap.Int64("objective_ms", job.objectiveMs), zap.Uint64("term", s.term))
}

// countWaiting counts the waiting jobs of a queue, and logs what the count was based on.
func (s *Scheduler) countWaiting(queue *batch.Queue) int {
	var waiting waitingJobs
	key, wallMs, active := queue.Key(), s.wallMs(), 0
	for _, job := range s.jobs {
		if job.state.Spec.Queue == key {
			active++
			waiting.add(job.state, wallMs)
		}
	}
	s.options.Logger.Info("waiting_jobs_counted", zap.String("host", queue.Host), zap.String("path", queue.Prefix),
		zap.Int("unordered", waiting.unordered), zap.Int("ordered", waiting.ordered), zap.Int64("oldest_ms", waiting.oldestMs),
		zap.Int("active", active),
		zap.Uint64("configuration", s.currentConfiguration().Version), zap.Uint64("term", s.term),
		zap.Int64("confirmed_ms_ago", s.now()-s.leadership.confirmedMs))
	return waiting.count()
}

// observeWaitingJobs sets the metrics of waiting jobs, by pool, and logs what tasks wait for and the capacity.
func (s *Scheduler) observeWaitingJobs(now int64) {
	if now-s.waitingCountedMs < waitingIntervalMs {
		return
	}
	s.waitingCountedMs = now
	wallMs := s.wallMs()
	former := s.countedPools
	s.countedPools = nil
	for _, p := range s.currentConfiguration().Pools {
		var waiting waitingJobs
		for _, job := range s.queueOf(p.Name).jobs {
			waiting.add(job.state, wallMs)
		}
		setWaitingGauges(p.Name, waiting)
		s.countedPools = append(s.countedPools, p.Name)
	}
	clearWaitingGauges(slices.DeleteFunc(former, func(pool string) bool { return slices.Contains(s.countedPools, pool) }))
	s.observeAccounts(wallMs)
	_, bytes := s.options.Log.Batch().MemoryUsed("")
	jobMemory.Set(float64(bytes))
	s.logUnplaced(now)
	s.logCapacity(now)
}

// clearWaitingGauges sets the metrics of waiting jobs to 0 for pools that are configured no more or that another leader counts.
func clearWaitingGauges(pools []string) {
	for _, pool := range pools {
		setWaitingGauges(pool, waitingJobs{})
	}
}

func setWaitingGauges(pool string, waiting waitingJobs) {
	labels := hist.Labels{Service: pool}
	metrics.GetOrCreateGauge(hist.Name("cowslip_jobs_waiting", labels), nil).Set(float64(waiting.count()))
	metrics.GetOrCreateGauge(hist.Name("cowslip_jobs_ordered", labels), nil).Set(float64(waiting.ordered))
	oldest := time.Duration(waiting.oldestMs) * time.Millisecond
	metrics.GetOrCreateGauge(hist.Name("cowslip_jobs_oldest_waiting_seconds", labels), nil).Set(oldest.Seconds())
}
