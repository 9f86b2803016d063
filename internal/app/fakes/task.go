package fakes

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// doTask starts, changes or stops one attempt of a job.
func (p *Platform) doTask(v *platformVM, o fleet.Operation) fleet.OperationState {
	t := v.tasks[o.Job]
	switch {
	case t != nil && o.Attempt < t.task.Attempt:
		return fleet.OperationStale
	case t != nil && (o.ID == t.operation || (o.Verb == fleet.VerbStart && o.Attempt == t.task.Attempt)):
		return fleet.OperationDone
	case !v.machine.Up || (t == nil && o.Verb != fleet.VerbStart && o.Verb != fleet.VerbStop):
		return fleet.OperationFailed
	}
	now := p.options.Clock.Now()
	if o.Verb == fleet.VerbStart {
		t = &platformTask{task: fleet.Task{Job: o.Job, Attempt: o.Attempt, State: fleet.TaskRunning}, began: now, truth: Truth{Used: o.Size}}
		if p.options.Truth != nil {
			t.truth = p.options.Truth(o.Job, v.machine.Name)
		}
		v.tasks[o.Job] = t
	}
	if t == nil {
		return fleet.OperationDone
	}
	t.operation = o.ID
	if !o.LeaseUntil.IsZero() {
		t.lease = o.LeaseUntil
	}
	switch o.Verb {
	case fleet.VerbThrottle:
		t.task.State = fleet.TaskThrottled
	case fleet.VerbRestore:
		t.task.State = fleet.TaskRunning
	case fleet.VerbStop:
		delete(v.tasks, o.Job)
	default:
	}
	p.touch(v)
	return fleet.OperationDone
}

// advanceTask reports a task's use after the lag, and ends it when its time or its lease is over.
func (p *Platform) advanceTask(v *platformVM, t *platformTask, now time.Time) {
	before := t.task
	runs := t.task.State == fleet.TaskRunning || t.task.State == fleet.TaskThrottled
	switch {
	case runs && !t.lease.IsZero() && !now.Before(t.lease):
		t.task.State = fleet.TaskStopped
	case runs && t.truth.Lasts > 0 && now.Sub(t.began) >= t.truth.Lasts:
		t.task.State = fleet.TaskEnded
		if t.truth.Fails {
			t.task.State = fleet.TaskFailed
		}
	}
	if now.Sub(t.began) >= p.options.Lag {
		t.task.Used = t.truth.Used
	}
	if t.task != before {
		p.touch(v)
	}
}
