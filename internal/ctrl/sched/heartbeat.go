package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// handleHeartbeat applies a worker's report that arrived at an uptime in milliseconds, and replies with orders once the
// changes behind them are committed.
func (s *Scheduler) handleHeartbeat(h *batch.Heartbeat, arrivedMs int64, reply func(batch.Reply)) {
	if err := s.checkHeartbeat(h); err != nil {
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: err.Error()})
		return
	}
	if s.refuseReport(h, reply) {
		return
	}
	w := s.workerOf(h.Worker)
	now := s.now()
	if !s.acceptHeartbeat(w, h, now) {
		// The heartbeat carries nothing new, and the worker doesn't wait for a reply to it.
		reply(batch.Reply{Code: batch.CodeOK})
		return
	}
	s.keepReport(w, h)
	s.noteUnreadRows(w, h)
	s.dropImpossibleEnds(w, h)
	acknowledge := s.recordEnds(w, h)
	stops := s.reconcileRunning(w, h, now)
	orders := batch.Orders{Stop: stops, Pace: s.pace(w)}
	if w.takesOrders(now) {
		orders.Start = s.assignTasks(w, h.Sequence, now)
	}
	w.intervalMs = s.nextHeartbeatMs(w, now)
	orders.NextHeartbeatMs = w.intervalMs
	lease := withClockDrift(s.workerLeaseMs())
	if len(orders.Start) > 0 {
		w.leaseEndMs = max(w.leaseEndMs, now+lease)
	}
	s.commit(func(ok bool) {
		if !ok {
			reply(batch.Reply{Code: batch.CodeUnknown, Detail: "the leadership changed before the orders were committed"})
			return
		}
		if w.incarnation != h.Incarnation {
			// The incarnation that asked is over, and the one in its place would obey what was meant for it.
			s.endUnsentOrders(w, orders.Start)
			reply(batch.Reply{Code: batch.CodeOK})
			return
		}
		s.completeOrders(w, h, &orders, acknowledge)
		w.repliesEndMs = max(w.repliesEndMs, arrivedMs+replyWindowMs)
		if s.now()-arrivedMs > maxReplyDelayMs || w.sequence != h.Sequence || w.left {
			// The worker has left, or has given up on this reply or soon will; a task started in it would run unnoticed,
			// or where a newer heartbeat shows no room for it.
			s.endUnsentOrders(w, orders.Start)
			orders.Start, orders.LeaseMs = nil, 0
		} else {
			w.leaseEndMs = max(w.leaseEndMs, s.now()+lease)
			w.noteOrdered(h, &orders, s.now())
			s.logOrders(w, h, orders.Start)
		}
		reply(batch.Reply{Code: batch.CodeOK, Orders: orders})
	})
}

// acceptHeartbeat reports whether a heartbeat is the newest of its worker and, if so, updates what is known of the
// worker.
func (s *Scheduler) acceptHeartbeat(w *worker, h *batch.Heartbeat, now int64) bool {
	switch {
	case h.Incarnation < w.incarnation || h.Incarnation > 0 && h.Incarnation <= w.leftIncarnation:
		s.options.Logger.Info("heartbeat_outdated", zap.String("worker", w.id), zap.Int64("incarnation", h.Incarnation),
			zap.Int64("known", w.incarnation))
		return false
	case h.Incarnation > w.incarnation:
		s.beginIncarnation(w, h)
	case h.Sequence <= w.sequence:
		return false
	case w.left && !s.hasReturned(w, now):
		// This incarnation has ended; the heartbeat was sent before that.
		s.options.Logger.Info("heartbeat_outdated", zap.String("worker", w.id), zap.Int64("incarnation", h.Incarnation),
			zap.Uint64("sequence", h.Sequence))
		return false
	}
	if other := s.workerAt(h.Address); other != w && supersedes(h.Incarnation, other) {
		// A newer incarnation serves at this address: the former worker is gone, unless it has returned at another
		// address.
		s.handleSuccessor(other, h, "address_taken_over")
		other.left = true
		s.fleet.listWanted = true
	}
	if w.draining != h.Draining || w.pool != h.Pool {
		s.options.Logger.Info("worker_changed", zap.String("worker", w.id), zap.String("pool", h.Pool),
			zap.Bool("draining", h.Draining), zap.Int64("remaining_ms", h.RemainingMs), zap.Uint64("sequence", h.Sequence))
	}
	s.workerByAddress[h.Address] = w.id
	w.left, w.unnamedLeaveMs = false, 0
	w.discountSilence(now)
	w.inherited = false
	w.sequence, w.heardMs = h.Sequence, now
	if w.firstClockMs == 0 {
		w.firstClockMs = h.ClockMs
	}
	w.pool, w.address, w.draining = h.Pool, h.Address, h.Draining
	w.capacity, w.labels, w.rack = h.Capacity, h.Labels, rackOf(h.Labels)
	return true
}

// handleSuccessor ends all attempts on a worker in whose place another incarnation has sent a heartbeat. In its pool it has
// crashed; in another pool it was replaced or moved.
func (s *Scheduler) handleSuccessor(w *worker, h *batch.Heartbeat, cause string) {
	if h.Pool == w.pool {
		s.handleCrash(w, cause, neverGone)
		return
	}
	s.loseAttempts(w, w.incarnation, cause, neverGone)
}

// beginIncarnation resets a worker that has restarted; the attempts of its former incarnation are lost, or in doubt.
func (s *Scheduler) beginIncarnation(w *worker, h *batch.Heartbeat) {
	if w.incarnation > 0 {
		s.handleSuccessor(w, h, "worker_restarted")
	}
	s.options.Logger.Info("worker_joined", zap.String("worker", w.id), zap.String("pool", h.Pool),
		zap.Int64("incarnation", h.Incarnation), zap.Int64("former", w.incarnation), zap.Strings("labels", h.Labels))
	s.releaseAbandoned(w)
	*w = worker{
		id: w.id, incarnation: h.Incarnation, running: map[batch.TaskID]*attempt{}, share: fullSharePercent, leaseEndMs: w.leaseEndMs,
		joinedMs: s.now(), repliesEndMs: w.repliesEndMs, formerRepliesEndMs: w.repliesEndMs, inDoubt: w.inDoubt, vm: w.vm,
		reportBytes: w.reportBytes,
	}
}

// endAttempt adds an attempt's end, as of now, to the next command.
func (s *Scheduler) endAttempt(end batch.AttemptEnd) {
	countEnd(end.Kind)
	delete(s.stopping, end.Task)
	end.TimeMs = s.wallMs()
	s.proposals.pending.Ends = append(s.proposals.pending.Ends, end)
}

// recordEnds records the ends that a worker reports, and returns the highest number that it may forget. While there are more
// rows than before that can't be read, it forgets none: its next heartbeat may list them readably.
func (s *Scheduler) recordEnds(w *worker, h *batch.Heartbeat) uint64 {
	last := w.acknowledged
	for i := range h.Ended {
		report := &h.Ended[i]
		last = max(last, report.Number)
		if report.Number <= w.acknowledged {
			continue
		}
		tracked := w.running[report.Task]
		if tracked != nil && tracked.number == report.Attempt {
			delete(w.running, report.Task)
		}
		j, t := s.findTask(report.Task)
		if t == nil {
			continue
		}
		if t.FindAttempt(report.Attempt) == nil {
			if !jobs.EndsLate(j, t, report.Task, report.Attempt, report.Kind) {
				continue
			}
			s.options.Logger.Info("attempt_done_late", zap.String("job", report.Task.Job), zap.Int("step", report.Task.Step),
				zap.Int("index", report.Task.Index), zap.Int("attempt", report.Attempt), zap.Int("last", t.LastAttempt),
				zap.Int("running", len(t.Attempts)), zap.String("worker", w.id), zap.Uint64("number", report.Number))
		}
		s.endAttempt(batch.AttemptEnd{
			Task: report.Task, Attempt: report.Attempt, Kind: report.Kind, Checkpoint: report.Checkpoint, Reported: true,
			RanLong: tracked != nil && tracked.number == report.Attempt && s.now()-tracked.sinceMs >= ranLongMs,
		})
		delete(w.inDoubt, attemptID{task: report.Task, attempt: report.Attempt})
		s.noteOutcome(w, report)
		if report.Kind == batch.EndDone && tracked != nil && tracked.orderedMs > 0 {
			// Of what a former leader ordered it isn't known for how long it had run when this one first heard of it.
			s.learnScale(j.Spec.Queue, s.now()-tracked.sinceMs, j.Spec.Steps[report.Task.Step].EstimateMs)
		}
		if report.Kind != batch.EndDone {
			s.options.Logger.Info("attempt_ended", zap.String("job", report.Task.Job), zap.Int("step", report.Task.Step),
				zap.Int("index", report.Task.Index), zap.Int("attempt", report.Attempt), zap.Stringer("kind", report.Kind),
				zap.String("worker", w.id), zap.Int("failures", t.Failures))
		}
	}
	if h.UnreadEnded > w.unreadEnded {
		return w.acknowledged
	}
	return last
}

// completeOrders fills in the orders from what is committed by now.
func (s *Scheduler) completeOrders(w *worker, h *batch.Heartbeat, o *batch.Orders, acknowledge uint64) {
	w.acknowledged = max(w.acknowledged, acknowledge)
	o.LeaseMs, o.Acknowledged, o.FencingToken = s.workerLeaseMs(), acknowledge, s.term
	if len(s.workers) <= maxDirectWorkers {
		o.Leader = s.options.ControlAddress
	}
	o.Start = slices.DeleteFunc(o.Start, func(start batch.StartOrder) bool {
		j, t := s.findTask(start.Task)
		return t == nil || j.Phase.IsTerminal() || t.FindAttempt(start.Attempt) == nil
	})
}

// nextHeartbeatMs returns after how many milliseconds a worker sends its next heartbeat.
func (s *Scheduler) nextHeartbeatMs(w *worker, now int64) int64 {
	minIntervalMs := int64(len(s.workers)) * milli / maxHeartbeatsPerS
	switch {
	case w.moreEnds:
		return max(minIntervalMs, moreEndsHeartbeatMs)
	case now < w.formerRepliesEndMs || len(w.inDoubt) > 0 && now-w.joinedMs <= 2*replyWindowMs:
		return max(minIntervalMs, demandHeartbeatMs)
	case !w.usable(now):
		return max(minIntervalMs, unusableHeartbeatMs)
	case w.suspect != (suspectStart{}):
		return max(minIntervalMs, trialHeartbeatMs)
	case s.heardQueue(w).hasReady():
		return max(minIntervalMs, demandHeartbeatMs)
	case len(w.running) > 0:
		return max(minIntervalMs, busyHeartbeatMs)
	default:
		return max(minIntervalMs, idleHeartbeatMs)
	}
}
