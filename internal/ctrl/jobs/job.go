package jobs

import (
	"cowslipstack/internal/model/batch"
)

// NewJob returns a queued job without attempts.
func NewJob(j batch.Job) *Job {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	job := &Job{JobRecord: &JobRecord{
		Spec: j, Phase: batch.PhaseQueued,
		Tasks:        make([]Task, tasks*j.Occurrences()),
		GangFailures: make([]int, len(j.Steps)*j.Occurrences()),
	}}
	job.derive()
	return job
}

// derive recomputes the values that are derived from the record.
func (j *Job) derive() {
	j.offsets = make([]int, len(j.Spec.Steps)+1)
	for i := range j.Spec.Steps {
		j.offsets[i+1] = j.offsets[i] + j.Spec.Steps[i].Count
	}
	j.TasksLeft, j.LiveAttempts = make([]int, len(j.Spec.Steps)*j.Spec.Occurrences()), 0
	if len(j.Spec.Steps) == 0 {
		return
	}
	for index := range j.Tasks {
		id := j.TaskID(index)
		if !j.Tasks[index].Done {
			j.TasksLeft[j.stepAt(id.Occurrence, id.Step)]++
		}
		j.LiveAttempts += len(j.Tasks[index].Attempts)
	}
}

// stepAt returns the index of a step in TasksLeft and GangFailures.
func (j *Job) stepAt(occurrence, step int) int {
	return occurrence*len(j.Spec.Steps) + step
}

// TasksPerOccurrence returns the number of tasks of one occurrence.
func (j *Job) TasksPerOccurrence() int {
	return j.offsets[len(j.offsets)-1]
}

// FirstTask returns the index in Tasks at which a step's tasks begin.
func (j *Job) FirstTask(occurrence, step int) int {
	return occurrence*j.TasksPerOccurrence() + j.offsets[step]
}

// TaskID returns the identity of the task at an index in Tasks.
func (j *Job) TaskID(index int) batch.TaskID {
	id := batch.TaskID{Job: j.Spec.ID, Occurrence: index / j.TasksPerOccurrence()}
	index %= j.TasksPerOccurrence()
	for id.Step+1 < len(j.offsets)-1 && index >= j.offsets[id.Step+1] {
		id.Step++
	}
	id.Index = index - j.offsets[id.Step]
	return id
}

// Task returns a task by its identity, nil if the job has no such task.
func (j *Job) Task(id batch.TaskID) *Task {
	if id.Occurrence < 0 || id.Occurrence >= j.Spec.Occurrences() || id.Step < 0 || id.Step >= len(j.Spec.Steps) ||
		id.Index < 0 || id.Index >= j.Spec.Steps[id.Step].Count {
		return nil
	}
	return &j.Tasks[j.FirstTask(id.Occurrence, id.Step)+id.Index]
}

// StepTasksLeft returns the number of tasks of a step that aren't done.
func (j *Job) StepTasksLeft(occurrence, step int) int {
	return j.TasksLeft[j.stepAt(occurrence, step)]
}

// StepOpen reports whether all steps that a step depends on are done.
func (j *Job) StepOpen(occurrence, step int) bool {
	for _, dependency := range j.Spec.Steps[step].After {
		if j.StepTasksLeft(occurrence, dependency) > 0 {
			return false
		}
	}
	return true
}

// FindAttempt returns an attempt that may be running, nil if there is none with this number.
func (t *Task) FindAttempt(attempt int) *Attempt {
	for i := range t.Attempts {
		if t.Attempts[i].Number == attempt {
			return &t.Attempts[i]
		}
	}
	return nil
}
