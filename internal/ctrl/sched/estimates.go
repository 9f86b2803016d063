package sched

import (
	"cowslipstack/internal/model/batch"
)

// mean is a running mean weighted towards the latest values.
type mean struct {
	value float64
	count int
}

// meanWindow limits the weight of past values in a mean, as a number of values.
const meanWindow = 50

func (m *mean) add(value float64) {
	m.count = min(m.count+1, meanWindow)
	m.value += (value - m.value) / float64(m.count)
}

// estimates are corrections learned from the queues' jobs; they are lost with the leadership.
type estimates struct {
	// scale is the ratio of actual to estimated task duration.
	scale map[batch.QueueKey]*mean
	// work is the total work of a job, in core-milliseconds.
	work map[batch.QueueKey]*mean
}

const (
	// minScale and maxScale limit the correction of a queue's estimates.
	minScale = 0.2
	maxScale = 5
	// minSamples is the number of values from which a mean is used.
	minSamples = 5
)

// scaleOf returns the ratio of actual to estimated task duration in a queue; 1 with too few samples.
func (e *estimates) scaleOf(q batch.QueueKey) float64 {
	m := e.scale[q]
	if m == nil || m.count < minSamples {
		return 1
	}
	return min(maxScale, max(minScale, m.value))
}

// meanWork returns the mean work of a queue's jobs in core-milliseconds; own with too few samples.
func (e *estimates) meanWork(q batch.QueueKey, own int64) int64 {
	m := e.work[q]
	if m == nil || m.count < minSamples {
		return max(1, own)
	}
	return max(1, int64(m.value))
}

// learnWork adds the work of an ended job to its queue's mean; jobs with long-running tasks are left out.
func (s *Scheduler) learnWork(job *activeJob) {
	if job.item.LongRunning {
		return
	}
	meanOf(s.estimates.work, job.state.Spec.Queue).add(float64(job.item.TotalWorkMs))
}

// learnScale adds the duration of a finished task to its queue's mean.
func (s *Scheduler) learnScale(q batch.QueueKey, tookMs, estimateMs int64) {
	if estimateMs > 0 && tookMs > 0 {
		meanOf(s.estimates.scale, q).add(float64(tookMs) / float64(estimateMs))
	}
}

func meanOf(all map[batch.QueueKey]*mean, q batch.QueueKey) *mean {
	if all[q] == nil {
		all[q] = &mean{}
	}
	return all[q]
}
