package sched

import (
	"hash/fnv"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

const (
	// smallJobBytes is the size up to which a job may use the last part of the memory for jobs, which keeps ordinary jobs accepted
	// while large ones fill the rest; smallJobShare is the inverse of that part.
	smallJobBytes = 16 << 10
	smallJobShare = 8
	// accountMemoryShare is the inverse of the part of the memory that the jobs of one client account may take, unless a single one
	// takes more; accountLittleShare is that of the part beside which any single one is taken.
	accountMemoryShare = 2
	accountLittleShare = 8
	// memoryRetryMs is after how many milliseconds the caller of a job may come back that there was no memory for; they come back
	// over as long a time.
	memoryRetryMs = 5000
)

// refuseForMemory refuses a new job that would take more memory than there is for jobs, and reports whether it did. Nothing of the job
// is stored; a job that is proposed already is never refused.
func (s *Scheduler) refuseForMemory(job *batch.Job, reply func(batch.Reply)) bool {
	bytes := jobs.MemoryOf(job)
	if s.submitting[job.ID] != nil || s.hasMemoryFor(job.Account, bytes) {
		return false
	}
	own, all := s.options.Log.Batch().MemoryUsed(job.Account)
	spread := fnv.New64a()
	_, _ = spread.Write([]byte(job.ID))
	retryMs := memoryRetryMs + int64(spread.Sum64()%memoryRetryMs)
	jobsWithoutMemoryTotal.Inc()
	s.options.Logger.Warn("job_refused_for_memory", zap.String("job", job.ID), zap.String("account", job.Account), zap.Int64("bytes", bytes),
		zap.Int64("used_by_account", own), zap.Int64("used", all), zap.Int64("limit", s.options.JobMemoryBytes),
		zap.Int64("retry_after_ms", retryMs), zap.Uint64("term", s.term))
	s.replyRefused(reply, job.ID, batch.Reply{
		Code: batch.CodeRefused, Detail: "the job has not run: too many jobs are stored", RetryAfterMs: retryMs,
	})
	return true
}

// proposedBytes is what the jobs take whose record is proposed and not yet applied.
type proposedBytes struct {
	all       int64
	byAccount map[string]int64
}

func (p *proposedBytes) add(account string, bytes int64) {
	p.all += bytes
	if p.byAccount[account] += bytes; p.byAccount[account] == 0 {
		delete(p.byAccount, account)
	}
}

// hasMemoryFor reports whether there is memory for a job of an account that takes so many bytes.
func (s *Scheduler) hasMemoryFor(account string, bytes int64) bool {
	limit := s.options.JobMemoryBytes
	own, all := s.options.Log.Batch().MemoryUsed(account)
	own, all = own+s.submittingBytes.byAccount[account], all+s.submittingBytes.all
	if account != "" && own > limit/accountLittleShare && own+bytes > limit/accountMemoryShare {
		return false
	}
	if bytes > smallJobBytes {
		limit -= limit / smallJobShare
	}
	return all+bytes <= limit
}
