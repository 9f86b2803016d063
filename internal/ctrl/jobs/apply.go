package jobs

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/model/batch"
)

// Apply applies a change of the log; nowMs is the time in its command, in Unix milliseconds.
func (b *Book) Apply(c *batch.Change, nowMs int64) {
	if c.Configuration != nil && c.Configuration.Version > b.state.Configuration.Version {
		b.state.Configuration = *c.Configuration
	}
	for i := range c.Submits {
		b.addJob(&c.Submits[i])
	}
	for _, id := range c.Cancels {
		if j := b.jobs[id]; j != nil && !j.Phase.Over() {
			b.endJob(j, batch.PhaseCancelled, nowMs)
		}
	}
	for i := range c.Ends {
		b.endAttempt(&c.Ends[i], nowMs)
	}
	for i := range c.Starts {
		b.startAttempt(&c.Starts[i])
	}
	if c.Wave != nil {
		b.addWave(*c.Wave)
	}
	for _, u := range c.Upkeeps {
		if w := b.Wave(u.Wave); w != nil && !slices.Contains(w.Begun, u.VM) {
			w.Begun = append(w.Begun, u.VM)
		}
	}
	b.recordOrders(c)
	b.expireJobs(nowMs)
}

// recordOrders advances the time under leaders, and records the VMs that are about to be ordered.
func (b *Book) recordOrders(c *batch.Change) {
	s := &b.state
	if c.Leader.Term == s.Leader.Term {
		s.LedMs += max(0, c.Leader.UptimeMs-s.Leader.UptimeMs)
	}
	s.Leader = c.Leader
	for _, vm := range c.Ordered {
		s.Ordered[vm] = Ordered{VM: vm, Holder: c.Leader.Name, AtMs: s.LedMs}
	}
	if len(c.Ordered) == 0 {
		return
	}
	for vm, o := range s.Ordered {
		if s.LedMs-o.AtMs > orderKeptMs {
			delete(s.Ordered, vm)
		}
	}
}

func (b *Book) addJob(j *batch.Job) {
	if b.jobs[j.ID] == nil {
		added := newJob(*j)
		b.jobs[j.ID], b.state.Jobs[j.ID] = added, added.Record
		b.markChanged(j.ID)
	}
}

func (b *Book) startAttempt(start *batch.Start) {
	j, t := b.FindTask(start.Task)
	if t == nil || j.Phase.Over() {
		return
	}
	if !check.That(!t.Done && start.Attempt > t.Attempt, "attempts_only_rise",
		zap.String("job", start.Task.Job), zap.Int("attempt", start.Attempt), zap.Int("held", t.Attempt), zap.Bool("done", t.Done)) {
		return
	}
	t.Attempt, t.Begun = start.Attempt, true
	t.Runs = append(t.Runs, Run{
		Attempt: start.Attempt, Worker: start.Worker, Incarnation: start.Incarnation, Sequence: start.Sequence,
	})
	j.LiveAttempts++
	if j.Phase == batch.PhaseQueued {
		j.Phase = batch.PhaseRunning
	}
	b.indexRun(start.Worker, start.Task)
	b.markChanged(start.Task.Job)
}

// endAttempt removes an attempt and applies its outcome to its task.
func (b *Book) endAttempt(end *batch.End, nowMs int64) {
	j, t := b.FindTask(end.Task)
	if t == nil {
		return
	}
	run := t.FindRun(end.Attempt)
	if run == nil {
		return
	}
	worker := run.Worker
	t.Runs = slices.DeleteFunc(t.Runs, func(r Run) bool { return r.Attempt == end.Attempt })
	j.LiveAttempts--
	if !slices.ContainsFunc(t.Runs, func(r Run) bool { return r.Worker == worker }) {
		b.unindexRun(worker, end.Task)
	}
	b.markChanged(end.Task.Job)
	if j.Phase.Over() {
		b.dropDetails(j)
		return
	}
	if end.Checkpoint != "" {
		b.keepCheckpoint(j, end)
	}
	step := &j.Job.Steps[end.Task.Step]
	switch {
	case step.LongRunning:
	case end.Kind == batch.EndDone:
		b.markDone(j, end, nowMs)
	case end.Kind == batch.EndFailed:
		b.countFailure(j, t, end, nowMs)
	}
}

// keepCheckpoint stores a checkpoint; one of any member of a gang is valid for the whole gang.
func (b *Book) keepCheckpoint(j *Job, end *batch.End) {
	first := j.FirstTask(end.Task.Occurrence, end.Task.Step)
	step := &j.Job.Steps[end.Task.Step]
	if !step.Gang {
		j.Tasks[first+end.Task.Index].Checkpoint = end.Checkpoint
		return
	}
	for i := range step.Count {
		j.Tasks[first+i].Checkpoint = end.Checkpoint
	}
}

// markDone marks a task, or a whole gang, as done, and completes the job once all tasks are.
func (b *Book) markDone(j *Job, end *batch.End, nowMs int64) {
	offset, step := j.FirstTask(end.Task.Occurrence, end.Task.Step), &j.Job.Steps[end.Task.Step]
	first, last := end.Task.Index, end.Task.Index
	if step.Gang {
		first, last = 0, step.Count-1
	}
	for i := first; i <= last; i++ {
		if t := &j.Tasks[offset+i]; !t.Done {
			t.Done = true
			j.TasksLeft[j.stepAt(end.Task.Occurrence, end.Task.Step)]--
		}
	}
	for _, left := range j.TasksLeft {
		if left > 0 {
			return
		}
	}
	b.endJob(j, batch.PhaseCompleted, nowMs)
}

// countFailure counts a failed attempt, and fails the job at its queue's limit.
func (b *Book) countFailure(j *Job, t *Task, end *batch.End, nowMs int64) {
	var failures int
	if j.Job.Steps[end.Task.Step].Gang {
		index := j.stepAt(end.Task.Occurrence, end.Task.Step)
		j.GangFailures[index]++
		failures = j.GangFailures[index]
	} else {
		t.Failures++
		failures = t.Failures
	}
	if !t.Done && failures >= b.MaxAttempts(j) {
		b.endJob(j, batch.PhaseFailed, nowMs)
	}
}

// MaxAttempts returns the number of failures of one task or gang that fails its job.
func (b *Book) MaxAttempts(j *Job) int {
	for i := range b.state.Configuration.Queues {
		if q := &b.state.Configuration.Queues[i]; q.Key() == j.Job.Queue {
			return max(1, q.MaxAttempts)
		}
	}
	// The queue was removed: its jobs continue with the limit that was in force when they were submitted.
	return max(1, j.Job.MaxAttempts)
}

// endJob sets the final phase of a job; attempts that still run are stopped later.
func (b *Book) endJob(j *Job, p batch.Phase, nowMs int64) {
	j.Phase, j.EndedMs = p, nowMs
	b.ended = append(b.ended, j.Job.ID)
	b.markChanged(j.Job.ID)
	b.dropDetails(j)
}

// dropDetails drops the tasks, steps and text of an ended job once no attempt of it runs.
func (b *Book) dropDetails(j *Job) {
	if j.LiveAttempts > 0 {
		return
	}
	j.Job.Steps, j.Job.Text, j.Tasks, j.GangFailures = nil, "", nil, nil
	j.derive()
}

// expireJobs removes jobs that ended more than endedJobKeptMs ago and of which no attempt runs.
func (b *Book) expireJobs(nowMs int64) {
	for len(b.ended) > 0 {
		j := b.jobs[b.ended[0]]
		if j != nil && (j.EndedMs+endedJobKeptMs > nowMs || j.LiveAttempts > 0) {
			return
		}
		delete(b.jobs, b.ended[0])
		delete(b.state.Jobs, b.ended[0])
		b.ended = b.ended[1:]
	}
}

func (b *Book) addWave(w batch.Wave) {
	if b.Wave(w.ID) != nil {
		return
	}
	b.state.Waves = append(b.state.Waves, w)
	if len(b.state.Waves) > maxWaves {
		b.state.Waves = slices.Delete(b.state.Waves, 0, len(b.state.Waves)-maxWaves)
	}
}

func (b *Book) markChanged(id string) {
	b.changed = append(b.changed, id)
}
