package jobs

import (
	"slices"

	"cowslipstack/internal/model/batch"
)

const (
	// keptMs is how long an ended job's state can still be asked for.
	keptMs = 180_000
	// orderedMs is how long the last order for a VM is remembered, above any time that holders are kept apart.
	orderedMs = 30_000
	// wavesKept bounds the waves that are remembered.
	wavesKept = 256
)

// State is all that the changes have built; plain data.
type State struct {
	// Configuration is the one in force; its version is 0 before the first.
	Configuration batch.Configuration
	// Jobs are the jobs by identity, also those that ended of late.
	Jobs map[string]*Record
	// Waves are the waves of maintenance, oldest first.
	Waves []batch.Wave
	// LedMs counts the time under leaders, in milliseconds: it never runs ahead of true time, whatever clocks do.
	LedMs int64
	// Leader is the last change's proposer.
	Leader batch.Leader
	// Ordered are the VMs that were ordered of late.
	Ordered map[string]Ordered
}

// Ordered is the last order for a VM.
type Ordered struct {
	// VM is the VM's name.
	VM string
	// Holder is the process that ordered it.
	Holder string
	// AtMs is the time under leaders when it did.
	AtMs int64
}

// Record is what is kept of a job: how far it has come.
type Record struct {
	// Job is the job as it was taken; where it has ended and nothing runs of it, its steps and text are dropped.
	Job batch.Job
	// Phase is how far it has come.
	Phase batch.Phase
	// EndedMs is when it ended, in Unix milliseconds; 0 before that.
	EndedMs int64
	// Tasks are the tasks, in the order of occurrence, step and index.
	Tasks []Task
	// GangFailures counts the failures of each occurrence's steps that are gangs.
	GangFailures []int
}

// Job is a job's record with what follows from it.
type Job struct {
	*Record
	// Left are the tasks of each occurrence's steps that aren't done.
	Left []int
	// Live is the count of attempts that may be running.
	Live int
	// offsets are the places of an occurrence's steps in Tasks, and its size.
	offsets []int
}

// Task is how far one task has come.
type Task struct {
	// Attempt is the highest attempt that was given to a worker.
	Attempt int
	// Failures is the count of attempts that failed.
	Failures int
	// Done says that an attempt has done the work.
	Done bool
	// Begun says that an attempt was given to a worker.
	Begun bool
	// Checkpoint is where the next attempt goes on.
	Checkpoint string
	// Runs are the attempts that may be running.
	Runs []Run
}

// Run is an attempt that may be running.
type Run struct {
	// Attempt is the attempt.
	Attempt int
	// Worker is the worker's identity.
	Worker string
	// Incarnation is the worker's life.
	Incarnation int64
	// Sequence is the heartbeat in whose answer the order went out.
	Sequence uint64
}

// Book applies changes; only its owner's goroutine may use it.
type Book struct {
	state State
	// jobs are the jobs of the state, by identity.
	jobs map[string]*Job
	// runs are the tasks with attempts on each worker.
	runs map[string]map[batch.TaskID]struct{}
	// ended are the identities of ended jobs in the order of their ends.
	ended []string
	// touched are jobs that changed since Touched was asked.
	touched []string
}

// New returns an empty book.
func New() *Book {
	b := &Book{}
	b.Restore(State{})
	return b
}

// State returns the state for reading; it must not be kept or changed.
func (b *Book) State() *State {
	return &b.state
}

// Restore replaces the state by that of a snapshot.
func (b *Book) Restore(s State) {
	if s.Jobs == nil {
		s.Jobs = map[string]*Record{}
	}
	if s.Ordered == nil {
		s.Ordered = map[string]Ordered{}
	}
	b.jobs = make(map[string]*Job, len(s.Jobs))
	b.state, b.runs, b.ended, b.touched = s, map[string]map[batch.TaskID]struct{}{}, nil, nil
	for id, r := range s.Jobs {
		j := &Job{Record: r}
		j.settle()
		b.jobs[id] = j
		if j.Phase.Over() {
			b.ended = append(b.ended, id)
		}
		for at := range j.Tasks {
			for _, r := range j.Tasks[at].Runs {
				b.index(r.Worker, j.TaskID(at))
			}
		}
	}
	slices.SortFunc(b.ended, func(a, c string) int {
		x, y := s.Jobs[a], s.Jobs[c]
		if x.EndedMs != y.EndedMs {
			return int(x.EndedMs - y.EndedMs)
		}
		if a < c {
			return -1
		}
		return 1
	})
}

// RunsOn returns the tasks with attempts that may be running on a worker; it must not be changed.
func (b *Book) RunsOn(worker string) map[batch.TaskID]struct{} {
	return b.runs[worker]
}

// Workers returns the workers on which attempts may be running.
func (b *Book) Workers() []string {
	all := make([]string, 0, len(b.runs))
	for w := range b.runs {
		all = append(all, w)
	}
	return all
}

// Touched returns the jobs that changed since the last call.
func (b *Book) Touched() []string {
	t := b.touched
	b.touched = nil
	return t
}

// Find returns a job and the place of one of its tasks; nil where it isn't known.
func (b *Book) Find(id batch.TaskID) (*Job, *Task) {
	j := b.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.Task(id)
}

// Job returns a job by its identity, nil where it isn't known.
func (b *Book) Job(id string) *Job {
	return b.jobs[id]
}

// Jobs returns all jobs; the map must not be changed.
func (b *Book) Jobs() map[string]*Job {
	return b.jobs
}

// Wave returns a wave by its number, nil where it isn't known.
func (b *Book) Wave(id uint64) *batch.Wave {
	for i := range b.state.Waves {
		if b.state.Waves[i].ID == id {
			return &b.state.Waves[i]
		}
	}
	return nil
}

func (b *Book) index(worker string, id batch.TaskID) {
	if b.runs[worker] == nil {
		b.runs[worker] = map[batch.TaskID]struct{}{}
	}
	b.runs[worker][id] = struct{}{}
}

func (b *Book) unindex(worker string, id batch.TaskID) {
	delete(b.runs[worker], id)
	if len(b.runs[worker]) == 0 {
		delete(b.runs, worker)
	}
}
