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
	// maxWaves limits the recorded waves, and maxWaveVMs the VMs that they name together; complete ones are dropped first, the oldest
	// before others.
	maxWaves   = 256
	maxWaveVMs = 131_072
)

// State is the replicated state that the changes have built; plain data for snapshots.
type State struct {
	// Configuration is the one in force; its version is 0 before the first.
	Configuration batch.Configuration
	// Jobs are the jobs by identity, including recently ended ones.
	Jobs map[string]*JobRecord
	// Waves are the maintenance waves, oldest first.
	Waves []batch.Wave
	// LeaderTimeMs is the total time under leaders, in milliseconds; it never advances faster than real time, whatever
	// the clocks do.
	LeaderTimeMs int64
	// Leader is the proposer of the last change.
	Leader batch.Leader
	// VMOrders are the recently ordered VMs by name.
	VMOrders map[string]VMOrder
	// Tombstones are those of jobs that were cancelled before they came, with the value of LeaderTimeMs when each was recorded.
	Tombstones map[batch.Tombstone]int64
}

// VMOrder is the last order for a VM.
type VMOrder struct {
	// VM is the VM's name.
	VM string
	// Holder is the process that sent the order.
	Holder string
	// LeaderTimeMs is the value of State.LeaderTimeMs when the order was recorded.
	LeaderTimeMs int64
}

// JobRecord is the replicated state of a job.
type JobRecord struct {
	// Spec is the job as submitted; its steps and text are dropped once it has ended and nothing of it runs.
	Spec batch.Job
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
	*JobRecord
	// TasksLeft is the number of tasks that aren't done, by occurrence and step.
	TasksLeft []int
	// LiveAttempts is the number of attempts that may be running.
	LiveAttempts int
	// memory is about how many bytes the job takes.
	memory int64
	// offsets are the indices in Tasks at which the steps of the first occurrence begin, followed by the number of
	// tasks of an occurrence.
	offsets []int
}

// Task is the replicated state of one task.
type Task struct {
	// LastAttempt is the highest attempt number that was assigned; 0 before the first.
	LastAttempt int
	// Failures is the number of attempts that failed; those of gangs are counted in JobRecord.GangFailures.
	Failures int
	// Crashes is the number of workers that have crashed under it since it was last known to run.
	Crashes int
	// CrashesBeside is the number of workers that have crashed while they started or ran it, whatever ran beside it, since it
	// last ended by itself or ran for long; 0 for members of gangs.
	CrashesBeside int
	// Done is set once an attempt has finished the work.
	Done bool
	// Checkpoint is passed to the next attempt to resume from; empty for none.
	Checkpoint string
	// Attempts are the attempts that may be running.
	Attempts []Attempt
}

// Attempt is an attempt that may be running.
type Attempt struct {
	// Number is the attempt's number.
	Number int
	// Worker is the worker's identity.
	Worker string
	// Incarnation is the incarnation of the worker that got the order.
	Incarnation int64
	// Sequence is the number of the heartbeat whose reply carried the order.
	Sequence uint64
}

// StateMachine applies changes to the state; only the goroutine that owns it may use it.
type StateMachine struct {
	state State
	// jobs are the jobs of the state, by identity.
	jobs map[string]*Job
	// reserved is what the attempts of each account's jobs need.
	reserved map[string]batch.Resources
	// tasksByWorker are the tasks with attempts on each worker.
	tasksByWorker map[string]map[batch.TaskID]struct{}
	// ended are the identities of ended jobs, by time of end.
	ended []string
	// changed are the jobs that changed since the last call of TakeChanged.
	changed []string
	// tombstones are the tombstones of the state.
	tombstones tombstones
	// memory is about how many bytes the jobs take, and memoryByAccount those of each account.
	memory          int64
	memoryByAccount map[string]int64
}

// New returns a state machine with an empty state.
func New() *StateMachine {
	m := &StateMachine{}
	m.Restore(State{})
	return m
}

// State returns the state for reading; it must not be retained or changed.
func (m *StateMachine) State() *State {
	return &m.state
}

// Restore replaces the state by that of a snapshot.
func (m *StateMachine) Restore(s State) {
	if s.Jobs == nil {
		s.Jobs = map[string]*JobRecord{}
	}
	if s.VMOrders == nil {
		s.VMOrders = map[string]VMOrder{}
	}
	if s.Tombstones == nil {
		s.Tombstones = map[batch.Tombstone]int64{}
	}
	m.jobs = make(map[string]*Job, len(s.Jobs))
	m.state, m.tasksByWorker, m.ended, m.changed = s, map[string]map[batch.TaskID]struct{}{}, nil, nil
	m.memory, m.memoryByAccount = 0, map[string]int64{}
	m.reserved, m.tombstones = map[string]batch.Resources{}, newTombstones(s.Tombstones)
	for id, r := range s.Jobs {
		j := &Job{JobRecord: r}
		j.derive()
		m.jobs[id] = j
		m.countMemory(j, false)
		if j.Phase.IsTerminal() {
			m.ended = append(m.ended, id)
		}
		for index := range j.Tasks {
			for _, r := range j.Tasks[index].Attempts {
				m.indexAttempt(r.Worker, j.TaskID(index))
				m.reserve(j, j.TaskID(index))
			}
		}
	}
	slices.SortFunc(m.ended, func(a, c string) int {
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

// Reserved returns what the attempts of an account's jobs that may be running need, over all workers.
func (m *StateMachine) Reserved(account string) batch.Resources {
	return m.reserved[account]
}

func (m *StateMachine) reserve(j *Job, id batch.TaskID) {
	if account := j.Spec.Account; account != "" {
		m.reserved[account] = m.reserved[account].Add(j.Spec.Steps[id.Step].Need)
	}
}

func (m *StateMachine) release(j *Job, id batch.TaskID) {
	account := j.Spec.Account
	if account == "" {
		return
	}
	left := m.reserved[account].Sub(j.Spec.Steps[id.Step].Need)
	if left == (batch.Resources{}) {
		delete(m.reserved, account)
		return
	}
	m.reserved[account] = left
}

// TasksOn returns the tasks with attempts that may be running on a worker; the map must not be changed.
func (m *StateMachine) TasksOn(worker string) map[batch.TaskID]struct{} {
	return m.tasksByWorker[worker]
}

// Workers returns the workers on which attempts may be running, in no particular order.
func (m *StateMachine) Workers() []string {
	all := make([]string, 0, len(m.tasksByWorker))
	for w := range m.tasksByWorker {
		all = append(all, w)
	}
	return all
}

// TakeChanged returns the jobs that changed since the last call, possibly more than once each.
func (m *StateMachine) TakeChanged() []string {
	t := m.changed
	m.changed = nil
	return t
}

// FindTask returns a job and one of its tasks; nil for each that is unknown.
func (m *StateMachine) FindTask(id batch.TaskID) (*Job, *Task) {
	j := m.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.Task(id)
}

// Job returns a job by its identity, nil if it is unknown.
func (m *StateMachine) Job(id string) *Job {
	return m.jobs[id]
}

// Jobs returns all jobs by identity; the map must not be changed.
func (m *StateMachine) Jobs() map[string]*Job {
	return m.jobs
}

// Wave returns a wave by its identity, nil if it is unknown.
func (m *StateMachine) Wave(id uint64) *batch.Wave {
	for i := range m.state.Waves {
		if m.state.Waves[i].ID == id {
			return &m.state.Waves[i]
		}
	}
	return nil
}

func (m *StateMachine) indexAttempt(worker string, id batch.TaskID) {
	if m.tasksByWorker[worker] == nil {
		m.tasksByWorker[worker] = map[batch.TaskID]struct{}{}
	}
	m.tasksByWorker[worker][id] = struct{}{}
}

func (m *StateMachine) unindexAttempt(worker string, id batch.TaskID) {
	delete(m.tasksByWorker[worker], id)
	if len(m.tasksByWorker[worker]) == 0 {
		delete(m.tasksByWorker, worker)
	}
}
