package codec

import (
	"maps"
	"slices"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/wire/peer"
)

func planStateToWire(s *state.State) *peer.PlanState {
	w := &peer.PlanState{}
	for _, name := range slices.Sorted(maps.Keys(s.Ledgers)) {
		w.Ledgers = append(w.Ledgers, ledgerToWire(s.Ledgers[name]))
	}
	for _, v := range s.Waves {
		w.Waves = append(w.Waves, WaveToWire(v))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Jobs)) {
		w.Jobs = append(w.Jobs, JobToWire(s.Jobs[name]))
	}
	for _, f := range s.Failures {
		w.Failures = append(w.Failures, &peer.JobFailure{Job: f.Job, Vm: f.VM, TimeNs: timeToWire(f.Time)})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Demands)) {
		w.Demands = append(w.Demands, demandToWire(s.Demands[name]))
	}
	return w
}

func planStateFromWire(w *peer.PlanState, s *state.State) {
	s.Ledgers = make(map[string]fleet.Ledger, len(w.GetLedgers()))
	for _, l := range w.GetLedgers() {
		s.Ledgers[l.GetService()] = ledgerFromWire(l)
	}
	for _, v := range w.GetWaves() {
		s.Waves = append(s.Waves, WaveFromWire(v))
	}
	s.Jobs = make(map[string]fleet.Job, len(w.GetJobs()))
	for _, j := range w.GetJobs() {
		s.Jobs[j.GetName()] = JobFromWire(j)
	}
	s.Demands = make(map[string]fleet.Demand, len(w.GetDemands()))
	for _, d := range w.GetDemands() {
		s.Demands[d.GetPool()] = demandFromWire(d)
	}
	for _, f := range w.GetFailures() {
		s.Failures = append(s.Failures, fleet.JobFailure{Job: f.GetJob(), VM: f.GetVm(), Time: timeFromWire(f.GetTimeNs())})
	}
}

func ledgerToWire(l fleet.Ledger) *peer.LedgerState {
	w := &peer.LedgerState{Service: l.Service, CountedNs: timeToWire(l.Counted)}
	for _, d := range l.Days {
		w.Days = append(w.Days, &peer.LedgerDay{Day: d.Day, BadMs: d.BadMS})
	}
	for _, r := range l.Reserved {
		w.Reserved = append(w.Reserved, &peer.Reservation{Work: r.Work, BadMs: r.BadMS, UntilNs: timeToWire(r.Until)})
	}
	return w
}

func ledgerFromWire(w *peer.LedgerState) fleet.Ledger {
	l := fleet.Ledger{Service: w.GetService(), Counted: timeFromWire(w.GetCountedNs())}
	for _, d := range w.GetDays() {
		l.Days = append(l.Days, fleet.LedgerDay{Day: d.GetDay(), BadMS: d.GetBadMs()})
	}
	for _, r := range w.GetReserved() {
		l.Reserved = append(l.Reserved, fleet.Reservation{Work: r.GetWork(), BadMS: r.GetBadMs(), Until: timeFromWire(r.GetUntilNs())})
	}
	return l
}

// WaveToWire encodes a maintenance wave as a message.
func WaveToWire(v fleet.Wave) *peer.WaveState {
	return &peer.WaveState{
		Name: v.Name, Urgent: v.Urgent, Pool: v.Pool, DataCentre: v.DataCentre, CutoffNs: timeToWire(v.Cutoff),
		Phase: uint32(v.Phase), Cause: v.Cause, StartedNs: timeToWire(v.Started), ChangedNs: timeToWire(v.Changed), JudgedNs: timeToWire(v.FailuresSince),
		Returned: uint32(v.Returned), Proven: uint32(v.PassedProbation), Failed: uint32(v.Failed),
	}
}

// WaveFromWire decodes a maintenance wave from a message.
func WaveFromWire(w *peer.WaveState) fleet.Wave {
	return fleet.Wave{
		Name: w.GetName(), Urgent: w.GetUrgent(), Pool: w.GetPool(), DataCentre: w.GetDataCentre(), Cutoff: timeFromWire(w.GetCutoffNs()),
		Phase: fleet.WavePhase(w.GetPhase()), Cause: w.GetCause(), Started: timeFromWire(w.GetStartedNs()), Changed: timeFromWire(w.GetChangedNs()), FailuresSince: timeFromWire(w.GetJudgedNs()),
		Returned: int(w.GetReturned()), PassedProbation: int(w.GetProven()), Failed: int(w.GetFailed()),
	}
}

// VMToWire encodes a VM as a message.
func VMToWire(v fleet.VM) *peer.VmState {
	return &peer.VmState{
		Name: v.Name, Pool: v.Pool, Epoch: v.Epoch, Phase: uint32(v.Phase),
		PhaseSinceNs: timeToWire(v.PhaseSince), MaintainedNs: timeToWire(v.Maintained),
		DataCentre: v.Domain.DataCentre, Switch: v.Domain.Switch, Rack: v.Domain.Rack,
		Cores: v.Size.Cores, MemoryMb: v.Size.MemoryMB, Accelerators: v.Size.Accelerators,
		Version: v.Version, FailedNs: timeToWire(v.Failed), Target: v.Target, Work: v.Work, Cause: v.Cause,
	}
}

// VMFromWire decodes a VM from a message.
func VMFromWire(w *peer.VmState) fleet.VM {
	return fleet.VM{
		Name: w.GetName(), Pool: w.GetPool(), Epoch: w.GetEpoch(), Phase: fleet.Phase(w.GetPhase()),
		PhaseSince: timeFromWire(w.GetPhaseSinceNs()), Maintained: timeFromWire(w.GetMaintainedNs()),
		Domain:  fleet.Domain{DataCentre: w.GetDataCentre(), Switch: w.GetSwitch(), Rack: w.GetRack()},
		Size:    fleet.Size{Cores: w.GetCores(), MemoryMB: w.GetMemoryMb(), Accelerators: w.GetAccelerators()},
		Version: w.GetVersion(), Failed: timeFromWire(w.GetFailedNs()), Target: w.GetTarget(), Work: w.GetWork(), Cause: w.GetCause(),
	}
}
