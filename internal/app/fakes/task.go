package fakes

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// applyTaskOperation starts, throttles, restores or stops one attempt of a job, or renews its lease.
func (p *Platform) applyTaskOperation(v *simulatedVM, o fleet.Operation) fleet.OperationState {
	t := v.tasks[o.Job]
	switch {
	case t != nil && o.Attempt < t.task.Attempt:
		return fleet.OperationStale
	case t != nil && (o.ID == t.operationID || (o.Verb == fleet.VerbStart && o.Attempt == t.task.Attempt)):
		return fleet.OperationDone
	case !v.machine.Up || (t == nil && o.Verb != fleet.VerbStart && o.Verb != fleet.VerbStop):
		return fleet.OperationFailed
	}
	now := p.options.Clock.Now()
	if o.Verb == fleet.VerbStart {
		t = &simulatedTask{task: fleet.Task{Job: o.Job, Attempt: o.Attempt, State: fleet.TaskRunning}, startedAt: now, profile: TaskProfile{Used: o.Size}}
		if p.options.Profile != nil {
			t.profile = p.options.Profile(o.Job, v.machine.Name)
		}
		v.tasks[o.Job] = t
	}
	if t == nil {
		return fleet.OperationDone
	}
	t.operationID = o.ID
	if !o.LeaseUntil.IsZero() {
		t.leaseUntil = o.LeaseUntil
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
	p.markChanged(v)
	return fleet.OperationDone
}

// updateTask reports a task's resource use once UsageLag is over, and ends the task when its duration or its lease
// is over.
func (p *Platform) updateTask(v *simulatedVM, t *simulatedTask, now time.Time) {
	before := t.task
	runs := t.task.State == fleet.TaskRunning || t.task.State == fleet.TaskThrottled
	switch {
	case runs && !t.leaseUntil.IsZero() && !now.Before(t.leaseUntil):
		t.task.State = fleet.TaskStopped
	case runs && t.profile.Duration > 0 && now.Sub(t.startedAt) >= t.profile.Duration:
		t.task.State = fleet.TaskEnded
		if t.profile.Fails {
			t.task.State = fleet.TaskFailed
		}
	}
	if now.Sub(t.startedAt) >= p.options.UsageLag {
		t.task.Used = t.profile.Used
	}
	if t.task != before {
		p.markChanged(v)
	}
}
