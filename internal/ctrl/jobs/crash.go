package jobs

import (
	"cowslipstack/internal/model/batch"
)

// countCrash counts the crash of a worker under a task, and fails the job if the task is given up. An attempt that has run
// clears its task.
func (m *StateMachine) countCrash(j *Job, t *Task, end *batch.AttemptEnd, nowMs int64) {
	switch {
	case end.Crashed:
		t.Crashes++
	case end.Begun || end.Kind.ShowsBegun(j.Spec.Steps[end.Task.Step].Gang):
		t.Crashes = 0
	}
	if end.GivenUp && !t.Done {
		m.endJob(j, batch.PhaseFailed, nowMs)
	}
}
