package sched

import (
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

const (
	// maxIncarnationMs is the year 9999 in Unix milliseconds.
	maxIncarnationMs = 253_402_300_799_999
	// maxClockAheadMs is how far a worker's clock may be ahead of this process's for its restart to be believed.
	maxClockAheadMs = 24 * 60 * 60 * milli
	// maxSequenceStep is above the step between any two heartbeats of one incarnation.
	maxSequenceStep = 1 << 40
	// maxEndNumber is above the number of ends in any incarnation.
	maxEndNumber = 1 << 32
)

// checkHeartbeat returns an error if a heartbeat has a number that no worker sends. Such a heartbeat of another writer
// would displace the worker whose identity or address it bears.
func (s *Scheduler) checkHeartbeat(h *batch.Heartbeat) error {
	w := s.workers[h.Worker]
	switch {
	case !h.Capacity.InRange():
		return errors.Newf("the capacity %+v is out of range", h.Capacity)
	case h.Incarnation < 0 || h.Incarnation > maxIncarnationMs:
		return errors.Newf("the incarnation %d is no time", h.Incarnation)
	case s.farAhead(h.Incarnation) && (supersedes(h.Incarnation, w) || supersedes(h.Incarnation, s.workerAt(h.Address))):
		return errors.Newf("the incarnation %d is far ahead of the clock, and another is known", h.Incarnation)
	case w != nil && w.sequence > 0 && h.Incarnation == w.incarnation && h.Sequence > w.sequence && h.Sequence-w.sequence > maxSequenceStep:
		return errors.Newf("the sequence %d is far ahead of %d", h.Sequence, w.sequence)
	default:
		return nil
	}
}

// farAhead reports whether an incarnation began further in the future than clocks differ.
func (s *Scheduler) farAhead(incarnation int64) bool {
	return incarnation > s.wallMs()+maxClockAheadMs
}

// supersedes reports whether an incarnation is newer than that of a known worker.
func supersedes(incarnation int64, w *worker) bool {
	return w != nil && incarnation > w.incarnation
}

// workerAt returns the worker last heard at an address, nil if there is none.
func (s *Scheduler) workerAt(address string) *worker {
	w := s.workers[s.workerByAddress[address]]
	if w == nil || w.address != address {
		return nil
	}
	return w
}

// noteUnreadRows logs how many rows of a worker's heartbeats can't be read, whenever that number changes.
func (s *Scheduler) noteUnreadRows(w *worker, h *batch.Heartbeat) {
	if rows := h.UnreadRunning + h.UnreadEnded; rows != w.unreadRows {
		w.unreadRows = rows
		s.options.Logger.Warn("heartbeat_rows_unread", zap.String("worker", w.id), zap.Int("running", h.UnreadRunning),
			zap.Int("ended", h.UnreadEnded))
	}
}

// dropImpossibleEnds removes the end reports with a number that no worker reaches, since acknowledging one would make the
// worker forget all later ends. They are logged once for each incarnation.
func (s *Scheduler) dropImpossibleEnds(w *worker, h *batch.Heartbeat) {
	h.Ended = slices.DeleteFunc(h.Ended, func(n batch.EndReport) bool {
		if n.Number <= maxEndNumber {
			return false
		}
		if !w.endsDropped {
			w.endsDropped = true
			s.options.Logger.Warn("end_report_ignored", zap.String("worker", w.id), zap.Uint64("number", n.Number),
				zap.String("job", n.Task.Job), zap.Int("step", n.Task.Step), zap.Int("index", n.Task.Index))
		}
		return true
	})
}
