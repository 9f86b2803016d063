package sched

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

// heartbeat takes a worker's report and answers it with orders, once what they rest on is committed.
func (e *Scheduler) heartbeat(h *batch.Heartbeat, reply func(batch.Reply)) {
	w := e.worker(h.Worker)
	now := e.now()
	if !e.admit(w, h, now) {
		// It says nothing new; the worker waits for no answer to it.
		reply(batch.Reply{Code: batch.CodeOK})
		return
	}
	acknowledge := e.takeEnds(w, h)
	stops := e.takeRunning(w, h, now)
	orders := batch.Orders{Stop: stops, Pace: e.pace(w), NextMs: e.nextCall(w, now)}
	if w.usable(now) {
		orders.Start = e.give(w, h.Sequence, now)
	}
	lease := withDrift(e.lease())
	received := now
	if len(orders.Start) > 0 {
		w.lapseMs = max(w.lapseMs, now+lease)
	}
	e.commit(func(ok bool) {
		if !ok {
			reply(batch.Reply{Code: batch.CodeUnknown, Detail: "the leadership changed before the orders were committed"})
			return
		}
		e.whenFresh(func(ok bool) {
			if !ok {
				reply(batch.Reply{Code: batch.CodeUnknown, Detail: "the leadership isn't confirmed"})
				return
			}
			e.answer(w, h, &orders, acknowledge)
			if e.now()-received > replyWithinMs {
				// The worker has given this answer up, or soon will: what is started in it would run unseen.
				orders.Start, orders.LeaseMs = nil, 0
			} else {
				w.lapseMs = max(w.lapseMs, e.now()+lease)
			}
			reply(batch.Reply{Code: batch.CodeOK, Orders: orders})
		})
	})
}

// admit says whether a heartbeat is the newest of its worker, and takes what the worker says of itself.
func (e *Scheduler) admit(w *worker, h *batch.Heartbeat, now int64) bool {
	switch {
	case h.Incarnation < w.incarnation:
		e.options.Logger.Info("heartbeat_outdated", zap.String("worker", w.id), zap.Int64("incarnation", h.Incarnation),
			zap.Int64("known", w.incarnation))
		return false
	case h.Incarnation > w.incarnation:
		e.begin(w, h)
	case h.Sequence <= w.sequence:
		return false
	case w.left:
		// This life is known to be over: the heartbeat was on its way when it ended.
		e.options.Logger.Info("heartbeat_outdated", zap.String("worker", w.id), zap.Int64("incarnation", h.Incarnation),
			zap.Uint64("sequence", h.Sequence))
		return false
	}
	other := e.workers[e.addresses[h.Address]]
	if other != nil && other != w && other.address == h.Address && other.incarnation < h.Incarnation {
		// Another life serves at the address: the former one is gone, unless it has come back elsewhere meanwhile.
		e.loseAll(other, other.incarnation, "address_taken_over")
		other.left = true
	}
	if w.draining != h.Draining || w.pool != h.Pool {
		e.options.Logger.Info("worker_changed", zap.String("worker", w.id), zap.String("pool", h.Pool),
			zap.Bool("draining", h.Draining), zap.Int64("remaining_ms", h.RemainingMs), zap.Uint64("sequence", h.Sequence))
	}
	e.addresses[h.Address] = w.id
	w.inherited = false
	w.sequence, w.heardMs = h.Sequence, now
	w.pool, w.address, w.draining = h.Pool, h.Address, h.Draining
	w.capacity, w.labels, w.rack = h.Capacity, h.Labels, rackOf(h.Labels)
	return true
}

// begin takes notice of a worker's new life: what ran in the former one is gone.
func (e *Scheduler) begin(w *worker, h *batch.Heartbeat) {
	if w.incarnation > 0 {
		e.loseAll(w, w.incarnation, "worker_restarted")
	}
	e.options.Logger.Info("worker_joined", zap.String("worker", w.id), zap.String("pool", h.Pool),
		zap.Int64("incarnation", h.Incarnation), zap.Int64("former", w.incarnation), zap.Strings("labels", h.Labels))
	*w = worker{
		id: w.id, incarnation: h.Incarnation, running: map[batch.TaskID]*attempt{}, share: fullShare, lapseMs: w.lapseMs,
	}
}

// loseAll ends all attempts that ran in one life of a worker, or in earlier ones.
func (e *Scheduler) loseAll(w *worker, incarnation int64, cause string) {
	lost := 0
	for id := range e.options.Log.Book().RunsOn(w.id) {
		_, t := e.find(id)
		for _, r := range t.Runs {
			if r.Worker == w.id && r.Incarnation <= incarnation {
				e.end(id, r.Attempt, batch.EndLost, "")
				lost++
			}
		}
	}
	if lost > 0 {
		e.options.Logger.Info("attempts_lost", zap.String("worker", w.id), zap.Int64("incarnation", incarnation),
			zap.Int("count", lost), zap.String("cause", cause), zap.Int64("silent_ms", e.now()-w.heardMs))
	}
}

// end adds the end of an attempt to the next record.
func (e *Scheduler) end(id batch.TaskID, number int, kind batch.EndKind, checkpoint string) {
	countEnd(kind)
	delete(e.stopping, id)
	e.commits.next.Ends = append(e.commits.next.Ends, batch.End{
		Task: id, Attempt: number, Kind: kind, Checkpoint: checkpoint, TimeMs: e.wall(),
	})
}

// takeEnds records the ends that a worker lists, and returns the last one's number.
func (e *Scheduler) takeEnds(w *worker, h *batch.Heartbeat) uint64 {
	last := w.acknowledged
	for i := range h.Ended {
		n := &h.Ended[i]
		last = max(last, n.Number)
		if n.Number <= w.acknowledged {
			continue
		}
		began := w.running[n.Task]
		delete(w.running, n.Task)
		j, t := e.find(n.Task)
		if t == nil || t.Find(n.Attempt) == nil {
			continue
		}
		e.end(n.Task, n.Attempt, n.Kind, n.Checkpoint)
		e.blame(w, n)
		if n.Kind == batch.EndDone && began != nil {
			e.learnScale(j.Job.Queue, e.now()-began.sinceMs, j.Job.Steps[n.Task.Step].EstimateMs)
		}
		if n.Kind != batch.EndDone {
			e.options.Logger.Info("attempt_ended", zap.String("job", n.Task.Job), zap.Int("step", n.Task.Step),
				zap.Int("index", n.Task.Index), zap.Int("attempt", n.Attempt), zap.Stringer("kind", n.Kind),
				zap.String("worker", w.id), zap.Int("failures", t.Failures))
		}
	}
	return last
}

// takeRunning compares what runs with the book: it works out the room that is left, and returns what is to be stopped.
func (e *Scheduler) takeRunning(w *worker, h *batch.Heartbeat, now int64) []batch.StopOrder {
	var stops []batch.StopOrder
	seen := make(map[batch.TaskID]*attempt, len(h.Running))
	w.free = w.capacity
	for i := range h.Running {
		r := &h.Running[i]
		a := e.follow(w, r, now)
		seen[r.Task] = a
		j, t := e.find(r.Task)
		if t == nil {
			// What it takes is no longer known: the worker counts as full until it is gone.
			w.free = batch.Capacity{}
			stops = append(stops, batch.StopOrder{Task: r.Task, Attempt: r.Attempt})
			continue
		}
		step := &j.Job.Steps[r.Task.Step]
		w.free = w.free.Less(step.Room())
		if t.Find(r.Attempt) == nil {
			e.strays[r.Task] = now + strayMs
		}
		switch {
		case j.Phase.Over() || t.Done || t.Find(r.Attempt) == nil || step.Gang && broken(j, r.Task, r.Attempt),
			e.stopping[r.Task] == r.Attempt:
			stops = append(stops, batch.StopOrder{Task: r.Task, Attempt: r.Attempt})
		case e.frozen(step, a, now):
			e.options.Logger.Info("attempt_stands_still", zap.String("job", r.Task.Job), zap.Int("step", r.Task.Step),
				zap.Int("index", r.Task.Index), zap.Int("attempt", r.Attempt), zap.String("worker", w.id),
				zap.Int("percent", a.percent), zap.Int64("for_ms", now-a.movedMs))
			stops = append(stops, batch.StopOrder{Task: r.Task, Attempt: r.Attempt})
			a.movedMs = now
			e.blameWorker(w, "attempts_stand_still")
		}
	}
	w.running = seen
	e.missing(w, h)
	return stops
}

// follow returns what is known of a listed attempt.
func (e *Scheduler) follow(w *worker, r *batch.Running, now int64) *attempt {
	a := w.running[r.Task]
	if a == nil || a.number != r.Attempt {
		a = &attempt{number: r.Attempt, sinceMs: now, movedMs: now, share: fullShare}
	}
	if a.percent != r.Percent {
		a.percent, a.movedMs = r.Percent, now
	}
	a.load = r.Load
	return a
}

// frozen says whether an attempt that should be moving stands still.
func (e *Scheduler) frozen(step *batch.Step, a *attempt, now int64) bool {
	if step.LongRunning || step.Gang || step.Fills || a.share < fullShare {
		return false
	}
	return now-a.movedMs > max(frozenMs, step.EstimateMs/frozenParts)
}

// missing ends attempts that were ordered before this heartbeat was sent and that the worker lists neither as running nor ended.
func (e *Scheduler) missing(w *worker, h *batch.Heartbeat) {
	for id := range e.options.Log.Book().RunsOn(w.id) {
		_, t := e.find(id)
		for _, r := range t.Runs {
			if r.Worker != w.id || r.Incarnation != h.Incarnation || r.Sequence >= h.Sequence {
				continue
			}
			if a := w.running[id]; a != nil && a.number == r.Attempt {
				continue
			}
			if slices.ContainsFunc(h.Ended, func(n batch.Ended) bool { return n.Task == id && n.Attempt == r.Attempt }) {
				continue
			}
			e.options.Logger.Info("attempt_not_begun", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("index", id.Index),
				zap.Int("attempt", r.Attempt), zap.String("worker", w.id), zap.Uint64("ordered", r.Sequence),
				zap.Uint64("sequence", h.Sequence))
			e.end(id, r.Attempt, batch.EndLost, "")
		}
	}
}

// answer completes the orders with what is committed by now.
func (e *Scheduler) answer(w *worker, h *batch.Heartbeat, o *batch.Orders, acknowledge uint64) {
	if w.incarnation == h.Incarnation {
		w.acknowledged = max(w.acknowledged, acknowledge)
	}
	o.LeaseMs, o.Acknowledged, o.Token = e.lease(), acknowledge, e.term
	if len(e.workers) <= directWorkers {
		o.Leader = e.options.Control
	}
	o.Start = slices.DeleteFunc(o.Start, func(s batch.StartOrder) bool {
		j, t := e.find(s.Task)
		return t == nil || j.Phase.Over() || t.Find(s.Attempt) == nil
	})
	for i := range o.Start {
		s := &o.Start[i]
		startsTotal.Inc()
		e.options.Logger.Info("attempt_ordered", zap.String("job", s.Task.Job), zap.Int("occurrence", s.Task.Occurrence),
			zap.Int("step", s.Task.Step), zap.Int("index", s.Task.Index), zap.Int("attempt", s.Attempt), zap.String("worker", w.id),
			zap.Uint64("sequence", h.Sequence), zap.Uint64("term", e.term))
	}
}

func (e *Scheduler) nextCall(w *worker, now int64) int64 {
	least := int64(len(e.workers)) * milli / callsPerS
	switch {
	case !w.usable(now):
		return max(least, drainCallMs)
	case e.queue(w.pool).demand > 0:
		return max(least, idleCallMs)
	case len(w.running) > 0:
		return max(least, busyCallMs)
	default:
		return max(least, restCallMs)
	}
}

// leave takes notice that a worker's life is over; what a former life said late is not heeded.
func (e *Scheduler) leave(l *batch.Leaving, reply func(batch.Reply)) {
	w := e.workers[l.Worker]
	if w != nil && (l.Incarnation == 0 || l.Incarnation >= w.incarnation) {
		w.left = true
		e.options.Logger.Info("worker_left", zap.String("worker", w.id), zap.String("pool", w.pool),
			zap.Int64("incarnation", l.Incarnation), zap.Int("running", len(e.options.Log.Book().RunsOn(w.id))))
		e.loseAll(w, w.incarnation, "worker_left")
	}
	e.settle(reply, batch.Reply{Code: batch.CodeOK})
}
