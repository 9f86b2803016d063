package sched

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// waitingIntervalMs is the interval between two counts of the waiting jobs for the metrics, in milliseconds.
const waitingIntervalMs = 1000

// waitingJobs counts jobs that no worker has begun, as far as the workers' reports tell.
type waitingJobs struct {
	// queued is the number of jobs in phase queued.
	queued int
	// unlisted is the number of jobs in phase running of which no worker has listed a task.
	unlisted int
	// oldestMs is the greatest age among both, in milliseconds since their acceptance or their first due time.
	oldestMs int64
}

// add counts a job if it waits.
func (c *waitingJobs) add(s *Scheduler, j *jobs.Job) {
	switch {
	case j.Phase == batch.PhaseQueued:
		c.queued++
	case !s.listed(j):
		c.unlisted++
	default:
		return
	}
	c.oldestMs = max(c.oldestMs, s.wallMs()-max(j.Spec.AcceptedMs, j.Spec.DueMs(0)))
}

// listed reports whether a worker has listed a task of a job, or one has ended by itself.
func (s *Scheduler) listed(j *jobs.Job) bool {
	for index := range j.Tasks {
		t := &j.Tasks[index]
		if t.Done || t.Failures > 0 || t.Checkpoint != "" {
			return true
		}
		id := j.TaskID(index)
		for _, r := range t.Attempts {
			w := s.workers[r.Worker]
			if w != nil && w.running[id] != nil && w.running[id].number == r.Number {
				return true
			}
		}
	}
	return false
}

// logWaitingJobs logs what a count of a queue's waiting jobs was based on.
func (s *Scheduler) logWaitingJobs(key batch.QueueKey, answered int) {
	var waiting waitingJobs
	active, unqueued := 0, 0
	for _, job := range s.jobs {
		if job.state.Spec.Queue != key {
			if job.state.Phase == batch.PhaseQueued && s.currentConfiguration().Queue(job.state.Spec.Queue) == nil {
				unqueued++
			}
			continue
		}
		active++
		waiting.add(s, job.state)
	}
	s.options.Logger.Info("waiting_jobs_counted", zap.String("host", key.Host), zap.String("path", key.Prefix),
		zap.Int("answered", answered), zap.Int("queued", waiting.queued), zap.Int("unlisted", waiting.unlisted),
		zap.Int64("oldest_ms", waiting.oldestMs), zap.Int("active", active), zap.Int("without_queue", unqueued),
		zap.Uint64("configuration", s.currentConfiguration().Version), zap.Uint64("term", s.term),
		zap.Int64("confirmed_ms_ago", s.now()-s.leadership.confirmedMs))
}

// observeWaitingJobs sets the metrics of waiting jobs, by pool.
func (s *Scheduler) observeWaitingJobs(now int64) {
	if now-s.waitingCountedMs < waitingIntervalMs {
		return
	}
	s.waitingCountedMs = now
	for _, p := range s.currentConfiguration().Pools {
		var waiting waitingJobs
		for _, job := range s.queueOf(p.Name).jobs {
			waiting.add(s, job.state)
		}
		setWaitingGauges(p.Name, waiting)
	}
}

// clearWaitingGauges sets the metrics of waiting jobs to 0: only the leader counts them.
func (s *Scheduler) clearWaitingGauges() {
	for pool := range s.queues {
		setWaitingGauges(pool, waitingJobs{})
	}
}

func setWaitingGauges(pool string, waiting waitingJobs) {
	labels := hist.Labels{Service: pool}
	metrics.GetOrCreateGauge(hist.Name("cowslip_jobs_queued", labels), nil).Set(float64(waiting.queued))
	metrics.GetOrCreateGauge(hist.Name("cowslip_jobs_unlisted", labels), nil).Set(float64(waiting.unlisted))
	oldest := time.Duration(waiting.oldestMs) * time.Millisecond
	metrics.GetOrCreateGauge(hist.Name("cowslip_jobs_oldest_waiting_seconds", labels), nil).Set(oldest.Seconds())
}
