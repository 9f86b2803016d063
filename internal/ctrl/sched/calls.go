package sched

import (
	"strings"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// Call handles a call of a caller, an operator or a worker that arrived at an uptime in milliseconds; reply is called
// once, on the control loop.
func (s *Scheduler) Call(c *batch.Call, arrivedMs int64, reply func(batch.Reply)) {
	if !s.active {
		reply(batch.Reply{Code: batch.CodeNotRun, Detail: "this process does not lead"})
		return
	}
	if s.currentConfiguration().Version == 0 && !s.options.HasEnoughVoters() {
		reply(batch.Reply{Code: batch.CodeNotRun, Detail: "too few replicas vote yet"})
		return
	}
	if s.now()-arrivedMs > maxQueuedMs && c.Sheddable() {
		s.shed(c, arrivedMs, reply)
		return
	}
	switch {
	case c.Submit != nil:
		s.submit(c, reply)
	case c.Cancel != nil:
		s.afterSubmission(lastSegment(c.Cancel.Path), func() { s.cancel(c, reply) })
	case c.JobState != nil:
		s.afterSubmission(lastSegment(c.JobState.Path), func() { s.jobState(c, reply) })
	case c.Pending != nil:
		s.pendingJobs(c, reply)
	case c.ReadAccess != nil:
		s.replyWhenConfirmed(reply, func() batch.Reply {
			return batch.Reply{Code: batch.CodeOK, Access: s.currentConfiguration().AccessTable(c.ReadAccess.KnownVersion)}
		})
	case c.Heartbeat != nil:
		s.handleHeartbeat(c.Heartbeat, arrivedMs, reply)
	case c.Deregister != nil:
		s.handleDeregistration(c.Deregister, reply)
	case c.Configure != nil:
		s.configure(c.Configure, arrivedMs, reply)
	case c.ReadConfiguration:
		s.readConfiguration(arrivedMs, reply)
	case c.StartWave != nil:
		s.startWave(c.StartWave, reply)
	case c.WaveState > 0:
		s.replyWhenConfirmed(reply, func() batch.Reply { return s.waveState(c.WaveState) })
	case c.Inspect != nil:
		s.replyWhenConfirmed(reply, func() batch.Reply { return s.inspect(c.Inspect) })
	default:
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: "the call holds nothing that this version knows"})
	}
}

// shed refuses a call that waited too long for the control loop: what its caller still waits for would come too late.
// A worker's heartbeat is acknowledged, so that the worker doesn't call another process at once; it grants no lease.
func (s *Scheduler) shed(c *batch.Call, arrivedMs int64, reply func(batch.Reply)) {
	callsShedTotal.Inc()
	s.options.Logger.Info("call_shed", zap.Int64("queued_ms", s.now()-arrivedMs), zap.Bool("heartbeat", c.Heartbeat != nil),
		zap.Uint64("term", s.term))
	if c.Heartbeat != nil {
		reply(batch.Reply{Code: batch.CodeOK, Orders: batch.Orders{NextHeartbeatMs: overloadHeartbeatMs}})
		return
	}
	reply(batch.Reply{Code: batch.CodeOverloaded, Detail: "the leader is behind"})
}

// replyWhenConfirmed replies from the replicated state once the leadership is confirmed.
func (s *Scheduler) replyWhenConfirmed(reply func(batch.Reply), answer func() batch.Reply) {
	if !s.active {
		reply(batch.Reply{Code: batch.CodeNotRun, Detail: "this process does not lead"})
		return
	}
	s.whenConfirmed(func(ok bool) {
		if !ok {
			reply(batch.Reply{Code: batch.CodeNotRun, Detail: "the leadership isn't confirmed"})
			return
		}
		reply(answer())
	})
}

// replyWhenCommitted replies to a change once it is committed.
func (s *Scheduler) replyWhenCommitted(reply func(batch.Reply), done batch.Reply) {
	s.commit(func(ok bool) {
		if !ok {
			done = batch.Reply{Code: batch.CodeUnknown, Detail: "the leadership changed before the record was committed"}
		}
		reply(done)
	})
}

func (s *Scheduler) submit(c *batch.Call, reply func(batch.Reply)) {
	submission := c.Submit
	q, id := s.currentConfiguration().Match(submission.Host, submission.Path)
	if q == nil {
		s.replyNotFound(reply, submission.Host, submission.Path, "no queue has this host and path")
		return
	}
	if !s.maySubmit(c, q) {
		s.replyUnauthorized(reply, &batch.RequestTarget{Host: submission.Host, Path: submission.Path})
		return
	}
	job := submission.Job
	job.ID, job.Queue, job.Pool, job.Account = id, q.Key(), q.Pool, s.callerOf(c)
	job.MaxAttempts, job.AcceptedMs, job.FirstSubmittedMs = q.MaxAttempts, s.wallMs(), s.refusals.FirstMs(id)
	if err := job.Check(); err != nil {
		s.options.Logger.Info("job_refused", zap.String("job", id), zap.String("host", submission.Host), zap.Error(err))
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: err.Error()})
		return
	}
	if s.conflicts(&job) {
		s.replyConflict(reply, &job)
		return
	}
	if existing := s.options.Log.Batch().Job(id); existing != nil {
		s.replyWhenConfirmed(reply, func() batch.Reply { return batch.Reply{Code: batch.CodeOK, Phase: existing.Phase} })
		return
	}
	if !s.options.Log.Batch().IsCancelledAhead(&job) && (s.refuseForMemory(&job, reply) || s.refuseHopeless(&job, reply)) {
		return
	}
	s.proposals.pending.NewJobs = append(s.proposals.pending.NewJobs, job)
	record := s.noteSubmitting(&job)
	s.logAccepting(&job)
	s.replyWhenCommitted(func(r batch.Reply) {
		if j := s.options.Log.Batch().Job(id); r.Code == batch.CodeOK && j != nil {
			r.Phase = j.Phase
		}
		reply(r)
		s.endSubmitting(id, record)
	}, batch.Reply{Code: batch.CodeOK, Phase: batch.PhaseQueued})
}

// replyNotFound replies that no queue matches, once the leadership is confirmed.
func (s *Scheduler) replyNotFound(reply func(batch.Reply), host, path, detail string) {
	s.options.Logger.Info("call_refused", zap.String("host", host), zap.String("path", path), zap.String("cause", detail),
		zap.Uint64("configuration", s.currentConfiguration().Version))
	s.replyWhenConfirmed(reply, func() batch.Reply { return batch.Reply{Code: batch.CodeNotFound, Detail: detail} })
}

func (s *Scheduler) cancel(c *batch.Call, reply func(batch.Reply)) {
	id := lastSegment(c.Cancel.Path)
	j := s.options.Log.Batch().Job(id)
	access := accessGranted
	if s.active {
		access = s.accessTo(c, c.Cancel, j)
	}
	if access == accessDenied {
		s.replyUnauthorized(reply, c.Cancel)
		return
	}
	if !s.active || j == nil || access == accessHidden {
		s.cancelUnknown(c, id, reply)
		return
	}
	if j.Phase.IsTerminal() {
		s.replyWhenConfirmed(reply, func() batch.Reply { return batch.Reply{Code: batch.CodeOK, Phase: j.Phase} })
		return
	}
	s.options.Logger.Info("job_cancelling", zap.String("job", id), zap.Stringer("phase", j.Phase),
		zap.Int("running", j.LiveAttempts))
	s.proposals.pending.CancelledJobs = append(s.proposals.pending.CancelledJobs, id)
	s.replyWhenCommitted(reply, batch.Reply{Code: batch.CodeOK, Phase: batch.PhaseCancelled})
}

// jobState replies with the phase of a job. What the caller may see is judged when the reply is made, by the configuration that it rests on.
func (s *Scheduler) jobState(c *batch.Call, reply func(batch.Reply)) {
	id := lastSegment(c.JobState.Path)
	s.replyWhenConfirmed(reply, func() batch.Reply {
		j := s.options.Log.Batch().Job(id)
		switch access := s.accessTo(c, c.JobState, j); {
		case access == accessDenied:
			return s.refuseUnauthorized(c.JobState)
		case j == nil || access == accessHidden:
			return batch.Reply{Code: batch.CodeGone, Detail: "no such job"}
		default:
			return batch.Reply{Code: batch.CodeOK, Phase: j.Phase}
		}
	})
}

// lastSegment returns what follows the last slash of a path.
func lastSegment(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

// pendingJobs replies with the number of jobs of a queue that wait. As in jobState, the caller's key is judged when the reply is made.
func (s *Scheduler) pendingJobs(c *batch.Call, reply func(batch.Reply)) {
	l := c.Pending
	s.replyWhenConfirmed(reply, func() batch.Reply {
		q, rest := s.currentConfiguration().Match(l.Host, l.Path)
		switch {
		case q == nil || rest != "":
			return batch.Reply{Code: batch.CodeNotFound, Detail: "no queue has this host and path"}
		case !s.maySubmit(c, q):
			return s.refuseUnauthorized(l)
		default:
			return batch.Reply{Code: batch.CodeOK, Pending: s.countWaiting(q)}
		}
	})
}

// findTask returns a job and one of its tasks from the replicated state; nil for each that is unknown.
func (s *Scheduler) findTask(id batch.TaskID) (*jobs.Job, *jobs.Task) {
	return s.options.Log.Batch().FindTask(id)
}
