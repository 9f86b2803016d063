package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

// What the leader keeps of a worker's last heartbeat, in bytes.
const (
	workerBytes    = 1200
	labelBytes     = 16
	listedRowBytes = 250
)

// reportBytes returns about how many bytes the leader keeps of a heartbeat.
func reportBytes(h *batch.Heartbeat) int64 {
	bytes := workerBytes + len(h.Worker) + len(h.Pool) + len(h.Address) + listedRowBytes*len(h.Running)
	for _, label := range h.Labels {
		bytes += labelBytes + len(label)
	}
	return int64(bytes)
}

// refuseReport refuses a heartbeat for which there is no memory, and reports whether it did. Workers on VMs of the list, and those that
// have got tasks, are always heard: the memory is for those of which nothing is known but what they say.
func (s *Scheduler) refuseReport(h *batch.Heartbeat, reply func(batch.Reply)) bool {
	if s.fleet.byWorker[h.Worker] != "" || len(s.options.Log.Batch().TasksOn(h.Worker)) > 0 {
		return false
	}
	others := s.reportBytes
	if w := s.workers[h.Worker]; w != nil {
		others -= w.reportBytes
	}
	// One alone may be larger than the limit.
	if limit := s.options.ReportMemoryBytes; others <= limit/2 || others+reportBytes(h) <= limit {
		return false
	}
	heartbeatsWithoutMemoryTotal.Inc()
	s.options.Logger.Warn("heartbeat_refused_for_memory", zap.String("worker", h.Worker), zap.Int("workers", len(s.workers)),
		zap.Int64("used", s.reportBytes), zap.Int64("limit", s.options.ReportMemoryBytes), zap.Uint64("term", s.term))
	reply(batch.Reply{Code: batch.CodeOverloaded, Detail: "too many workers that are on no VM of the list report"})
	return true
}

// keepReport counts the memory of a worker's last heartbeat.
func (s *Scheduler) keepReport(w *worker, h *batch.Heartbeat) {
	bytes := reportBytes(h)
	s.reportBytes += bytes - w.reportBytes
	w.reportBytes = bytes
}

// forget removes what is known of a worker that has been silent for long.
func (s *Scheduler) forget(w *worker) {
	s.reportBytes -= w.reportBytes
	delete(s.workers, w.id)
	if s.workerByAddress[w.address] == w.id {
		delete(s.workerByAddress, w.address)
	}
}
