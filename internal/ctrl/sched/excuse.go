package sched

import (
	"cowslipstack/internal/plan/crash"
)

// crashTogetherMs is how far apart the last heartbeats of workers may be that crash at the same moment.
const crashTogetherMs = 200

// crashExcuse is why the end of a worker shows nothing about the tasks that it ran; the zero value means that it may.
type crashExcuse int

const (
	excuseNone            crashExcuse = iota // none
	excuseLeft                               // left before
	excuseDraining                           // draining
	excuseNotHeard                           // not heard by this leader
	excuseOrdered                            // ordered away
	excuseOrderedFormerly                    // ordered away by a former leader
	excuseCutOff                             // cut off before
)

func (s *Scheduler) excuseOf(w *worker) crashExcuse {
	name := s.fleet.byWorker[w.id]
	v := s.fleet.vms[name]
	switch {
	case w.left:
		return excuseLeft
	case w.draining:
		return excuseDraining
	case w.inherited:
		return excuseNotHeard
	case v != nil && (v.orderPending || v.unverifiedMs > 0 || v.awayUntilMs > w.heardMs):
		return excuseOrdered
	case s.fleet.maybeDownUntilMs[name] > s.now():
		return excuseOrderedFormerly
	case w.upUnheardMs() >= w.intervalMs+overdueMarginMs:
		return excuseCutOff
	}
	return excuseNone
}

// crashedTogether reports whether so many workers of a worker's pool were lost at the same moment that it may not be for their
// tasks.
func (s *Scheduler) crashedTogether(w *worker) bool {
	now, windowMs := s.now(), max(crashTogetherMs, w.intervalMs)
	// lost holds, by address, whether the worker that ran there then was lost with this one.
	lost := map[string]bool{w.address: true}
	for _, other := range s.workers {
		if other.pool != w.pool || other.address == w.address || other.joinedMs > w.heardMs || other.heardMs < w.heardMs-windowMs {
			continue
		}
		gone := other.crashed || other.listedDown || !other.left && now-other.heardMs > silentMs
		lost[other.address] = lost[other.address] || gone && other.heardMs <= w.heardMs+windowMs
	}
	crashed := 0
	for _, gone := range lost {
		if gone {
			crashed++
		}
	}
	return crash.HaveCommonCause(crashed, len(lost))
}

// upUnheardMs returns for how long a worker is known to have been up since its last heartbeat and the orders that answered it.
func (w *worker) upUnheardMs() int64 {
	return max(0, w.listedUpMs-max(w.heardMs, w.lastOrderMs))
}
