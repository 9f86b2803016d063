package sched

import (
	"bytes"
	"strings"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// Call takes a call of a caller, an operator or a worker; reply is called once, on the loop.
func (e *Scheduler) Call(c *batch.Call, reply func(batch.Reply)) {
	if !e.active {
		reply(batch.Reply{Code: batch.CodeNotRun, Detail: "this process does not lead"})
		return
	}
	if e.current().Version == 0 && !e.options.Enough() {
		reply(batch.Reply{Code: batch.CodeNotRun, Detail: "too few replicas vote yet"})
		return
	}
	switch {
	case c.Submit != nil:
		e.submit(c.Submit, reply)
	case c.Cancel != nil:
		e.cancel(c.Cancel, reply)
	case c.State != nil:
		e.read(reply, func() batch.Reply { return e.jobState(c.State) })
	case c.Pending != nil:
		e.read(reply, func() batch.Reply { return e.pending(c.Pending) })
	case c.Heartbeat != nil:
		e.heartbeat(c.Heartbeat, reply)
	case c.Leave != nil:
		e.leave(c.Leave, reply)
	case c.Configure != nil:
		e.configure(c.Configure, reply)
	case c.ReadConfiguration:
		e.read(reply, e.configuration)
	case c.StartWave != nil:
		e.startWave(c.StartWave, reply)
	case c.WaveState > 0:
		e.read(reply, func() batch.Reply { return e.waveState(c.WaveState) })
	case c.Inspect != nil:
		e.read(reply, func() batch.Reply { return e.inspect(c.Inspect) })
	default:
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: "the call holds nothing that this version knows"})
	}
}

// read answers from the state once the leadership is confirmed.
func (e *Scheduler) read(reply func(batch.Reply), answer func() batch.Reply) {
	e.whenFresh(func(ok bool) {
		if !ok {
			reply(batch.Reply{Code: batch.CodeNotRun, Detail: "the leadership isn't confirmed"})
			return
		}
		reply(answer())
	})
}

// settle answers a change once it is committed.
func (e *Scheduler) settle(reply func(batch.Reply), done batch.Reply) {
	e.commit(func(ok bool) {
		if !ok {
			done = batch.Reply{Code: batch.CodeUnknown, Detail: "the leadership changed before the record was committed"}
		}
		reply(done)
	})
}

func (e *Scheduler) current() *batch.Configuration {
	return &e.options.Log.Book().State().Configuration
}

func (e *Scheduler) submit(s *batch.Submission, reply func(batch.Reply)) {
	q, id := e.current().Match(s.Host, s.Path)
	if q == nil {
		e.refuse(reply, s.Host, s.Path, "no queue has this host and path")
		return
	}
	job := s.Job
	job.ID, job.Queue, job.Pool = id, q.Key(), q.Pool
	job.MaxAttempts, job.AcceptedMs = q.MaxAttempts, e.wall()
	if err := job.Check(); err != nil {
		e.options.Logger.Info("job_refused", zap.String("job", id), zap.String("host", s.Host), zap.Error(err))
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: err.Error()})
		return
	}
	if held := e.options.Log.Book().Job(id); held != nil {
		e.read(reply, func() batch.Reply { return batch.Reply{Code: batch.CodeOK, Phase: held.Phase} })
		return
	}
	e.commits.next.Submits = append(e.commits.next.Submits, job)
	e.options.Logger.Info("job_accepting", zap.String("job", id), zap.String("pool", q.Pool), zap.Int("steps", len(job.Steps)),
		zap.Uint64("configuration", e.current().Version), zap.Uint64("term", e.term))
	e.settle(reply, batch.Reply{Code: batch.CodeOK, Phase: batch.PhaseQueued})
}

// refuse tells that no queue fits, once the leadership is confirmed.
func (e *Scheduler) refuse(reply func(batch.Reply), host, path, why string) {
	e.options.Logger.Info("call_refused", zap.String("host", host), zap.String("path", path), zap.String("cause", why),
		zap.Uint64("configuration", e.current().Version))
	e.read(reply, func() batch.Reply { return batch.Reply{Code: batch.CodeNotFound, Detail: why} })
}

func (e *Scheduler) cancel(l *batch.Lookup, reply func(batch.Reply)) {
	id := lastPart(l.Path)
	j := e.options.Log.Book().Job(id)
	if j == nil {
		e.read(reply, func() batch.Reply { return batch.Reply{Code: batch.CodeGone, Detail: "no such job"} })
		return
	}
	if j.Phase.Over() {
		e.read(reply, func() batch.Reply { return batch.Reply{Code: batch.CodeOK, Phase: j.Phase} })
		return
	}
	e.options.Logger.Info("job_cancelling", zap.String("job", id), zap.Stringer("phase", j.Phase), zap.Int("running", j.Live))
	e.commits.next.Cancels = append(e.commits.next.Cancels, id)
	e.settle(reply, batch.Reply{Code: batch.CodeOK, Phase: batch.PhaseCancelled})
}

func (e *Scheduler) jobState(l *batch.Lookup) batch.Reply {
	j := e.options.Log.Book().Job(lastPart(l.Path))
	if j == nil {
		return batch.Reply{Code: batch.CodeGone, Detail: "no such job"}
	}
	return batch.Reply{Code: batch.CodeOK, Phase: j.Phase}
}

// lastPart returns what follows the last slash of a path.
func lastPart(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

func (e *Scheduler) pending(l *batch.Lookup) batch.Reply {
	q, rest := e.current().Match(l.Host, l.Path)
	if q == nil || rest != "" {
		return batch.Reply{Code: batch.CodeNotFound, Detail: "no queue has this host and path"}
	}
	key, count := q.Key(), 0
	for _, w := range e.jobs {
		if w.job.Job.Queue == key && w.job.Phase == batch.PhaseQueued {
			count++
		}
	}
	return batch.Reply{Code: batch.CodeOK, Pending: count}
}

func (e *Scheduler) configure(c *batch.Configuration, reply func(batch.Reply)) {
	held := e.current()
	if err := c.Check(); err != nil {
		e.options.Logger.Info("configuration_refused", zap.Uint64("version", c.Version), zap.Uint64("held", held.Version), zap.Error(err))
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: err.Error()})
		return
	}
	e.options.Logger.Info("configuration_taken", zap.Uint64("version", c.Version), zap.Uint64("held", held.Version),
		zap.Int("queues", len(c.Queues)), zap.Bool("same", c.Version == held.Version && bytes.Equal(c.Text, held.Text)))
	if c.Version > held.Version {
		pending := e.commits.next.Configuration
		if pending == nil || c.Version > pending.Version {
			e.commits.next.Configuration = c
		}
	}
	e.settle(reply, batch.Reply{Code: batch.CodeOK})
}

func (e *Scheduler) configuration() batch.Reply {
	c := e.current()
	if c.Version == 0 {
		return batch.Reply{Code: batch.CodeNotRun, Detail: "no configuration was accepted yet"}
	}
	return batch.Reply{Code: batch.CodeOK, Text: c.Text}
}

// find returns a job and a task of the book, nil where it isn't known.
func (e *Scheduler) find(id batch.TaskID) (*jobs.Job, *jobs.Task) {
	return e.options.Log.Book().Find(id)
}
