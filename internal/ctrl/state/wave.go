package state

import (
	"fmt"
	"slices"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// maxWaves bounds the waves that are kept; open waves are never dropped.
const maxWaves = 32

// waveStep is one transition of a wave: the phases that it may start from and the phase that it leads to.
type waveStep struct {
	from []fleet.WavePhase
	to   fleet.WavePhase
}

var waveSteps = map[record.WaveStep]waveStep{
	record.WaveHalt:     {from: []fleet.WavePhase{fleet.WaveRunning}, to: fleet.WaveHalted},
	record.WaveContinue: {from: []fleet.WavePhase{fleet.WaveHalted}, to: fleet.WaveRunning},
	record.WaveStop:     {from: []fleet.WavePhase{fleet.WaveRunning, fleet.WaveHalted}, to: fleet.WaveStopped},
	record.WaveHold:     {from: []fleet.WavePhase{fleet.WaveRunning, fleet.WaveHalted, fleet.WaveStopped}, to: fleet.WaveHeld},
	record.WaveResume:   {from: []fleet.WavePhase{fleet.WaveHeld, fleet.WaveStopped}, to: fleet.WaveRunning},
	record.WaveFinish:   {from: []fleet.WavePhase{fleet.WaveRunning, fleet.WaveHalted}, to: fleet.WaveDone},
	record.WaveCancel: {
		from: []fleet.WavePhase{fleet.WaveRunning, fleet.WaveHalted, fleet.WaveHeld, fleet.WaveStopped},
		to:   fleet.WaveCancelled,
	},
}

func (m *Machine) applyWave(c record.WaveChange, now time.Time) record.Result {
	index := m.waveIndex(c.Wave)
	if c.Step == record.WaveStart {
		return m.startWave(c, index, now)
	}
	step, ok := waveSteps[c.Step]
	switch {
	case !ok:
		return record.Result{Code: record.CodeInvalid, Message: fmt.Sprintf("unknown step %d", int(c.Step))}
	case index < 0:
		return record.Result{Code: record.CodeNotFound, Message: fmt.Sprintf("no wave is named %q", c.Wave)}
	}
	w := m.state.Waves[index]
	if !slices.Contains(step.from, w.Phase) {
		return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("wave %q is %s; %s needs one of %v", w.Name, w.Phase, c.Step, step.from)}
	}
	if c.Step == record.WaveResume && w.Phase == fleet.WaveStopped {
		// An operator who resumes a stopped wave has looked at its failures, so they no longer count.
		w.Failed, w.PassedProbation, w.Returned, w.FailuresSince = 0, 0, 0, now
	}
	w.Phase, w.Cause, w.Changed = step.to, c.Cause, now
	m.replaceWave(index, w)
	return record.Result{Code: record.CodeOK}
}

func (m *Machine) startWave(c record.WaveChange, index int, now time.Time) record.Result {
	if c.Wave == "" || c.Cutoff.IsZero() {
		return record.Result{Code: record.CodeInvalid, Message: "a wave needs a name and a cutoff"}
	}
	if index >= 0 {
		return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("a wave is named %q already", c.Wave)}
	}
	for _, w := range m.state.Waves {
		if w.IsOpen() && w.Urgent == c.Urgent {
			return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("wave %q is %s", w.Name, w.Phase)}
		}
	}
	waves := append(slices.Clone(m.state.Waves), fleet.Wave{
		Name: c.Wave, Urgent: c.Urgent, Pool: c.Pool, DataCentre: c.DataCentre, Cutoff: c.Cutoff,
		Phase: fleet.WaveRunning, Cause: c.Cause, Started: now, FailuresSince: now, Changed: now,
	})
	if len(waves) > maxWaves {
		oldest := slices.IndexFunc(waves, func(w fleet.Wave) bool { return !w.IsOpen() })
		waves = slices.Delete(waves, oldest, oldest+1)
	}
	m.state.Waves = waves
	return record.Result{Code: record.CodeOK}
}

// updateWaveCounts updates the counts of the wave that the VM was in, after the VM has failed, returned or passed its
// probation.
func (m *Machine) updateWaveCounts(before, after fleet.VM) {
	index := m.waveIndex(before.Work)
	if before.Work == "" || index < 0 {
		return
	}
	w := m.state.Waves[index]
	switch {
	case after.Phase == fleet.PhaseFailed:
		w.Failed++
	case before.Phase == fleet.PhaseStopped && after.Phase == fleet.PhaseProbation:
		w.Returned++
	case before.Phase == fleet.PhaseProbation && after.Phase == fleet.PhaseActive && !after.Maintained.Before(w.Started):
		w.PassedProbation++
	default:
		return
	}
	m.replaceWave(index, w)
}

func (m *Machine) waveIndex(name string) int {
	return slices.IndexFunc(m.state.Waves, func(w fleet.Wave) bool { return w.Name == name })
}

// replaceWave replaces a wave in a copy of the slice, since readers may hold the old slice.
func (m *Machine) replaceWave(index int, w fleet.Wave) {
	m.state.Waves = slices.Clone(m.state.Waves)
	m.state.Waves[index] = w
}
