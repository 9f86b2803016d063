package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// callerOf returns the account whose key a call presents; empty if no account has it.
func (s *Scheduler) callerOf(c *batch.Call) string {
	s.accounts.Configure(s.currentConfiguration())
	return s.accounts.HolderOf(c.Credential)
}

// maySubmit reports whether a call may submit a job to a queue or ask how many of its jobs wait.
func (s *Scheduler) maySubmit(c *batch.Call, q *batch.Queue) bool {
	return !s.currentConfiguration().RequiresKeys || q.Public || s.callerOf(c) != ""
}

// access is what a caller may do with a job; the zero value is invalid.
type access int

const (
	// accessGranted means that the job is the caller's or no account's, or that its queue is public.
	accessGranted access = iota + 1 // granted
	// accessHidden means that the job belongs to another account: for the caller there is none.
	accessHidden // hidden
	// accessDenied means that the caller has no valid key.
	accessDenied // denied
)

// accessTo returns whether a call may see and cancel a job, which is nil if there is none.
func (s *Scheduler) accessTo(c *batch.Call, target *batch.RequestTarget, j *jobs.Job) access {
	configuration := s.currentConfiguration()
	if c.Operator || !configuration.RequiresKeys {
		return accessGranted
	}
	var q *batch.Queue
	if j != nil {
		// The path may name another queue than that of the job.
		q = configuration.Queue(j.Spec.Queue)
	} else {
		q, _ = configuration.Match(target.Host, target.Path)
	}
	caller := s.callerOf(c)
	switch {
	case q != nil && q.Public, j == nil && q == nil:
		return accessGranted
	case caller == "":
		return accessDenied
	case j == nil, j.Spec.Account == "", j.Spec.Account == caller:
		return accessGranted
	default:
		return accessHidden
	}
}

// replyUnauthorized replies that a call needs a key, once the leadership is confirmed: a former leader may not know the key yet.
func (s *Scheduler) replyUnauthorized(reply func(batch.Reply), target *batch.RequestTarget) {
	refusal := s.refuseUnauthorized(target)
	s.replyWhenConfirmed(reply, func() batch.Reply { return refusal })
}

// refuseUnauthorized logs that a call needs a key, and returns the reply.
func (s *Scheduler) refuseUnauthorized(target *batch.RequestTarget) batch.Reply {
	unauthorizedTotal.Inc()
	s.options.Logger.Info("call_unauthorized", zap.String("host", target.Host), zap.String("path", target.Path),
		zap.Uint64("configuration", s.currentConfiguration().Version), zap.Uint64("term", s.term))
	return batch.Reply{Code: batch.CodeUnauthorized, Detail: "the call needs a key of a client account"}
}

// conflicts reports whether another account's job, stored or about to be, has a job's identity. Without keys nothing tells whose
// a job is: the account that submitted one may be the caller that sends it again.
func (s *Scheduler) conflicts(job *batch.Job) bool {
	if !s.currentConfiguration().RequiresKeys {
		return false
	}
	holder := job.Account
	if existing := s.options.Log.Batch().Job(job.ID); existing != nil {
		holder = existing.Spec.Account
	} else if record := s.submitting[job.ID]; record != nil {
		holder = record.account
	}
	return holder != "" && holder != job.Account
}

// replyConflict replies that another account's job has the identity of a job.
func (s *Scheduler) replyConflict(reply func(batch.Reply), job *batch.Job) {
	s.options.Logger.Info("job_identity_taken", zap.String("job", job.ID), zap.String("account", job.Account), zap.Uint64("term", s.term))
	s.replyWhenConfirmed(reply, func() batch.Reply {
		return batch.Reply{Code: batch.CodeConflict, Detail: "another job has this identity"}
	})
}
