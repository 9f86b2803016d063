package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// inspect answers an operator's query from the leader's current view.
func (s *Scheduler) inspect(i *batch.InspectRequest) batch.Reply {
	view := &batch.Inspection{}
	switch i.Topic {
	case batch.TopicOverview:
		view.Overview = s.overview()
	case batch.TopicJob:
		j := s.options.Log.Batch().Job(i.Job)
		if j == nil {
			return batch.Reply{Code: batch.CodeGone, Detail: "no such job, or it ended long ago"}
		}
		view.Job = s.jobView(j)
	case batch.TopicWorkers:
		view.Workers = s.workerViews()
	case batch.TopicVMs:
		view.VMs = s.vmViews()
	case batch.TopicAccounts:
		view.Accounts = s.accountViews()
	default:
		return batch.Reply{Code: batch.CodeInvalid, Detail: "this version doesn't know the topic"}
	}
	return batch.Reply{Code: batch.CodeOK, Inspection: view}
}

func (s *Scheduler) overview() *batch.Overview {
	machine, now := s.options.Log.Batch(), s.now()
	o := &batch.Overview{
		Leader: s.options.ProcessName, Term: s.term, LeaderAgeMs: now - s.activeSinceMs, ConfirmedAgeMs: now - s.leadership.confirmedMs,
		Version: s.currentConfiguration().Version, Queues: len(s.currentConfiguration().Queues), Members: s.options.Members(),
	}
	for _, j := range machine.Jobs() {
		switch j.Phase {
		case batch.PhaseQueued:
			o.Queued++
		case batch.PhaseRunning:
			o.Running++
		default:
			o.Ended++
		}
	}
	for _, p := range s.currentConfiguration().Pools {
		o.Pools = append(o.Pools, s.poolView(p, now))
	}
	for _, w := range machine.State().Waves {
		o.Waves = append(o.Waves, batch.WaveView{
			ID: w.ID, Begun: len(w.Begun) + len(w.Gone), VMs: len(w.VMs), MaxConcurrent: w.MaxConcurrent, LeftMs: w.AcceptedMs + w.DurationMs - s.wallMs(),
		})
	}
	return o
}

func (s *Scheduler) poolView(p batch.Pool, now int64) batch.PoolView {
	view := batch.PoolView{Name: p.Name, Standby: p.Standby, Ready: s.queueOf(p.Name).demand}
	for _, v := range s.fleet.vms {
		if v.Pool == p.Name {
			view.VMs++
		}
	}
	for _, w := range s.workers {
		if w.pool != p.Name {
			continue
		}
		view.Running += len(w.running)
		if w.usable(now) && now-w.heardMs < maxSilenceMs {
			view.Workers++
		}
	}
	return view
}

func (s *Scheduler) jobView(j *jobs.Job) *batch.JobView {
	view := &batch.JobView{ID: j.Spec.ID, Pool: s.poolOf(j), Phase: j.Phase, AgeMs: s.wallMs() - j.Spec.AcceptedMs}
	if job := s.jobs[j.Spec.ID]; job != nil {
		view.SlackMs = s.slackMs(job, s.wallMs())
	}
	if j.Phase.IsTerminal() || len(j.Spec.Steps) == 0 {
		return view
	}
	for occurrence := range j.Spec.Occurrences() {
		if due := j.Spec.DueMs(occurrence); due > 0 && s.wallMs() < due {
			break
		}
		for stepIndex := range j.Spec.Steps {
			view.Steps = append(view.Steps, s.stepView(view, j, occurrence, stepIndex))
		}
	}
	return view
}

// stepView returns the state of a step, and adds its attempts to the job's view.
func (s *Scheduler) stepView(view *batch.JobView, j *jobs.Job, occurrence, stepIndex int) batch.StepView {
	step := batch.StepView{Occurrence: occurrence, Step: stepIndex, Tasks: j.Spec.Steps[stepIndex].Count}
	waiting, first := 0, j.FirstTask(occurrence, stepIndex)
	for i := range j.Spec.Steps[stepIndex].Count {
		t := &j.Tasks[first+i]
		step.Failures += t.Failures
		id := batch.TaskID{Job: j.Spec.ID, Occurrence: occurrence, Step: stepIndex, Index: i}
		switch {
		case t.Done:
			step.Done++
		case slices.ContainsFunc(t.Attempts, func(r jobs.Attempt) bool { return s.percentOf(r, id) >= 0 }):
			step.Running++
		case len(t.Attempts) > 0:
			step.Ordered++
		default:
			waiting++
		}
		for _, r := range t.Attempts {
			view.Attempts = append(view.Attempts, batch.AttemptView{Task: id, Attempt: r.Number, Worker: r.Worker, Percent: s.percentOf(r, id)})
		}
	}
	if waiting > 0 {
		step.WaitingFor = s.waitsFor(j, occurrence, stepIndex)
	}
	return step
}

// percentOf returns the progress of an attempt, -1 if its worker hasn't listed it.
func (s *Scheduler) percentOf(r jobs.Attempt, id batch.TaskID) int {
	w := s.workers[r.Worker]
	if w == nil || w.running[id] == nil || w.running[id].number != r.Number {
		return -1
	}
	return w.running[id].percent
}

// waitsFor describes what a step's tasks that haven't started wait for.
func (s *Scheduler) waitsFor(j *jobs.Job, occurrence, stepIndex int) string {
	step, pool, now := &j.Spec.Steps[stepIndex], s.poolOf(j), s.now()
	if !j.StepOpen(occurrence, stepIndex) {
		return fmt.Sprintf("for steps %v", step.After)
	}
	if !s.mayHoldMore(j, batch.TaskID{Step: stepIndex}, 1) {
		return fmt.Sprintf("for the limit of the account %s", j.Spec.Account)
	}
	need := step.ReservedResources()
	usable, labelled, capable, fitting, mostFree := 0, 0, 0, 0, batch.Resources{}
	for _, w := range s.workers {
		if w.pool != pool || !w.usable(now) || now-w.heardMs >= maxSilenceMs || s.fleet.leaving(w) {
			continue
		}
		usable++
		if step.RequiredLabel == "" || slices.Contains(w.labels, step.RequiredLabel) {
			labelled++
			if w.capacity.Covers(need) {
				capable++
			}
			if w.free.Covers(need) {
				fitting++
			}
			if labelled == 1 || w.free.CPUMilli > mostFree.CPUMilli {
				mostFree = w.free
			}
		}
	}
	switch {
	case usable == 0:
		return fmt.Sprintf("for a worker: pool %s has none that takes tasks", pool)
	case labelled == 0:
		return fmt.Sprintf("for a worker with the label %s: none of %d has it", step.RequiredLabel, usable)
	case capable == 0:
		return fmt.Sprintf("for capacity: %s are needed, none of %d workers has as much at present", describeNeed(need), labelled)
	case fitting == 0:
		return fmt.Sprintf("for room: %s are needed, the freest of %d workers has %d and %d",
			describeNeed(need), labelled, mostFree.CPUMilli, mostFree.MemoryMB)
	case s.needsPermit(j):
		return "for advice on the workers, or for their next heartbeat"
	default:
		return fmt.Sprintf("for the next heartbeat of %d workers with room, or behind other jobs", fitting)
	}
}

// describeNeed describes what a task reserves; accelerators only if it needs some.
func describeNeed(need batch.Resources) string {
	if need.Accelerators > 0 {
		return fmt.Sprintf("%d milli, %d MB and %d accelerators", need.CPUMilli, need.MemoryMB, need.Accelerators)
	}
	return fmt.Sprintf("%d milli and %d MB", need.CPUMilli, need.MemoryMB)
}

func (s *Scheduler) workerViews() []batch.WorkerView {
	all, now := make([]batch.WorkerView, 0, len(s.workers)), s.now()
	for _, w := range s.workers {
		all = append(all, batch.WorkerView{
			ID: w.id, Pool: w.pool, VM: s.fleet.byWorker[w.id], State: s.stateOf(w, now), Running: len(w.running), Free: w.free,
			HeartbeatAgeMs: now - w.heardMs, LeaseMs: max(0, w.leaseEndMs-now), BestEffortPercent: w.share,
		})
	}
	slices.SortFunc(all, func(a, b batch.WorkerView) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID)) })
	return all
}

// stateOf describes whether a worker takes tasks, and if not, why.
func (s *Scheduler) stateOf(w *worker, now int64) string {
	switch {
	case w.left:
		return "left"
	case w.inherited:
		return "not heard since the leader changed"
	case w.draining:
		return "draining"
	case now < w.formerRepliesEndMs:
		return "has just restarted"
	case now < w.quarantineUntilMs:
		return "shunned"
	case s.fleet.leaving(w):
		return "kept free for its VM's leave"
	case now-w.heardMs >= maxSilenceMs:
		return "silent"
	default:
		return "takes tasks"
	}
}

func (s *Scheduler) vmViews() []batch.VMView {
	all, now := make([]batch.VMView, 0, len(s.fleet.vms)), s.now()
	for _, name := range slices.Sorted(maps.Keys(s.fleet.vms)) {
		v := s.fleet.vms[name]
		all = append(all, batch.VMView{
			Name: name, Pool: v.Pool, Worker: v.Worker, State: v.State.String(), Plan: v.plan(now), ListingAgeMs: now - v.listedMs,
		})
	}
	slices.SortStableFunc(all, func(a, b batch.VMView) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}

// plan describes what is about to be done with a VM; empty for nothing.
func (v *vm) plan(now int64) string {
	switch {
	case v.fenced:
		return "left to another leader"
	case v.orderPending:
		return "an order is under way"
	case v.unverifiedMs > 0 || now < v.awayUntilMs:
		return "on its way"
	case v.drainForWave:
		return "runs empty for maintenance"
	case v.drainForMove:
		return "runs empty to move"
	case v.waveDue:
		return "to be maintained"
	default:
		return ""
	}
}
