package jobs

import (
	"slices"

	"cowslipstack/internal/model/batch"
)

// Crashes returns how many workers have crashed under a task or its gang since it was last known to run.
func (j *Job) Crashes(id batch.TaskID) int {
	if !j.Spec.Steps[id.Step].Gang {
		return j.Tasks[j.FirstTask(id.Occurrence, id.Step)+id.Index].Crashes
	}
	if index := j.stepAt(id.Occurrence, id.Step); index < len(j.GangCrashes) {
		return j.GangCrashes[index]
	}
	return 0
}

// setCrashes sets how many workers have crashed under a task or its gang.
func (j *Job) setCrashes(id batch.TaskID, count int) {
	if !j.Spec.Steps[id.Step].Gang {
		j.Tasks[j.FirstTask(id.Occurrence, id.Step)+id.Index].Crashes = count
		return
	}
	index := j.stepAt(id.Occurrence, id.Step)
	if missing := index + 1 - len(j.GangCrashes); missing > 0 {
		j.GangCrashes = append(j.GangCrashes, slices.Repeat([]int{0}, missing)...)
	}
	j.GangCrashes[index] = count
}

// countCrash counts the crash of a worker under a task, and fails the job if the task is given up. An attempt that has run
// clears its task.
func (m *StateMachine) countCrash(j *Job, t *Task, end *batch.AttemptEnd, nowMs int64) {
	if !j.Spec.Steps[end.Task.Step].Gang {
		t.countCrashBeside(end)
	}
	switch crashes := j.Crashes(end.Task); {
	case end.Crashed:
		j.setCrashes(end.Task, crashes+1)
	case crashes > 0 && (end.Begun || end.Kind.ShowsBegun(j.Spec.Steps[end.Task.Step].Gang)):
		j.setCrashes(end.Task, 0)
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
