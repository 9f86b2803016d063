package jobs

import (
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/model/batch"
)

// Apply applies a change of the log; nowMs is the time in its command, in Unix milliseconds.
func (m *StateMachine) Apply(c *batch.Change, nowMs int64) {
	m.advanceLeaderTime(c.Leader)
	if c.Configuration != nil && c.Configuration.Version > m.state.Configuration.Version {
		m.state.Configuration = *c.Configuration
	}
	for _, t := range c.Tombstones {
		m.addTombstone(t)
	}
	for i := range c.NewJobs {
		m.addJob(&c.NewJobs[i], nowMs)
	}
	for _, id := range c.CancelledJobs {
		if j := m.jobs[id]; j != nil && !j.Phase.IsTerminal() {
			m.endJob(j, batch.PhaseCancelled, nowMs)
		}
	}
	for _, id := range c.BegunJobs {
		if j := m.jobs[id]; j != nil {
			m.markBegun(j)
		}
	}
	for i := range c.Ends {
		m.endAttempt(&c.Ends[i], nowMs)
	}
	for _, id := range c.Crashes {
		m.noteCrash(id, 1)
	}
	for _, id := range c.BegunLate {
		m.noteCrash(id, -1)
	}
	for i := range c.Starts {
		m.startAttempt(&c.Starts[i])
	}
	for _, w := range c.Waves {
		m.addWave(w)
	}
	m.updateWaves(c)
	m.recordOrders(c)
	m.expireJobs(nowMs)
	m.expireTombstones()
}

// advanceLeaderTime advances the time under leaders to a change of a leader.
func (m *StateMachine) advanceLeaderTime(l batch.Leader) {
	if l.Term == m.state.Leader.Term {
		m.state.LeaderTimeMs += max(0, l.UptimeMs-m.state.Leader.UptimeMs)
	}
	m.state.Leader = l
}

// updateWaves records which VMs of waves have begun their maintenance, are gone or have returned.
func (m *StateMachine) updateWaves(c *batch.Change) {
	for _, v := range c.MaintenanceStarts {
		if w := m.Wave(v.Wave); w != nil && !slices.Contains(w.Begun, v.VM) {
			w.Begun = append(w.Begun, v.VM)
			w.Gone = without(w.Gone, v.VM)
		}
	}
	for _, v := range c.GoneVMs {
		if w := m.Wave(v.Wave); w != nil && !slices.Contains(w.Begun, v.VM) && !slices.Contains(w.Gone, v.VM) {
			w.Gone = append(w.Gone, v.VM)
		}
	}
	for _, v := range c.ReturnedVMs {
		if w := m.Wave(v.Wave); w != nil {
			w.Gone = without(w.Gone, v.VM)
		}
	}
}

// without removes a name from names.
func without(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}

// recordOrders records the VMs that are about to be ordered.
func (m *StateMachine) recordOrders(c *batch.Change) {
	s := &m.state
	for _, vm := range c.OrderedVMs {
		s.VMOrders[vm] = VMOrder{VM: vm, Holder: c.Leader.Name, LeaderTimeMs: s.LeaderTimeMs}
	}
	if len(c.OrderedVMs) == 0 {
		return
	}
	for vm, o := range s.VMOrders {
		if s.LeaderTimeMs-o.LeaderTimeMs > orderKeptMs {
			delete(s.VMOrders, vm)
		}
	}
}

// addJob adds a job that isn't known; it ends at once if it was cancelled before it came.
func (m *StateMachine) addJob(j *batch.Job, nowMs int64) {
	if m.jobs[j.ID] != nil {
		return
	}
	added := NewJob(*j)
	m.jobs[j.ID], m.state.Jobs[j.ID] = added, added.JobRecord
	m.markChanged(j.ID)
	m.countMemory(added, false)
	if m.IsCancelledAhead(j) {
		m.endJob(added, batch.PhaseCancelled, nowMs)
	}
}

func (m *StateMachine) startAttempt(start *batch.AttemptStart) {
	j, t := m.FindTask(start.Task)
	if t == nil || t.Done || j.Phase.IsTerminal() {
		// The task ended in this command or before: a copy is not needed any more.
		return
	}
	if !check.That(start.Attempt > t.LastAttempt, "attempts_only_rise",
		zap.String("job", start.Task.Job), zap.Int("attempt", start.Attempt), zap.Int("held", t.LastAttempt)) {
		return
	}
	t.LastAttempt = start.Attempt
	t.Attempts = append(t.Attempts, Attempt{
		Number: start.Attempt, Worker: start.Worker, Incarnation: start.Incarnation, Sequence: start.Sequence,
	})
	j.LiveAttempts++
	m.reserve(j, start.Task)
	m.indexAttempt(start.Worker, start.Task)
	m.markChanged(start.Task.Job)
}

// markBegun notes that a worker has begun a task of a job.
func (m *StateMachine) markBegun(j *Job) {
	if j.Phase == batch.PhaseQueued {
		j.Phase = batch.PhaseRunning
		m.markChanged(j.Spec.ID)
	}
}

// endAttempt removes an attempt and applies its outcome to its task.
func (m *StateMachine) endAttempt(end *batch.AttemptEnd, nowMs int64) {
	j, t := m.FindTask(end.Task)
	if t == nil {
		return
	}
	attempt := t.FindAttempt(end.Attempt)
	if attempt == nil {
		m.endLate(j, t, end, nowMs)
		return
	}
	m.removeAttempt(j, t, end.Task, *attempt)
	if j.Phase.IsTerminal() {
		m.dropDetails(j)
		return
	}
	if end.Checkpoint != "" {
		m.keepCheckpoint(j, end)
	}
	step := &j.Spec.Steps[end.Task.Step]
	if end.Kind.ShowsBegun(step.Gang) {
		m.markBegun(j)
	}
	if m.countCrash(j, t, end, nowMs); j.Phase.IsTerminal() {
		return
	}
	switch {
	case step.LongRunning:
	case end.Kind == batch.EndDone:
		m.markDone(j, end, nowMs)
	case end.Kind == batch.EndFailed:
		m.countFailure(j, t, end, nowMs)
	}
}

// removeAttempt removes an attempt from its task and from the index of its worker.
func (m *StateMachine) removeAttempt(j *Job, t *Task, id batch.TaskID, a Attempt) {
	t.Attempts = slices.DeleteFunc(t.Attempts, func(r Attempt) bool { return r.Number == a.Number })
	j.LiveAttempts--
	m.release(j, id)
	if !slices.ContainsFunc(t.Attempts, func(r Attempt) bool { return r.Worker == a.Worker }) {
		m.unindexAttempt(a.Worker, id)
	}
	m.markChanged(id.Job)
}

// endLate marks a task as done whose worker reports so after the attempt was given up, such as when the lease had lapsed
// because no report came through.
func (m *StateMachine) endLate(j *Job, t *Task, end *batch.AttemptEnd, nowMs int64) {
	if !end.Reported || !EndsLate(j, t, end.Task, end.Attempt, end.Kind) {
		return
	}
	m.markBegun(j)
	m.markDone(j, end, nowMs)
	m.markChanged(end.Task.Job)
}

// EndsLate reports whether the end of an attempt that was given up still shows that its task is done.
func EndsLate(j *Job, t *Task, id batch.TaskID, attempt int, kind batch.EndKind) bool {
	return kind == batch.EndDone && !t.Done && attempt <= t.LastAttempt && !j.Phase.IsTerminal() && !j.Spec.Steps[id.Step].LongRunning
}

// keepCheckpoint stores a checkpoint; one of any member of a gang is valid for the whole gang.
func (m *StateMachine) keepCheckpoint(j *Job, end *batch.AttemptEnd) {
	first := j.FirstTask(end.Task.Occurrence, end.Task.Step)
	step := &j.Spec.Steps[end.Task.Step]
	if !step.Gang {
		j.Tasks[first+end.Task.Index].Checkpoint = end.Checkpoint
		return
	}
	for i := range step.Count {
		j.Tasks[first+i].Checkpoint = end.Checkpoint
	}
}

// markDone marks a task, or a whole gang, as done, and completes the job once all tasks are.
func (m *StateMachine) markDone(j *Job, end *batch.AttemptEnd, nowMs int64) {
	offset, step := j.FirstTask(end.Task.Occurrence, end.Task.Step), &j.Spec.Steps[end.Task.Step]
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
	m.endJob(j, batch.PhaseCompleted, nowMs)
}

// countFailure counts a failed attempt, and fails the job at its queue's limit.
func (m *StateMachine) countFailure(j *Job, t *Task, end *batch.AttemptEnd, nowMs int64) {
	var failures int
	if j.Spec.Steps[end.Task.Step].Gang {
		index := j.stepAt(end.Task.Occurrence, end.Task.Step)
		j.GangFailures[index]++
		failures = j.GangFailures[index]
	} else {
		t.Failures++
		failures = t.Failures
	}
	if !t.Done && failures >= m.MaxAttempts(j) {
		m.endJob(j, batch.PhaseFailed, nowMs)
	}
}

// MaxAttempts returns the number of failures of one task or gang that fails its job.
func (m *StateMachine) MaxAttempts(j *Job) int {
	if q := m.state.Configuration.Queue(j.Spec.Queue); q != nil {
		return max(1, q.MaxAttempts)
	}
	// The queue was removed: its jobs continue with the limit that was in force when they were submitted.
	return max(1, j.Spec.MaxAttempts)
}

// endJob sets the final phase of a job; attempts that still run are stopped later.
func (m *StateMachine) endJob(j *Job, p batch.Phase, nowMs int64) {
	j.Phase, j.EndedMs = p, nowMs
	m.ended = append(m.ended, j.Spec.ID)
	m.markChanged(j.Spec.ID)
	m.dropDetails(j)
}

// dropDetails drops the tasks, steps and text of an ended job once no attempt of it runs.
func (m *StateMachine) dropDetails(j *Job) {
	if j.LiveAttempts > 0 {
		return
	}
	j.Spec.Steps, j.Spec.Text, j.Tasks, j.GangFailures = nil, "", nil, nil
	j.derive()
	m.countMemory(j, false)
}

// expireJobs removes jobs that ended more than endedJobKeptMs ago and of which no attempt runs.
func (m *StateMachine) expireJobs(nowMs int64) {
	for len(m.ended) > 0 {
		j := m.jobs[m.ended[0]]
		if j != nil && (j.EndedMs+endedJobKeptMs > nowMs || j.LiveAttempts > 0) {
			return
		}
		if j != nil {
			m.countMemory(j, true)
		}
		delete(m.jobs, m.ended[0])
		delete(m.state.Jobs, m.ended[0])
		m.ended = m.ended[1:]
	}
}

func (m *StateMachine) addWave(w batch.Wave) {
	if m.Wave(w.ID) != nil {
		return
	}
	waves := m.state.Waves
	named := len(w.VMs)
	for i := range waves {
		named += len(waves[i].VMs)
	}
	for len(waves) > 0 && (len(waves) >= maxWaves || named > maxWaveVMs) {
		drop := max(0, slices.IndexFunc(waves, func(w batch.Wave) bool { return w.IsComplete() }))
		named -= len(waves[drop].VMs)
		waves = slices.Delete(waves, drop, drop+1)
	}
	m.state.Waves = append(waves, w)
}

func (m *StateMachine) markChanged(id string) {
	m.changed = append(m.changed, id)
}
