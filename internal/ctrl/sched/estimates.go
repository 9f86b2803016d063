package sched

import (
	"cowslipstack/internal/model/batch"
)

// mean is a mean over the latest values.
type mean struct {
	value float64
	count int
}

// meanWindow bounds how many values a mean remembers.
const meanWindow = 50

func (m *mean) add(value float64) {
	m.count = min(m.count+1, meanWindow)
	m.value += (value - m.value) / float64(m.count)
}

// learned is what the leader has seen of the queues' jobs; it is lost with the leadership.
type learned struct {
	// scale is how long tasks take against their estimates.
	scale map[batch.QueueKey]*mean
	// work is the work of jobs, in core-milliseconds.
	work map[batch.QueueKey]*mean
}

const (
	// leastScale and mostScale bound what one queue's estimates are corrected by.
	leastScale = 0.2
	mostScale  = 5
	// enoughSeen is the count of values from which a mean is trusted.
	enoughSeen = 5
)

// scaleOf returns how long a queue's tasks take against their estimates.
func (l *learned) scaleOf(q batch.QueueKey) float64 {
	m := l.scale[q]
	if m == nil || m.count < enoughSeen {
		return 1
	}
	return min(mostScale, max(leastScale, m.value))
}

// meanWork returns the mean work of a queue's jobs, in core-milliseconds; own where too few were seen.
func (l *learned) meanWork(q batch.QueueKey, own int64) int64 {
	m := l.work[q]
	if m == nil || m.count < enoughSeen {
		return max(1, own)
	}
	return max(1, int64(m.value))
}

// learnWork takes the work of a job that is over into its queue's mean.
func (e *Scheduler) learnWork(w *work) {
	if w.item.Lasting {
		return
	}
	meanOf(e.learned.work, w.job.Job.Queue).add(float64(w.item.TotalMs))
}

// learnScale takes the time of a task that is done into its queue's mean.
func (e *Scheduler) learnScale(q batch.QueueKey, tookMs, estimateMs int64) {
	if estimateMs > 0 && tookMs > 0 {
		meanOf(e.learned.scale, q).add(float64(tookMs) / float64(estimateMs))
	}
}

func meanOf(all map[batch.QueueKey]*mean, q batch.QueueKey) *mean {
	if all[q] == nil {
		all[q] = &mean{}
	}
	return all[q]
}
