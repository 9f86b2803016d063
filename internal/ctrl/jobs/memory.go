package jobs

import "cowslipstack/internal/model/batch"

// What a stored job takes, in bytes: in the state, in the leader's view of it, and in a snapshot that is being made.
const (
	jobBytes  = 2500
	stepBytes = 750
	taskBytes = 300
	// textCopies is how many copies of a job's text there are at most: in the state, in the log and in two snapshots.
	textCopies = 4
	// endedJobBytes is what is left of a job that has ended.
	endedJobBytes = 1500
)

// MemoryOf returns about how many bytes a job takes while it is stored.
func MemoryOf(spec *batch.Job) int64 {
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Count
	}
	return jobBytes + textCopies*int64(len(spec.Text)) + stepBytes*int64(len(spec.Steps)) + taskBytes*int64(tasks*spec.Occurrences())
}

// MemoryUsed returns about how many bytes the stored jobs take, those of an account and all.
func (m *StateMachine) MemoryUsed(account string) (own, all int64) {
	return m.memoryByAccount[account], m.memory
}

// countMemory counts what a job takes now; gone is set if it is stored no more.
func (m *StateMachine) countMemory(j *Job, gone bool) {
	bytes := int64(endedJobBytes)
	switch {
	case gone:
		bytes = 0
	case len(j.Spec.Steps) > 0:
		bytes = MemoryOf(&j.Spec)
	}
	m.memory += bytes - j.memory
	if m.memoryByAccount[j.Spec.Account] += bytes - j.memory; m.memoryByAccount[j.Spec.Account] == 0 {
		delete(m.memoryByAccount, j.Spec.Account)
	}
	j.memory = bytes
}
