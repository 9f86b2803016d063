package jobs

import (
	"cowslipstack/internal/model/batch"
)

// newJob returns a job of which nothing has begun.
func newJob(j batch.Job) *Job {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	n := &Job{Record: &Record{
		Job: j, Phase: batch.PhaseQueued,
		Tasks:        make([]Task, tasks*j.Occurrences()),
		GangFailures: make([]int, len(j.Steps)*j.Occurrences()),
	}}
	n.settle()
	return n
}

// settle works out what follows from the tasks.
func (j *Job) settle() {
	j.offsets = make([]int, len(j.Job.Steps)+1)
	for i := range j.Job.Steps {
		j.offsets[i+1] = j.offsets[i] + j.Job.Steps[i].Count
	}
	j.Left, j.Live = make([]int, len(j.Job.Steps)*j.Job.Occurrences()), 0
	if len(j.Job.Steps) == 0 {
		return
	}
	for at := range j.Tasks {
		id := j.TaskID(at)
		if !j.Tasks[at].Done {
			j.Left[j.stepAt(id.Occurrence, id.Step)]++
		}
		j.Live += len(j.Tasks[at].Runs)
	}
}

func (j *Job) stepAt(occurrence, step int) int {
	return occurrence*len(j.Job.Steps) + step
}

// Size returns the count of tasks of one occurrence.
func (j *Job) Size() int {
	return j.offsets[len(j.offsets)-1]
}

// Place returns where a step's tasks begin in Tasks.
func (j *Job) Place(occurrence, step int) int {
	return occurrence*j.Size() + j.offsets[step]
}

// TaskID returns the name of the task at a place.
func (j *Job) TaskID(at int) batch.TaskID {
	id := batch.TaskID{Job: j.Job.ID, Occurrence: at / j.Size()}
	at %= j.Size()
	for id.Step+1 < len(j.offsets)-1 && at >= j.offsets[id.Step+1] {
		id.Step++
	}
	id.Index = at - j.offsets[id.Step]
	return id
}

// Task returns a task by its name, nil where the job has none of that name.
func (j *Job) Task(id batch.TaskID) *Task {
	if id.Occurrence < 0 || id.Occurrence >= j.Job.Occurrences() || id.Step < 0 || id.Step >= len(j.Job.Steps) ||
		id.Index < 0 || id.Index >= j.Job.Steps[id.Step].Count {
		return nil
	}
	return &j.Tasks[j.Place(id.Occurrence, id.Step)+id.Index]
}

// StepLeft returns how many tasks of a step aren't done.
func (j *Job) StepLeft(occurrence, step int) int {
	return j.Left[j.stepAt(occurrence, step)]
}

// Open says whether all steps that come before a step are done.
func (j *Job) Open(occurrence, step int) bool {
	for _, before := range j.Job.Steps[step].After {
		if j.StepLeft(occurrence, before) > 0 {
			return false
		}
	}
	return true
}

// Find returns the attempt of a task that may be running, nil where there is none.
func (t *Task) Find(attempt int) *Run {
	for i := range t.Runs {
		if t.Runs[i].Attempt == attempt {
			return &t.Runs[i]
		}
	}
	return nil
}
