package sched

import (
	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

// startWave takes an operator's wave of maintenance.
func (e *Scheduler) startWave(w *batch.Wave, reply func(batch.Reply)) {
	if w.ID == 0 || len(w.VMs) == 0 || w.MostAtOnce < 1 || w.DurationMs <= 0 {
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: "a wave needs a number, VMs, a time limit and a most at once"})
		return
	}
	wave := *w
	wave.AcceptedMs = e.wall()
	wave.Begun = nil
	if e.options.Log.Book().Wave(w.ID) == nil && e.commits.next.Wave == nil {
		e.options.Logger.Info("wave_accepting", zap.Uint64("wave", w.ID), zap.Int("vms", len(w.VMs)),
			zap.Int("most_at_once", w.MostAtOnce), zap.Int64("duration_ms", w.DurationMs))
		e.commits.next.Wave = &wave
	}
	e.settle(reply, batch.Reply{Code: batch.CodeOK})
}

func (e *Scheduler) waveState(id uint64) batch.Reply {
	w := e.options.Log.Book().Wave(id)
	if w == nil {
		return batch.Reply{Code: batch.CodeGone, Detail: "no such wave"}
	}
	return batch.Reply{Code: batch.CodeOK, Complete: len(w.Begun) >= len(w.VMs)}
}
