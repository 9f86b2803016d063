package jobs

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/model/batch"
)

// Apply makes a change; nowMs is the time that its command carries, in Unix milliseconds.
func (b *Book) Apply(c *batch.Change, nowMs int64) {
	if c.Configuration != nil && c.Configuration.Version > b.state.Configuration.Version {
		b.state.Configuration = *c.Configuration
	}
	for i := range c.Submits {
		b.submit(&c.Submits[i])
	}
	for _, id := range c.Cancels {
		if j := b.jobs[id]; j != nil && !j.Phase.Over() {
			b.finish(j, batch.PhaseCancelled, nowMs)
		}
	}
	for i := range c.Ends {
		b.end(&c.Ends[i], nowMs)
	}
	for i := range c.Starts {
		b.start(&c.Starts[i])
	}
	if c.Wave != nil {
		b.wave(*c.Wave)
	}
	for _, u := range c.Upkeeps {
		if w := b.Wave(u.Wave); w != nil && !slices.Contains(w.Begun, u.VM) {
			w.Begun = append(w.Begun, u.VM)
		}
	}
	b.order(c)
	b.expire(nowMs)
}

// order moves the time under leaders on, and remembers the VMs that are about to be ordered.
func (b *Book) order(c *batch.Change) {
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
		if s.LedMs-o.AtMs > orderedMs {
			delete(s.Ordered, vm)
		}
	}
}

func (b *Book) submit(j *batch.Job) {
	if b.jobs[j.ID] == nil {
		n := newJob(*j)
		b.jobs[j.ID], b.state.Jobs[j.ID] = n, n.Record
		b.touch(j.ID)
	}
}

func (b *Book) start(s *batch.Start) {
	j, t := b.Find(s.Task)
	if t == nil || j.Phase.Over() {
		return
	}
	if !check.That(!t.Done && s.Attempt > t.Attempt, "attempts_only_rise",
		zap.String("job", s.Task.Job), zap.Int("attempt", s.Attempt), zap.Int("held", t.Attempt), zap.Bool("done", t.Done)) {
		return
	}
	t.Attempt, t.Begun = s.Attempt, true
	t.Runs = append(t.Runs, Run{Attempt: s.Attempt, Worker: s.Worker, Incarnation: s.Incarnation, Sequence: s.Sequence})
	j.Live++
	if j.Phase == batch.PhaseQueued {
		j.Phase = batch.PhaseRunning
	}
	b.index(s.Worker, s.Task)
	b.touch(s.Task.Job)
}

// end takes an attempt out, and counts what it did for its task.
func (b *Book) end(e *batch.End, nowMs int64) {
	j, t := b.Find(e.Task)
	if t == nil {
		return
	}
	run := t.Find(e.Attempt)
	if run == nil {
		return
	}
	worker := run.Worker
	t.Runs = slices.DeleteFunc(t.Runs, func(r Run) bool { return r.Attempt == e.Attempt })
	j.Live--
	if !slices.ContainsFunc(t.Runs, func(r Run) bool { return r.Worker == worker }) {
		b.unindex(worker, e.Task)
	}
	b.touch(e.Task.Job)
	if j.Phase.Over() {
		b.trim(j)
		return
	}
	if e.Checkpoint != "" {
		b.keep(j, e)
	}
	step := &j.Job.Steps[e.Task.Step]
	switch {
	case step.LongRunning:
	case e.Kind == batch.EndDone:
		b.done(j, e, nowMs)
	case e.Kind == batch.EndFailed:
		b.failed(j, t, e, nowMs)
	}
}

// keep remembers a checkpoint; that of any member is good for its whole gang.
func (b *Book) keep(j *Job, e *batch.End) {
	at := j.Place(e.Task.Occurrence, e.Task.Step)
	step := &j.Job.Steps[e.Task.Step]
	if !step.Gang {
		j.Tasks[at+e.Task.Index].Checkpoint = e.Checkpoint
		return
	}
	for i := range step.Count {
		j.Tasks[at+i].Checkpoint = e.Checkpoint
	}
}

// done records that a task, or a whole gang, has done its work.
func (b *Book) done(j *Job, e *batch.End, nowMs int64) {
	at, step := j.Place(e.Task.Occurrence, e.Task.Step), &j.Job.Steps[e.Task.Step]
	first, last := e.Task.Index, e.Task.Index
	if step.Gang {
		first, last = 0, step.Count-1
	}
	for i := first; i <= last; i++ {
		if t := &j.Tasks[at+i]; !t.Done {
			t.Done = true
			j.Left[j.stepAt(e.Task.Occurrence, e.Task.Step)]--
		}
	}
	for _, left := range j.Left {
		if left > 0 {
			return
		}
	}
	b.finish(j, batch.PhaseCompleted, nowMs)
}

// failed counts a failure, and fails the job where there were as many as its queue allows.
func (b *Book) failed(j *Job, t *Task, e *batch.End, nowMs int64) {
	var failures int
	if j.Job.Steps[e.Task.Step].Gang {
		at := j.stepAt(e.Task.Occurrence, e.Task.Step)
		j.GangFailures[at]++
		failures = j.GangFailures[at]
	} else {
		t.Failures++
		failures = t.Failures
	}
	if !t.Done && failures >= b.MaxAttempts(j) {
		b.finish(j, batch.PhaseFailed, nowMs)
	}
}

// MaxAttempts returns the count of failures that fails a job.
func (b *Book) MaxAttempts(j *Job) int {
	for i := range b.state.Configuration.Queues {
		if q := &b.state.Configuration.Queues[i]; q.Key() == j.Job.Queue {
			return max(1, q.MaxAttempts)
		}
	}
	// The queue was dropped: its jobs go on, with the attempts that their submission came with.
	return max(1, j.Job.MaxAttempts)
}

// finish ends a job for good; attempts that run are still to be stopped.
func (b *Book) finish(j *Job, p batch.Phase, nowMs int64) {
	j.Phase, j.EndedMs = p, nowMs
	b.ended = append(b.ended, j.Job.ID)
	b.touch(j.Job.ID)
	b.trim(j)
}

// trim drops what an ended job needs no more once nothing runs of it.
func (b *Book) trim(j *Job) {
	if j.Live > 0 {
		return
	}
	j.Job.Steps, j.Job.Text, j.Tasks, j.GangFailures = nil, "", nil, nil
	j.settle()
}

// expire forgets jobs that ended long ago.
func (b *Book) expire(nowMs int64) {
	for len(b.ended) > 0 {
		j := b.jobs[b.ended[0]]
		if j != nil && (j.EndedMs+keptMs > nowMs || j.Live > 0) {
			return
		}
		delete(b.jobs, b.ended[0])
		delete(b.state.Jobs, b.ended[0])
		b.ended = b.ended[1:]
	}
}

func (b *Book) wave(w batch.Wave) {
	if b.Wave(w.ID) != nil {
		return
	}
	b.state.Waves = append(b.state.Waves, w)
	if len(b.state.Waves) > wavesKept {
		b.state.Waves = slices.Delete(b.state.Waves, 0, len(b.state.Waves)-wavesKept)
	}
}

func (b *Book) touch(id string) {
	b.touched = append(b.touched, id)
}
