package jobs

import (
	"slices"

	"cowslipstack/internal/model/batch"
)

const (
	// endedJobKeptMs is how long the state of an ended job can still be queried.
	endedJobKeptMs = 180_000
	// orderKeptMs is how long the last order for a VM is recorded, longer than the platform keeps holders apart.
	orderKeptMs = 30_000
	// maxWaves limits the recorded waves; the oldest are dropped.
	maxWaves = 256
)

// State is the replicated state that the changes have built; plain data for snapshots.
type State struct {
	// Configuration is the one in force; its version is 0 before the first.
	Configuration batch.Configuration
	// Jobs are the jobs by identity, including recently ended ones.
	Jobs map[string]*Record
	// Waves are the maintenance waves, oldest first.
	Waves []batch.Wave
	// LedMs is the total time under leaders, in milliseconds; it never advances faster than real time, whatever the
	// clocks do.
	LedMs int64
	// Leader is the proposer of the last change.
	Leader batch.Leader
	// Ordered are the recently ordered VMs by name.
	Ordered map[string]Ordered
}

// Ordered is the last order for a VM.
type Ordered struct {
	// VM is the VM's name.
	VM string
	// Holder is the process that sent the order.
	Holder string
	// AtMs is the value of State.LedMs when the order was recorded.
	AtMs int64
}

// Record is the replicated state of a job.
type Record struct {
	// Job is the job as submitted; its steps and text are dropped once it has ended and nothing of it runs.
	Job batch.Job
	// Phase is the job's phase.
	Phase batch.Phase
	// EndedMs is when it ended, in Unix milliseconds; 0 before that.
	EndedMs int64
	// Tasks are the tasks, in the order of occurrence, step and index.
	Tasks []Task
	// GangFailures counts the failures of each gang, by occurrence and step.
	GangFailures []int
}

// Job is a job's record with values derived from it.
type Job struct {
	*Record
	// TasksLeft is the number of tasks that aren't done, by occurrence and step.
	TasksLeft []int
	// LiveAttempts is the number of attempts that may be running.
	LiveAttempts int
	// offsets are the indices in Tasks at which the steps of the first occurrence begin, followed by the number of
	// tasks of an occurrence.
	offsets []int
}

// Task is the replicated state of one task.
type Task struct {
	// Attempt is the highest attempt number that was assigned; 0 before the first.
	Attempt int
	// Failures is the number of attempts that failed; those of gangs are counted in Record.GangFailures.
	Failures int
	// Done is set once an attempt has finished the work.
	Done bool
	// Begun is set once an attempt was assigned to a worker.
	Begun bool
	// Checkpoint is passed to the next attempt to resume from; empty for none.
	Checkpoint string
	// Runs are the attempts that may be running.
	Runs []Run
}

// Run is an attempt that may be running.
type Run struct {
	// Attempt is the attempt's number.
	Attempt int
	// Worker is the worker's identity.
	Worker string
	// Incarnation is the incarnation of the worker that got the order.
	Incarnation int64
	// Sequence is the number of the heartbeat whose reply carried the order.
	Sequence uint64
}

// Book applies changes to the state; only the goroutine that owns it may use it.
type Book struct {
	state State
	// jobs are the jobs of the state, by identity.
	jobs map[string]*Job
	// tasksByWorker are the tasks with attempts on each worker.
	tasksByWorker map[string]map[batch.TaskID]struct{}
	// ended are the identities of ended jobs, by time of end.
	ended []string
	// changed are the jobs that changed since the last call of TakeChanged.
	changed []string
}

// New starts with an empty state.
func New() *Book {
	b := &Book{}
	b.Restore(State{})
	return b
}

// State returns the state for reading; it must not be retained or changed.
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
	b.state, b.tasksByWorker, b.ended, b.changed = s, map[string]map[batch.TaskID]struct{}{}, nil, nil
	for id, r := range s.Jobs {
		j := &Job{Record: r}
		j.derive()
		b.jobs[id] = j
		if j.Phase.Over() {
			b.ended = append(b.ended, id)
		}
		for index := range j.Tasks {
			for _, r := range j.Tasks[index].Runs {
				b.indexRun(r.Worker, j.TaskID(index))
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

// TasksOn returns the tasks with attempts that may be running on a worker; the map must not be changed.
func (b *Book) TasksOn(worker string) map[batch.TaskID]struct{} {
	return b.tasksByWorker[worker]
}

// Workers returns the workers on which attempts may be running, in no particular order.
func (b *Book) Workers() []string {
	all := make([]string, 0, len(b.tasksByWorker))
	for w := range b.tasksByWorker {
		all = append(all, w)
	}
	return all
}

// TakeChanged returns the jobs that changed since the last call, possibly more than once each.
func (b *Book) TakeChanged() []string {
	t := b.changed
	b.changed = nil
	return t
}

// FindTask returns a job and one of its tasks; nil for each that is unknown.
func (b *Book) FindTask(id batch.TaskID) (*Job, *Task) {
	j := b.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.Task(id)
}

// Job returns a job by its identity, nil if it is unknown.
func (b *Book) Job(id string) *Job {
	return b.jobs[id]
}

// Jobs returns all jobs by identity; the map must not be changed.
func (b *Book) Jobs() map[string]*Job {
	return b.jobs
}

// Wave returns a wave by its identity, nil if it is unknown.
func (b *Book) Wave(id uint64) *batch.Wave {
	for i := range b.state.Waves {
		if b.state.Waves[i].ID == id {
			return &b.state.Waves[i]
		}
	}
	return nil
}

func (b *Book) indexRun(worker string, id batch.TaskID) {
	if b.tasksByWorker[worker] == nil {
		b.tasksByWorker[worker] = map[batch.TaskID]struct{}{}
	}
	b.tasksByWorker[worker][id] = struct{}{}
}

func (b *Book) unindexRun(worker string, id batch.TaskID) {
	delete(b.tasksByWorker[worker], id)
	if len(b.tasksByWorker[worker]) == 0 {
		delete(b.tasksByWorker, worker)
	}
}
