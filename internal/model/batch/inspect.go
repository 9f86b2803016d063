package batch

// Topic is the part of the state that an operator asks about; the zero value is not valid.
type Topic int

const (
	// TopicOverview asks for the leader, the replicas, the pools and waves, and counts of jobs.
	TopicOverview Topic = iota + 1 // overview
	// TopicJob asks for the progress of one job, and what each of its steps waits for.
	TopicJob // job
	// TopicWorkers asks for all workers.
	TopicWorkers // workers
	// TopicVMs asks for all VMs.
	TopicVMs // vms
	// TopicAccounts asks for the client accounts that have jobs, and what their tasks need.
	TopicAccounts // accounts
)

// InspectRequest is an operator's read-only query.
type InspectRequest struct {
	// Topic selects the part of the state.
	Topic Topic
	// Job is the identity of the job, for TopicJob; ignored for other topics.
	Job string
}

// Inspection is the leader's answer to a query; only the field of the topic is set.
type Inspection struct {
	// Overview is the answer to TopicOverview.
	Overview *Overview
	// Job is the answer to TopicJob.
	Job *JobView
	// Workers are the answer to TopicWorkers, sorted by pool and identity.
	Workers []WorkerView
	// VMs are the answer to TopicVMs, sorted by pool and name.
	VMs []VMView
	// Accounts are the answer to TopicAccounts, sorted by name.
	Accounts []AccountView
}

// AccountView describes a client account that has jobs which have not ended.
type AccountView struct {
	// Name is that of the account, and Jobs counts its jobs that have not ended.
	Name string
	Jobs int
	// LargestNeed is, in each dimension, the most that one start needs: a task, or all members of a gang.
	LargestNeed Resources
}

// Overview summarises the state of all batch work.
type Overview struct {
	// Leader is the name of the leader's process, and Term its election term.
	Leader string
	Term   uint64
	// LeaderAgeMs is how long the leader has been active, and ConfirmedAgeMs how long ago a quorum confirmed it, in
	// milliseconds.
	LeaderAgeMs, ConfirmedAgeMs int64
	// Version is that of the configuration in force, and Queues the count of its queues.
	Version uint64
	Queues  int
	// Queued, Running and Ended are counts of jobs; Ended are those that the leader still remembers.
	Queued, Running, Ended int
	// Members are the replicas of the replicated log.
	Members []MemberView
	// Pools are those of the configuration, in its order.
	Pools []PoolView
	// Waves are the maintenance waves, oldest first.
	Waves []WaveView
}

// MemberView describes one replica of the replicated log.
type MemberView struct {
	// Name is the name of its process.
	Name string
	// Role is leader, voter or learner.
	Role string
	// RecentlyHeard means that a message from it arrived recently, and CaughtUp that it holds all committed log
	// entries.
	RecentlyHeard, CaughtUp bool
}

// PoolView describes one pool.
type PoolView struct {
	// Name is that of the configuration.
	Name string
	// Standby means that its VMs are powered off.
	Standby bool
	// VMs counts the VMs that the provider lists, Workers the workers that accept tasks, Running the attempts that run
	// and Ready the tasks that wait for a worker.
	VMs, Workers, Running, Ready int
}

// WaveView describes one maintenance wave.
type WaveView struct {
	// ID is the number that the operator gave the wave.
	ID uint64
	// Begun counts the VMs whose maintenance is under way or complete, or which are gone, out of VMs; at most MaxConcurrent
	// are out at one time.
	Begun, VMs, MaxConcurrent int
	// LeftMs is the time until the wave's deadline, in milliseconds; negative after it.
	LeftMs int64
}

// JobView describes the progress of one job.
type JobView struct {
	// ID is the identity of the job and Pool the pool that runs its tasks.
	ID, Pool string
	Phase    Phase
	// AgeMs is the time since the job was accepted. SlackMs is the time until its SLO, less its longest remaining chain of
	// work. Both are in milliseconds.
	AgeMs, SlackMs int64
	// Steps are the job's steps, once for each occurrence that is due; empty for a job that has ended.
	Steps []StepView
	// Attempts are the attempts that may be running.
	Attempts []AttemptView
}

// StepView describes the progress of one step of one occurrence.
type StepView struct {
	// Occurrence and Step count from 0.
	Occurrence, Step int
	// Tasks counts the step's tasks, Done, Running and Ordered those that are done, that a worker lists, and that were
	// ordered and that no worker lists; Failures counts their failed attempts.
	Tasks, Done, Running, Ordered, Failures int
	// WaitingFor says what the tasks that have not started wait for; empty if there are none.
	WaitingFor string
}

// AttemptView describes one attempt that may be running.
type AttemptView struct {
	// Attempt is the number of the task's start, from 1, and Worker the worker that it was assigned to.
	Task    TaskID
	Attempt int
	Worker  string
	// Percent is the attempt's progress; -1 if its worker has not reported it yet.
	Percent int
}

// WorkerView describes one worker.
type WorkerView struct {
	// ID is the worker's identity, Pool the pool that it works for and VM the VM that it runs on.
	ID, Pool, VM string
	// State says whether the worker accepts tasks, and if not, why.
	State string
	// Running counts the attempts in its latest heartbeat.
	Running int
	// Free is the part of its capacity that no task uses.
	Free Resources
	// HeartbeatAgeMs is the time since its latest heartbeat, and LeaseMs the most time that its lease can last, in
	// milliseconds.
	HeartbeatAgeMs, LeaseMs int64
	// BestEffortPercent is the rate of the tasks there that use spare processor time, in percent of full speed.
	BestEffortPercent int
}

// VMView describes one VM.
type VMView struct {
	// Name is the provider's name for the VM, Pool the pool that it belongs to and Worker the worker that runs on it.
	Name, Pool, Worker string
	// State is the latest known state of the VM.
	State string
	// Plan says what is planned or under way for the VM; empty for nothing.
	Plan string
	// ListingAgeMs is the time since the provider last listed the VM, in milliseconds.
	ListingAgeMs int64
}
