package sched

import (
	"fmt"
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/model/batch"
)

// maxVMs is the number of VMs that a wave may name: far more than a site has.
const maxVMs = 16_384

// startWave accepts a maintenance wave from an operator.
func (s *Scheduler) startWave(w *batch.Wave, reply func(batch.Reply)) {
	if w.ID == 0 || len(w.VMs) == 0 || w.MaxConcurrent < 1 || w.DurationMs <= 0 {
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: "a wave needs a number, VMs, a time limit and a most at once"})
		return
	}
	if len(w.VMs) > maxVMs {
		reply(batch.Reply{Code: batch.CodeInvalid, Detail: fmt.Sprintf("a wave names %d VMs at most", maxVMs)})
		return
	}
	wave := *w
	wave.VMs = uniqueNames(w.VMs)
	wave.AcceptedMs = s.wallMs()
	wave.Begun, wave.Gone = nil, nil
	isPending := slices.ContainsFunc(s.proposals.pending.Waves, func(p batch.Wave) bool { return p.ID == w.ID })
	if s.options.Log.Batch().Wave(w.ID) == nil && !isPending {
		s.options.Logger.Info("wave_accepting", zap.Uint64("wave", w.ID), zap.Int("vms", len(w.VMs)),
			zap.Int("most_at_once", w.MaxConcurrent), zap.Int64("duration_ms", w.DurationMs))
		s.proposals.pending.Waves = append(s.proposals.pending.Waves, wave)
	}
	s.replyWhenCommitted(reply, batch.Reply{Code: batch.CodeOK})
}

func (s *Scheduler) waveState(id uint64) batch.Reply {
	w := s.options.Log.Batch().Wave(id)
	if w == nil {
		return batch.Reply{Code: batch.CodeGone, Detail: "no such wave"}
	}
	return batch.Reply{Code: batch.CodeOK, Complete: w.IsComplete() && len(s.returnedVMs(w)) == 0}
}

// returnedVMs returns the VMs of a wave that are recorded as gone and that the list holds.
func (s *Scheduler) returnedVMs(w *batch.Wave) []string {
	var returned []string
	for _, name := range w.Gone {
		if s.fleet.vms[name] != nil {
			returned = append(returned, name)
		}
	}
	return returned
}

// uniqueNames returns names in their order without repetitions.
func uniqueNames(names []string) []string {
	seen := make(map[string]bool, len(names))
	var unique []string
	for _, name := range names {
		if !seen[name] {
			seen[name] = true
			unique = append(unique, name)
		}
	}
	return unique
}
