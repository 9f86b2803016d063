package jobs

import (
	"cowslipstack/internal/model/batch"
)

// countCrash counts the crash of a worker under a task, and fails the job if the task is given up. An attempt that has run
// clears its task.
func (m *StateMachine) countCrash(j *Job, t *Task, end *batch.AttemptEnd, nowMs int64) {
	if !j.Spec.Steps[end.Task.Step].Gang {
		t.countCrashBeside(end)
	}
	switch {
	case end.Crashed:
		t.Crashes++
	case end.OutlivedStart || end.Kind.ShowsBegun(j.Spec.Steps[end.Task.Step].Gang):
		t.Crashes = 0
	}
	if end.GivenUp && !t.Done {
		m.endJob(j, batch.PhaseFailed, nowMs)
	}
}

// countCrashBeside counts the crash of a worker while it started or ran a task. Only an attempt that ended by itself or has
// run for long clears its task: one that has begun may crash its worker later.
func (t *Task) countCrashBeside(end *batch.AttemptEnd) {
	switch {
	case end.Crashed || end.CrashedLater:
		t.CrashesBeside++
	case end.RanLong || end.Kind == batch.EndDone || end.Kind == batch.EndFailed:
		t.CrashesBeside = 0
	}
}

// noteCrash adds to the crashes of workers that were starting an attempt of a task.
func (m *StateMachine) noteCrash(id batch.TaskID, n int) {
	j, t := m.FindTask(id)
	if t == nil || j.Phase.IsTerminal() {
		return
	}
	t.Crashes = max(0, t.Crashes+n)
	if !j.Spec.Steps[id.Step].Gang {
		t.CrashesBeside = max(0, t.CrashesBeside+n)
	}
	m.markChanged(id.Job)
}
