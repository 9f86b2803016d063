package sched

import (
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/order"
	"cowslipstack/internal/plan/pools"
)

// describeJob computes which tasks of a job could start, and its scheduling inputs.
func (s *Scheduler) describeJob(j *jobs.Job) *activeJob {
	job := &activeJob{state: j, waiting: j.Phase == batch.PhaseQueued, item: order.Item{ID: j.Spec.ID}}
	scale := s.estimates.scaleOf(j.Spec.Queue)
	var chains []float64
	for occurrence := range j.Spec.Occurrences() {
		if due := j.Spec.DueMs(occurrence); due > 0 && s.wallMs() < due-earlyStartMs {
			job.nextDueMs = due
			break
		}
		if job.sinceMs == 0 && !occurrenceDone(j, occurrence) {
			job.sinceMs = max(j.Spec.SubmittedMs(), j.Spec.DueMs(occurrence))
		}
		chains = chains[:0]
		for stepIndex := range j.Spec.Steps {
			chains = append(chains, s.describeStep(job, occurrence, stepIndex, scale, chains))
			job.criticalPathMs = max(job.criticalPathMs, int64(chains[stepIndex]))
		}
	}
	s.setOrderInputs(job)
	return job
}

// occurrenceDone reports whether all tasks of an occurrence are done.
func occurrenceDone(j *jobs.Job, occurrence int) bool {
	for step := range j.Spec.Steps {
		if j.StepTasksLeft(occurrence, step) > 0 {
			return false
		}
	}
	return true
}

// describeStep adds a step to the job's view and returns the length of its longest remaining chain in milliseconds,
// including the steps that it depends on.
func (s *Scheduler) describeStep(job *activeJob, occurrence, stepIndex int, scale float64, chains []float64) float64 {
	j := job.state
	step := &j.Spec.Steps[stepIndex]
	taskMs := float64(step.EstimateMs) * scale
	job.item.TotalWorkMs += int64(float64(step.Count) * taskMs * float64(step.Need.CPUMilli) / milli)
	dependenciesMs := 0.0
	for _, dependency := range step.After {
		dependenciesMs = max(dependenciesMs, chains[dependency])
	}
	left := j.StepTasksLeft(occurrence, stepIndex)
	if left == 0 {
		return dependenciesMs
	}
	if step.LongRunning {
		job.item.LongRunning = true
	}
	job.item.RemainingWorkMs += int64(float64(left) * taskMs * float64(step.Need.CPUMilli) / milli)
	open := j.StepOpen(occurrence, stepIndex)
	if !open {
		if s.opensNext(j, occurrence, step) {
			job.nextResources = job.nextResources.Add(resourcesOf(step, left))
		}
		return dependenciesMs + taskMs
	}
	job.minVMs = max(job.minVMs, minVMs(step, left))
	job.openTaskMs = max(job.openTaskMs, int64(taskMs))
	first := j.FirstTask(occurrence, stepIndex)
	for i := range step.Count {
		if t := &j.Tasks[first+i]; !t.Done {
			s.describeTask(job, t, batch.TaskID{Job: j.Spec.ID, Occurrence: occurrence, Step: stepIndex, Index: i})
		}
	}
	return dependenciesMs + taskMs
}

// describeTask adds a task that isn't done to the job's view.
func (s *Scheduler) describeTask(job *activeJob, t *jobs.Task, id batch.TaskID) {
	step := &job.state.Spec.Steps[id.Step]
	suspect := (t.Crashes > 0 || runsAlone(job.state, t)) && !step.Gang
	if len(t.Attempts) > 0 || s.starting[id] {
		job.runningResources = job.runningResources.Add(resourcesOf(step, 1))
		if suspect || !step.Gang && s.mayHaveCrashed(t, id) {
			job.onTrial = append(job.onTrial, id)
		} else if step.Speculative && !step.Gang && !step.LongRunning && len(t.Attempts) == 1 {
			job.copyable = append(job.copyable, id)
		}
		return
	}
	job.readyResources = job.readyResources.Add(resourcesOf(step, 1))
	job.readyAccelerators += step.Need.Accelerators
	switch {
	case step.Gang:
	case runsAlone(job.state, t):
		job.alone = append(job.alone, id)
	case suspect:
		job.suspects = append(job.suspects, id)
	default:
		job.addReady(id, step.ReservedResources())
	}
}

// addReady adds a task that could start and what it reserves.
func (job *activeJob) addReady(id batch.TaskID, need batch.Resources) {
	if len(job.ready) == 0 {
		job.leastNeed = need
	}
	job.leastNeed = job.leastNeed.Min(need)
	job.ready = append(job.ready, id)
}

// resourcesOf returns the resources that a number of a step's tasks reserve.
func resourcesOf(step *batch.Step, count int) pools.Resources {
	reserved := step.ReservedResources()
	return pools.Resources{CPUMilli: int64(count) * reserved.CPUMilli, MemoryMB: int64(count) * reserved.MemoryMB}
}

// tasksPerSlot is how many tasks of a step with a limit per worker are planned to run one after another in each
// place that the limit allows on a worker, if they end by themselves.
const tasksPerSlot = 2

// minVMs returns the number of VMs that a step with a limit of tasks per worker needs; 0 without such a limit.
func minVMs(step *batch.Step, left int) int {
	if step.MaxPerWorker <= 0 {
		return 0
	}
	perVM := step.MaxPerWorker
	if !step.LongRunning {
		perVM *= tasksPerSlot
	}
	return (left + perVM - 1) / perVM
}

// opensNext reports whether all steps that a step depends on are open or done.
func (s *Scheduler) opensNext(j *jobs.Job, occurrence int, step *batch.Step) bool {
	for _, dependency := range step.After {
		if j.StepTasksLeft(occurrence, dependency) > 0 && !j.StepOpen(occurrence, dependency) {
			return false
		}
	}
	return true
}

// setOrderInputs computes a job's SLO and the inputs that order it among other jobs.
func (s *Scheduler) setOrderInputs(job *activeJob) {
	slackFactor, targetMs := 1.0, int64(0)
	if q := s.currentConfiguration().Queue(job.state.Spec.Queue); q != nil {
		slackFactor, targetMs, job.item.Priority = q.SlackFactor, q.TargetLatencyMs, q.Priority
	}
	var totalEstimateMs int64
	for i := range job.state.Spec.Steps {
		totalEstimateMs += job.state.Spec.Steps[i].EstimateMs
	}
	scale := s.estimates.scaleOf(job.state.Spec.Queue)
	job.objectiveMs = int64(slackFactor*float64(totalEstimateMs)*scale) + targetMs
	job.item.QueueMeanMs = s.estimates.meanWork(job.state.Spec.Queue, job.item.TotalWorkMs)
	job.item = *s.itemAt(job, s.wallMs())
}
