package sched

import (
	"fmt"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

// maxOrdersPerLine limits the orders that one line of the log names.
const maxOrdersPerLine = 64

// logOrders adds the starts that a worker is told in the reply to a heartbeat to the log. Orders share lines, so that none is left
// out where there are more of them than lines of one event that may be written.
func (s *Scheduler) logOrders(w *worker, h *batch.Heartbeat, starts []batch.StartOrder) {
	for i := range starts {
		start := &starts[i]
		startsTotal.Inc()
		s.ordered = append(s.ordered, fmt.Sprintf("%s.%d.%d.%d#%d %s/%d",
			start.Task.Job, start.Task.Occurrence, start.Task.Step, start.Task.Index, start.Attempt, w.id, h.Sequence))
		if len(s.ordered) >= maxOrdersPerLine {
			s.flushOrdered()
		}
	}
}

// flushOrdered writes the orders that were collected.
func (s *Scheduler) flushOrdered() {
	if len(s.ordered) == 0 {
		return
	}
	s.options.Logger.Info("attempts_ordered", zap.Strings("attempts", s.ordered), zap.Uint64("term", s.term))
	s.ordered = nil
}
