package sched

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/model/batch"
)

func (s *Scheduler) currentConfiguration() *batch.Configuration {
	return &s.options.Log.Batch().State().Configuration
}

// configure takes a configuration that arrived at an uptime in milliseconds.
func (s *Scheduler) configure(c *batch.Configuration, arrivedMs int64, reply func(batch.Reply)) {
	current := s.currentConfiguration()
	if err := c.Check(); err != nil {
		s.options.Logger.Info("configuration_refused", zap.Uint64("version", c.Version), zap.Uint64("held", current.Version),
			zap.Error(err))
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: err.Error()})
		return
	}
	s.options.Logger.Info("configuration_taken", zap.Uint64("version", c.Version), zap.Uint64("held", current.Version),
		zap.Int("queues", len(c.Queues)), zap.Bool("same", c.Version == current.Version && bytes.Equal(c.Text, current.Text)))
	if c.Version > current.Version {
		pending := s.proposals.pending.Configuration
		if pending == nil || c.Version > pending.Version {
			s.proposals.pending.Configuration = c
		}
	}
	term := s.term
	s.replyWhenCommitted(func(r batch.Reply) {
		waited := time.Duration(s.now()-arrivedMs) * time.Millisecond
		if r.Code == batch.CodeOK {
			hist.Observe("cowslip_configuration_seconds", hist.Labels{}, waited)
		}
		s.options.Logger.Info("configuration_answered", zap.Uint64("version", c.Version), zap.Stringer("code", r.Code),
			zap.Uint64("in_force", s.currentConfiguration().Version), zap.Int64("waited_ms", waited.Milliseconds()), zap.Uint64("term", term))
		reply(r)
	}, batch.Reply{Code: batch.CodeOK})
}

// readConfiguration replies with the configuration in force, and logs which version that is and on which confirmation the reply
// rests.
func (s *Scheduler) readConfiguration(arrivedMs int64, reply func(batch.Reply)) {
	term := s.term
	s.replyWhenConfirmed(func(r batch.Reply) {
		fields := []zap.Field{zap.Stringer("code", r.Code), zap.Uint64("term", term), zap.Int64("waited_ms", s.now()-arrivedMs)}
		if r.Code == batch.CodeOK {
			fields = append(fields, zap.Uint64("version", s.currentConfiguration().Version),
				zap.Int64("confirmed_ms_ago", s.now()-s.leadership.confirmedMs), zap.Time("confirmed_at", s.leadership.confirmedAt.UTC()))
		}
		s.options.Logger.Info("configuration_read", fields...)
		reply(r)
	}, s.configurationReply)
}

func (s *Scheduler) configurationReply() batch.Reply {
	c := s.currentConfiguration()
	if c.Version == 0 {
		return batch.Reply{Code: batch.CodeNotRun, Detail: "no configuration was accepted yet"}
	}
	return batch.Reply{Code: batch.CodeOK, Text: c.Text}
}
