package sched

import (
	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// jobRecord is the record of a new job that is proposed and not yet applied.
type jobRecord struct {
	// calls counts the submissions that wait for it.
	calls int
	// account is the client account of the job, and bytes the memory that it takes.
	account string
	bytes   int64
	// after are called once the record is applied or lost.
	after []func()
}

// noteSubmitting counts a submission of a job whose record is about to be proposed.
func (s *Scheduler) noteSubmitting(job *batch.Job) *jobRecord {
	record := s.submitting[job.ID]
	if record == nil {
		record = &jobRecord{account: job.Account, bytes: jobs.MemoryOf(job)}
		s.submitting[job.ID] = record
		s.submittingBytes.add(record.account, record.bytes)
	}
	record.calls++
	return record
}

// endSubmitting ends the wait of a submission, as noted by a leader that may have stepped down since.
func (s *Scheduler) endSubmitting(id string, record *jobRecord) {
	if record.calls--; record.calls > 0 {
		return
	}
	if s.submitting[id] == record {
		delete(s.submitting, id)
		s.submittingBytes.add(record.account, -record.bytes)
	}
	for _, f := range record.after {
		f()
	}
}

// afterSubmission calls f at once, or where a record of the job is proposed, once that is applied or lost.
func (s *Scheduler) afterSubmission(id string, f func()) {
	if record := s.submitting[id]; record != nil {
		record.after = append(record.after, f)
		return
	}
	f()
}
