package sched

import (
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// worker is what the leader knows of one worker.
type worker struct {
	id          string
	pool        string
	address     string
	incarnation int64
	// sequence is the last heartbeat of this incarnation that was heard.
	sequence uint64
	// heardMs and lapseMs are when it was last heard, and when its lease has lapsed by any clock, by uptime.
	heardMs int64
	lapseMs int64
	// inherited means that this leader has not heard it yet.
	inherited bool
	draining  bool
	left      bool
	capacity  batch.Capacity
	labels    []string
	rack      string
	// free is what was left after the last heartbeat and the orders given since.
	free batch.Capacity
	// acknowledged is the last end of this incarnation that is recorded.
	acknowledged uint64
	// running are the attempts of the last heartbeat.
	running map[batch.TaskID]*attempt
	// starting is the count of starts that are proposed and not yet applied.
	starting int
	// failures counts attempts that failed or stood still there since one was done; shunnedMs is until when it gets no tasks.
	failures  int
	shunnedMs int64
	// share is the pace of the tasks that fill there, in percent.
	share int
}

// attempt is what is known of one attempt that a worker lists.
type attempt struct {
	number  int
	percent int
	load    float64
	// sinceMs and movedMs are when it was first listed, and when its progress last moved, by uptime.
	sinceMs int64
	movedMs int64
	// share is the pace that it was told, in percent.
	share int
}

func (e *Scheduler) worker(id string) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{id: id, running: map[batch.TaskID]*attempt{}, share: fullShare}
		e.workers[id] = w
	}
	return w
}

// fullShare is the pace of a task that isn't slowed, in percent.
const fullShare = 100

// rackLabel is the place of the rack among a worker's labels.
const rackLabel = 1

func rackOf(labels []string) string {
	if len(labels) <= rackLabel {
		return ""
	}
	return labels[rackLabel]
}

// usable says whether a worker takes new tasks.
func (w *worker) usable(now int64) bool {
	return !w.draining && !w.left && !w.inherited && now >= w.shunnedMs
}

// tried says whether a worker that was shunned of late has yet to do a task: it gets one at a time.
func (w *worker) tried(now int64) bool {
	return w.shunnedMs > 0 && now < w.shunnedMs+blameWindowMs && w.failures >= blameFailures-1
}

// lapse gives up what runs on workers whose lease has lapsed by any clock.
func (e *Scheduler) lapse(now int64) {
	for id, w := range e.workers {
		if w.lapseMs > 0 && w.lapseMs <= now {
			w.lapseMs = 0
			lapsesTotal.Inc()
			e.loseAll(w, w.incarnation, "lease_lapsed")
		}
		if w.lapseMs == 0 && now-w.heardMs >= forgetMs {
			delete(e.workers, id)
		}
	}
}

// forgetStrays drops tasks whose given-up attempts are no longer listed.
func (e *Scheduler) forgetStrays(now int64) {
	for id, until := range e.strays {
		if until <= now {
			delete(e.strays, id)
		}
	}
}

// forgetMs is how long a silent worker is remembered, in milliseconds.
const forgetMs = 15_000

// atWorkPercent is the progress at which a lasting task is at work.
const atWorkPercent = 100

// atWork says whether a lasting task is known to be at work.
func (e *Scheduler) atWork(t *jobs.Task, id batch.TaskID) bool {
	for _, r := range t.Runs {
		w := e.workers[r.Worker]
		if w == nil || w.draining || w.left || e.now()-w.heardMs > silentMs {
			continue
		}
		name := e.fleet.byWorker[w.id]
		if v := e.fleet.vms[name]; v != nil && (v.ordered || v.doneMs > 0 || e.fleet.maybeDown[name] > e.now()) {
			// An order that ends it is under way, or a former leader's may be.
			continue
		}
		if a := w.running[id]; a != nil && a.number == r.Attempt && a.percent >= atWorkPercent {
			return true
		}
	}
	return false
}
