package chaos_test

import (
	"fmt"
	"sync"
	"time"
)

const (
	// cancelGrace is how long a job may still start tasks after its cancellation was acknowledged.
	cancelGrace = 3 * time.Second
	// visibilityGrace is how long a job may still be unknown after its acceptance was acknowledged.
	visibilityGrace = 3 * time.Second
)

// observedTask is the checker's record of one task.
type observedTask struct {
	// active holds the running attempt by worker incarnation.
	active map[*siteWorker]int
	// done is set once an attempt has completed. unacknowledged counts completed attempts whose workers have no
	// acknowledgement yet, and acknowledged is set once a worker has one.
	done           bool
	unacknowledged int
	acknowledged   bool
	// startedAfterDone is set if an attempt started while a completed one was not acknowledged yet.
	startedAfterDone bool
	// failures counts the failed attempts that the leader has acknowledged.
	failures int
}

// observedJob is the checker's record of one job; steps holds the number of tasks of each step.
type observedJob struct {
	id    string
	spec  string
	steps []int
	// tasks is keyed by the names of tasks on the wire.
	tasks map[string]*observedTask
	// accepted and cancelled are the times of these acknowledgements, zero before.
	accepted, cancelled time.Time
	// cancelSent is set once a cancellation may have arrived, maybeAccepted once a submission was not refused.
	cancelSent, maybeAccepted bool
	started                   bool
	finalState                string
}

// checker checks what workers and callers observe against the guarantees of the system; its methods may be called from
// any goroutine.
type checker struct {
	mu         sync.Mutex
	jobs       map[string]*observedJob
	violations []string
	counts     map[string]int
}

func newChecker() *checker {
	return &checker{jobs: map[string]*observedJob{}, counts: map[string]int{}}
}

// addViolation records a violated guarantee; the caller holds the lock.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// count adds to a count.
func (c *checker) count(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name] += n
}

// withLock runs a function under the lock.
func (c *checker) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// task returns the records of a task and its job, nil if no caller submitted the job; the caller holds the lock.
func (c *checker) task(name string) (*observedJob, *observedTask) {
	id, _, _, ok := parseTaskName(name)
	job := c.jobs[id]
	if !ok || job == nil {
		return nil, nil
	}
	if job.tasks[name] == nil {
		job.tasks[name] = &observedTask{active: map[*siteWorker]int{}}
	}
	return job, job.tasks[name]
}

// taskStarted records that a worker starts an attempt, and checks that it may.
func (c *checker) taskStarted(w *siteWorker, name string, attempt int, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["started"]++
	job, t := c.task(name)
	if job == nil {
		c.addViolation("unrequested: %s#%d belongs to no job", name, attempt)
		return
	}
	job.started = true
	_, step, _, _ := parseTaskName(name)
	switch {
	case spec != job.spec:
		c.addViolation("unrequested: %s#%d has the spec %q", name, attempt, spec)
	case len(t.active) > 0:
		c.addViolation("duplicate: %s#%d starts on %s while %v run", name, attempt, w, t.active)
	case t.acknowledged:
		c.addViolation("duplicate: %s#%d starts on %s after the task was done", name, attempt, w)
	case !job.cancelled.IsZero() && time.Since(job.cancelled) > cancelGrace:
		c.addViolation("unrequested: %s#%d starts %v after its job was cancelled", name, attempt, time.Since(job.cancelled))
	case step > 0 && !c.stepDone(job, step-1):
		c.addViolation("order: %s#%d starts before the previous step is done", name, attempt)
	case t.failures >= maxTaskFailures:
		c.addViolation("attempts: %s#%d starts after %d failures", name, attempt, t.failures)
	}
	t.startedAfterDone = t.startedAfterDone || t.unacknowledged > 0
	t.active[w] = attempt
}

// stepDone returns whether all tasks of a step are done; the caller holds the lock.
func (c *checker) stepDone(job *observedJob, step int) bool {
	for i := range job.steps[step] {
		if t := job.tasks[fmt.Sprintf("%s.0.%d.%d", job.id, step, i)]; t == nil || !t.done {
			return false
		}
	}
	return true
}

// taskEnded records that an attempt has ended on a worker.
func (c *checker) taskEnded(w *siteWorker, name, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
	_, t := c.task(name)
	delete(t.active, w)
	if kind == "done" {
		t.done = true
		t.unacknowledged++
	}
}

// endAcknowledged records that the leader acknowledged an end. If the task was completed, no other attempt may have started
// in between.
func (c *checker) endAcknowledged(name, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, t := c.task(name)
	switch {
	case t == nil:
	case kind == "failed":
		t.failures++
	case kind == "done":
		t.acknowledged = true
		t.unacknowledged--
		if t.startedAfterDone {
			c.addViolation("duplicate: %s started after a completion that was acknowledged later", name)
		}
	}
}

// workerEnded records the end of a worker incarnation, and of what runs there.
func (c *checker) workerEnded(w *siteWorker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		for _, t := range job.tasks {
			delete(t.active, w)
		}
	}
}

// endsForgotten records that tasks were completed on a worker whose life or lease ended before it had an acknowledgement: the
// leader may know of it or not, and these tasks may run again.
func (c *checker) endsForgotten(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if _, t := c.task(name); t != nil {
			t.unacknowledged--
			t.startedAfterDone = t.unacknowledged > 0 && t.startedAfterDone
		}
	}
}

// waits reports whether a job was accepted, has not begun, and nobody cancels it; the caller holds the lock.
func (j *observedJob) waits() bool {
	return !j.accepted.IsZero() && !j.started && !j.cancelSent
}

// waitingJobs returns the jobs that wait.
func (c *checker) waitingJobs() []*observedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waiting []*observedJob
	for _, job := range c.jobs {
		if job.waits() {
			waiting = append(waiting, job)
		}
	}
	return waiting
}

// waitingJobsCounted checks the count of waiting jobs that was received after some were seen to wait.
func (c *checker) waitingJobsCounted(before []*observedJob, count int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := 0
	for _, job := range before {
		if job.waits() {
			waiting++
		}
	}
	c.counts["waiting_counted"]++
	if err != nil || count < waiting {
		c.addViolation("inconsistent: %d jobs are said to wait, %d do (%v)", count, waiting, err)
	}
}

// jobState checks the status and the state that a caller received for its job.
func (c *checker) jobState(job *observedJob, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == 410:
		if !job.accepted.IsZero() && !job.cancelSent && time.Since(job.accepted) > visibilityGrace {
			c.addViolation("lost: job %s, accepted %v ago, is unknown", job.id, time.Since(job.accepted))
		}
		return
	case status != 200:
		return
	}
	switch state {
	case "completed":
		for s := range job.steps {
			if !c.stepDone(job, s) {
				c.addViolation("inconsistent: job %s is reported as completed before step %d is done", job.id, s)
			}
		}
	case "failed", "cancelled":
		if state == "cancelled" && !job.cancelSent {
			c.addViolation("lost: job %s is reported as cancelled, but nobody cancelled it", job.id)
		}
	default:
		if job.finalState != "" {
			c.addViolation("inconsistent: job %s is reported as %s after %s", job.id, state, job.finalState)
		}
		return
	}
	if job.finalState != "" && job.finalState != state {
		c.addViolation("inconsistent: job %s is reported as %s after %s", job.id, state, job.finalState)
	}
	job.finalState = state
}
