package fleet

import "time"

// WavePhase is where a wave is in its life; the zero value is not valid.
type WavePhase int

const (
	// WaveRunning means that the wave takes VMs out for maintenance.
	WaveRunning WavePhase = iota + 1 // running
	// WaveHalted means that the plan takes no VM out until a budget or capacity allows it again.
	WaveHalted // halted
	// WaveHeld means that an operator holds the wave.
	WaveHeld // held
	// WaveStopped means that the wave's VMs failed more than others; only an operator resumes it.
	WaveStopped // stopped
	// WaveDone means that every VM of the wave was maintained.
	WaveDone // done
	// WaveCancelled means that an operator ended the wave early.
	WaveCancelled // cancelled
)

// Wave maintains every VM in its scope that was last maintained before its cutoff.
type Wave struct {
	// Name is the wave's name.
	Name string
	// Urgent means that the wave goes before the regular one.
	Urgent bool
	// Pool limits the wave to one pool; empty for all.
	Pool string
	// DataCentre limits the wave to one data centre; empty for all.
	DataCentre string
	// Cutoff is the time before which a VM must have been maintained to be due.
	Cutoff time.Time
	// Phase is where the wave is in its life.
	Phase WavePhase
	// Cause tells an operator why the wave is in its phase.
	Cause string
	// Started is when the wave began.
	Started time.Time
	// Judged is from when on failures count against the wave: its start, or its resume after it stopped itself.
	Judged time.Time
	// Changed is when the wave's phase last changed.
	Changed time.Time
	// Returned counts VMs that came back from their maintenance.
	Returned int
	// Proven counts VMs that have passed their probation.
	Proven int
	// Failed counts VMs that were lost while the wave had them out.
	Failed int
}

// Open says whether the wave is not over yet.
func (w Wave) Open() bool {
	return w.Phase != WaveDone && w.Phase != WaveCancelled
}

// Due says whether the wave still has to maintain a VM.
func (w Wave) Due(v VM) bool {
	inScope := (w.Pool == "" || w.Pool == v.Pool) && (w.DataCentre == "" || w.DataCentre == v.Domain.DataCentre)
	return inScope && v.Maintained.Before(w.Cutoff)
}

// WorkOperator names an operator's drain: the VM stays out until an operator returns it.
const WorkOperator = "operator"

// WorkReboot names an operator's reboot: the VM returns by itself.
const WorkReboot = "operator-reboot"
