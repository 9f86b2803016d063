package sched

import (
	"bytes"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

func (s *Scheduler) currentConfiguration() *batch.Configuration {
	return &s.options.Log.Batch().State().Configuration
}

func (s *Scheduler) configure(c *batch.Configuration, reply func(batch.Reply)) {
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
	s.replyWhenCommitted(reply, batch.Reply{Code: batch.CodeOK})
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
