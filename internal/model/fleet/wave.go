package fleet

import "time"

// WavePhase is the stage of a maintenance wave; the zero value is not valid.
type WavePhase int

const (
	// WaveRunning means that the wave takes VMs out of service for maintenance.
	WaveRunning WavePhase = iota + 1 // running
	// WaveHalted means that the planner takes no VM out until availability budgets and capacity allow it again.
	WaveHalted // halted
	// WaveHeld means that an operator has paused the wave.
	WaveHeld // held
	// WaveStopped means that the wave's VMs failed more often than others; only an operator can resume it.
	WaveStopped // stopped
	// WaveDone means that every VM in the wave's scope was maintained.
	WaveDone // done
	// WaveCancelled means that an operator ended the wave early.
	WaveCancelled // cancelled
)

// Wave is a maintenance wave: it maintains every VM in its scope that was last maintained before its cutoff.
type Wave struct {
	// Name identifies the wave.
	Name string
	// Urgent means that the wave takes precedence over the regular one.
	Urgent bool
	// Pool limits the wave to one pool; empty for all.
	Pool string
	// DataCentre limits the wave to one data centre; empty for all.
	DataCentre string
	// Cutoff makes each VM due that was last maintained before this time, or never.
	Cutoff time.Time
	// Phase is the stage of the wave.
	Phase WavePhase
	// Cause is the reason for the phase, in words for an operator.
	Cause string
	// Started is the start of the wave.
	Started time.Time
	// FailuresSince is the time from which VM failures count against the wave: its start, or the time at which an
	// operator resumed it after it had stopped itself.
	FailuresSince time.Time
	// Changed is when the phase last changed.
	Changed time.Time
	// Returned counts the VMs that are back from maintenance, on probation or later.
	Returned int
	// PassedProbation counts the VMs that passed the probation after their maintenance.
	PassedProbation int
	// Failed counts the VMs that were lost while the wave had them out of service.
	Failed int
}

// IsOpen reports whether the wave is neither done nor cancelled.
func (w Wave) IsOpen() bool {
	return w.Phase != WaveDone && w.Phase != WaveCancelled
}

// IsDue reports whether the wave still has to maintain v.
func (w Wave) IsDue(v VM) bool {
	inScope := (w.Pool == "" || w.Pool == v.Pool) && (w.DataCentre == "" || w.DataCentre == v.Domain.DataCentre)
	return inScope && v.Maintained.Before(w.Cutoff)
}

// WorkOperatorDrain is the VM.Work of an operator's drain: the VM stays out of service until an operator returns it.
const WorkOperatorDrain = "operator"

// WorkOperatorReboot is the VM.Work of an operator's reboot: the VM returns to service by itself.
const WorkOperatorReboot = "operator-reboot"
