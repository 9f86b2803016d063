package codec

import (
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/peer"
)

func budgetChangeToWire(c record.BudgetChange) *peer.BudgetChange {
	return &peer.BudgetChange{
		Service: c.Service, FromNs: timeToWire(c.From), UntilNs: timeToWire(c.Until), BadMs: c.BadMS,
		WindowDays: uint32(max(c.WindowDays, 0)), Work: c.Work, ReserveMs: c.ReserveMS, ReserveUntilNs: timeToWire(c.ReserveUntil),
	}
}

func budgetChangeFromWire(w *peer.BudgetChange) *record.BudgetChange {
	return &record.BudgetChange{
		Service: w.GetService(), From: timeFromWire(w.GetFromNs()), Until: timeFromWire(w.GetUntilNs()), BadMS: w.GetBadMs(),
		WindowDays: int(w.GetWindowDays()), Work: w.GetWork(), ReserveMS: w.GetReserveMs(), ReserveUntil: timeFromWire(w.GetReserveUntilNs()),
	}
}

func waveChangeToWire(c record.WaveChange) *peer.WaveChange {
	return &peer.WaveChange{
		Step: uint32(c.Step), Wave: c.Wave, Urgent: c.Urgent, Pool: c.Pool,
		DataCentre: c.DataCentre, CutoffNs: timeToWire(c.Cutoff), Cause: c.Cause,
	}
}

func waveChangeFromWire(w *peer.WaveChange) *record.WaveChange {
	return &record.WaveChange{
		Step: record.WaveStep(w.GetStep()), Wave: w.GetWave(), Urgent: w.GetUrgent(), Pool: w.GetPool(),
		DataCentre: w.GetDataCentre(), Cutoff: timeFromWire(w.GetCutoffNs()), Cause: w.GetCause(),
	}
}

func jobChangeToWire(c record.JobChange) *peer.JobChange {
	return &peer.JobChange{
		Step: uint32(c.Step), Names: c.Names, Attempt: c.Attempt, Job: JobToWire(c.Job), Vm: c.VM,
		LeaseUntilNs: timeToWire(c.LeaseUntil), Used: SizeToWire(c.Used), Cause: c.Cause,
	}
}

func jobChangeFromWire(w *peer.JobChange) *record.JobChange {
	return &record.JobChange{
		Step: record.JobStep(w.GetStep()), Names: w.GetNames(), Attempt: w.GetAttempt(), Job: JobFromWire(w.GetJob()), VM: w.GetVm(),
		LeaseUntil: timeFromWire(w.GetLeaseUntilNs()), Used: SizeFromWire(w.GetUsed()), Cause: w.GetCause(),
	}
}

// SizeToWire encodes a size as a message.
func SizeToWire(s fleet.Size) *peer.FleetSize {
	return &peer.FleetSize{Cores: s.Cores, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators}
}

// SizeFromWire decodes a size from a message.
func SizeFromWire(w *peer.FleetSize) fleet.Size {
	return fleet.Size{Cores: w.GetCores(), MemoryMB: w.GetMemoryMb(), Accelerators: w.GetAccelerators()}
}

// JobToWire encodes a fleet job as a message.
func JobToWire(j fleet.Job) *peer.FleetJob {
	return &peer.FleetJob{
		Name: j.Name, Team: j.Team, Pool: j.Pool, Urgent: j.Urgent, Checkpoint: j.Checkpoint,
		Declared: SizeToWire(j.Declared), Used: SizeToWire(j.Used), Phase: uint32(j.Phase), Cause: j.Cause, Attempt: j.Attempt,
		SubmittedNs: timeToWire(j.Submitted), SinceNs: timeToWire(j.Since), Vm: j.VM, LeaseUntilNs: timeToWire(j.LeaseUntil),
		Version: j.Version,
	}
}

// JobFromWire decodes a fleet job from a message.
func JobFromWire(w *peer.FleetJob) fleet.Job {
	return fleet.Job{
		Name: w.GetName(), Team: w.GetTeam(), Pool: w.GetPool(), Urgent: w.GetUrgent(), Checkpoint: w.GetCheckpoint(),
		Declared: SizeFromWire(w.GetDeclared()), Used: SizeFromWire(w.GetUsed()), Phase: fleet.JobPhase(w.GetPhase()),
		Cause: w.GetCause(), Attempt: w.GetAttempt(), Submitted: timeFromWire(w.GetSubmittedNs()),
		Version: w.GetVersion(), Since: timeFromWire(w.GetSinceNs()), VM: w.GetVm(), LeaseUntil: timeFromWire(w.GetLeaseUntilNs()),
	}
}

func demandToWire(d fleet.Demand) *peer.DemandState {
	return &peer.DemandState{
		Pool: d.Pool, MeanMilli: d.MeanMilli, PeakMilli: d.PeakMilli, NowMilli: d.CurrentMilli, SurgeMs: d.LongestSurgeMS, RunMs: d.CurrentSurgeMS, UpdatedNs: timeToWire(d.Updated),
	}
}

func demandFromWire(w *peer.DemandState) fleet.Demand {
	return fleet.Demand{
		Pool: w.GetPool(), MeanMilli: w.GetMeanMilli(), PeakMilli: w.GetPeakMilli(), CurrentMilli: w.GetNowMilli(),
		LongestSurgeMS: w.GetSurgeMs(), CurrentSurgeMS: w.GetRunMs(), Updated: timeFromWire(w.GetUpdatedNs()),
	}
}
