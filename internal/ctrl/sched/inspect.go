package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// inspect answers an operator's question from what the leader knows at this moment.
func (e *Scheduler) inspect(i *batch.Inspect) batch.Reply {
	view := &batch.Inspection{}
	switch i.Topic {
	case batch.TopicOverview:
		view.Overview = e.overview()
	case batch.TopicJob:
		j := e.options.Log.Book().Job(i.Job)
		if j == nil {
			return batch.Reply{Code: batch.CodeGone, Detail: "no such job, or it ended long ago"}
		}
		view.Job = e.jobView(j)
	case batch.TopicWorkers:
		view.Workers = e.workerViews()
	case batch.TopicVMs:
		view.VMs = e.vmViews()
	default:
		return batch.Reply{Code: batch.CodeInvalid, Detail: "this version doesn't know the topic"}
	}
	return batch.Reply{Code: batch.CodeOK, Inspection: view}
}

func (e *Scheduler) overview() *batch.Overview {
	book, now := e.options.Log.Book(), e.now()
	o := &batch.Overview{
		Leader: e.options.Holder, Term: e.term, LedMs: now - e.activeMs, ConfirmedMs: now - e.fresh.confirmedMs,
		Version: e.current().Version, Queues: len(e.current().Queues), Members: e.options.Members(),
	}
	for _, j := range book.Jobs() {
		switch j.Phase {
		case batch.PhaseQueued:
			o.Queued++
		case batch.PhaseRunning:
			o.Running++
		default:
			o.Ended++
		}
	}
	for _, p := range e.current().Pools {
		o.Pools = append(o.Pools, e.poolView(p, now))
	}
	for _, w := range book.State().Waves {
		o.Waves = append(o.Waves, batch.WaveView{
			ID: w.ID, Begun: len(w.Begun), VMs: len(w.VMs), AtOnce: w.MostAtOnce, LeftMs: w.AcceptedMs + w.DurationMs - e.wall(),
		})
	}
	return o
}

func (e *Scheduler) poolView(p batch.Pool, now int64) batch.PoolView {
	view := batch.PoolView{Name: p.Name, Standby: p.Standby, Ready: e.queue(p.Name).demand}
	for _, v := range e.fleet.vms {
		if v.Pool == p.Name {
			view.VMs++
		}
	}
	for _, w := range e.workers {
		if w.pool != p.Name {
			continue
		}
		view.Running += len(w.running)
		if w.usable(now) && now-w.heardMs < silentMs {
			view.Workers++
		}
	}
	return view
}

func (e *Scheduler) jobView(j *jobs.Job) *batch.JobView {
	view := &batch.JobView{ID: j.Job.ID, Pool: e.poolOf(j), Phase: j.Phase, AgeMs: e.wall() - j.Job.AcceptedMs}
	if one := e.jobs[j.Job.ID]; one != nil {
		view.SlackMs = j.Job.AcceptedMs + one.objectiveMs - one.chainMs - e.wall()
	}
	if j.Phase.Over() || len(j.Job.Steps) == 0 {
		return view
	}
	for k := range j.Job.Occurrences() {
		if due := j.Job.Due(k); due > 0 && e.wall() < due {
			break
		}
		for s := range j.Job.Steps {
			view.Steps = append(view.Steps, e.stepView(view, j, k, s))
		}
	}
	return view
}

// stepView returns how a step stands, and adds its attempts to the job's.
func (e *Scheduler) stepView(view *batch.JobView, j *jobs.Job, k, s int) batch.StepView {
	step := batch.StepView{Occurrence: k, Step: s, Tasks: j.Job.Steps[s].Count}
	waiting, at := 0, j.Place(k, s)
	for i := range j.Job.Steps[s].Count {
		t := &j.Tasks[at+i]
		step.Failures += t.Failures
		id := batch.TaskID{Job: j.Job.ID, Occurrence: k, Step: s, Index: i}
		switch {
		case t.Done:
			step.Done++
		case len(t.Runs) > 0:
			step.Running++
		default:
			waiting++
		}
		for _, r := range t.Runs {
			view.Runs = append(view.Runs, batch.RunView{Task: id, Attempt: r.Attempt, Worker: r.Worker, Percent: e.percent(r, id)})
		}
	}
	if waiting > 0 {
		step.Waits = e.waits(j, k, s)
	}
	return step
}

// percent returns how far an attempt has come, -1 where its worker hasn't listed it.
func (e *Scheduler) percent(r jobs.Run, id batch.TaskID) int {
	if w := e.workers[r.Worker]; w != nil && w.running[id] != nil {
		return w.running[id].percent
	}
	return -1
}

// waits tells what a step's tasks that haven't started wait for.
func (e *Scheduler) waits(j *jobs.Job, k, s int) string {
	step, pool, now := &j.Job.Steps[s], e.poolOf(j), e.now()
	if !j.Open(k, s) {
		return fmt.Sprintf("for steps %v", step.After)
	}
	usable, label, room, largest := 0, 0, 0, batch.Capacity{}
	for _, w := range e.workers {
		if w.pool != pool || !w.usable(now) || now-w.heardMs >= silentMs || e.fleet.held(w) {
			continue
		}
		usable++
		if step.RequiredLabel == "" || slices.Contains(w.labels, step.RequiredLabel) {
			label++
			if w.free.Holds(step.Room()) {
				room++
			}
			if w.free.CPUMilli > largest.CPUMilli {
				largest = w.free
			}
		}
	}
	need := step.Room()
	switch {
	case usable == 0:
		return fmt.Sprintf("for a worker: pool %s has none that takes tasks", pool)
	case label == 0:
		return fmt.Sprintf("for a worker with the label %s: none of %d has it", step.RequiredLabel, usable)
	case room == 0:
		return fmt.Sprintf("for room: %d milli and %d MB are needed, the freest of %d workers has %d and %d",
			need.CPUMilli, need.MemoryMB, label, largest.CPUMilli, largest.MemoryMB)
	case e.advised(j):
		return "for advice on the workers, or for their next heartbeat"
	default:
		return fmt.Sprintf("for the next heartbeat of %d workers with room, or behind other jobs", room)
	}
}

func (e *Scheduler) workerViews() []batch.WorkerView {
	all, now := make([]batch.WorkerView, 0, len(e.workers)), e.now()
	for _, w := range e.workers {
		all = append(all, batch.WorkerView{
			ID: w.id, Pool: w.pool, VM: e.fleet.byWorker[w.id], State: e.stateOf(w, now), Running: len(w.running), Free: w.free,
			HeardMs: now - w.heardMs, LeaseMs: max(0, w.lapseMs-now), Share: w.share,
		})
	}
	slices.SortFunc(all, func(a, b batch.WorkerView) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID)) })
	return all
}

// stateOf tells whether a worker takes tasks, and why not.
func (e *Scheduler) stateOf(w *worker, now int64) string {
	switch {
	case w.left:
		return "left"
	case w.inherited:
		return "not heard since the leader changed"
	case w.draining:
		return "draining"
	case now < w.shunnedMs:
		return "shunned"
	case e.fleet.held(w):
		return "kept free for its VM's leave"
	case now-w.heardMs >= silentMs:
		return "silent"
	default:
		return "takes tasks"
	}
}

func (e *Scheduler) vmViews() []batch.VMView {
	all, now := make([]batch.VMView, 0, len(e.fleet.vms)), e.now()
	for _, name := range slices.Sorted(maps.Keys(e.fleet.vms)) {
		v := e.fleet.vms[name]
		all = append(all, batch.VMView{
			Name: name, Pool: v.Pool, Worker: v.Worker, State: v.State.String(), Plan: v.plan(now), ListedMs: now - v.listedMs,
		})
	}
	slices.SortStableFunc(all, func(a, b batch.VMView) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}

// plan tells what is to be done with a VM.
func (v *vm) plan(now int64) string {
	switch {
	case v.fenced:
		return "left to another leader"
	case v.ordered:
		return "an order is under way"
	case v.doneMs > 0 || now < v.awayMs:
		return "on its way"
	case v.maintain:
		return "runs empty for maintenance"
	case v.leaving:
		return "runs empty to move"
	case v.due:
		return "to be maintained"
	default:
		return ""
	}
}
