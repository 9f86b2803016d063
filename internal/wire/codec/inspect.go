package codec

import (
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/peer"
)

// InspectRequestToWire encodes an operator's query as a message; nil for nil.
func InspectRequestToWire(i *batch.InspectRequest) *peer.InspectRequest {
	if i == nil {
		return nil
	}
	return &peer.InspectRequest{Topic: uint32(i.Topic), Job: i.Job}
}

// InspectRequestFromWire decodes an operator's query from a message; nil for nil.
func InspectRequestFromWire(w *peer.InspectRequest) *batch.InspectRequest {
	if w == nil {
		return nil
	}
	return &batch.InspectRequest{Topic: batch.Topic(w.GetTopic()), Job: w.GetJob()}
}

// InspectionToWire encodes the leader's answer to a query as a message; nil for nil.
func InspectionToWire(i *batch.Inspection) *peer.InspectResponse {
	if i == nil {
		return nil
	}
	w := &peer.InspectResponse{Overview: overviewToWire(i.Overview), Job: jobViewToWire(i.Job)}
	for _, k := range i.Workers {
		w.Workers = append(w.Workers, &peer.InspectWorker{
			Id: k.ID, Pool: k.Pool, Vm: k.VM, State: k.State, Running: int64(k.Running), CpuMilli: k.Free.CPUMilli,
			MemoryMb: k.Free.MemoryMB, Accelerators: k.Free.Accelerators, HeardMs: k.HeartbeatAgeMs, LeaseMs: k.LeaseMs, Share: int64(k.BestEffortPercent),
		})
	}
	for _, v := range i.VMs {
		w.Vms = append(w.Vms, &peer.InspectVM{
			Name: v.Name, Pool: v.Pool, Worker: v.Worker, State: v.State, Plan: v.Plan, ListedMs: v.ListingAgeMs,
		})
	}
	for _, a := range i.Accounts {
		w.Accounts = append(w.Accounts, &peer.InspectAccount{
			Name: a.Name, Jobs: int64(a.Jobs), CpuMilli: a.LargestNeed.CPUMilli, MemoryMb: a.LargestNeed.MemoryMB,
			Accelerators: a.LargestNeed.Accelerators,
		})
	}
	return w
}

// InspectionFromWire decodes the leader's answer to a query from a message; nil for nil.
func InspectionFromWire(w *peer.InspectResponse) *batch.Inspection {
	if w == nil {
		return nil
	}
	i := &batch.Inspection{Overview: overviewFromWire(w.GetOverview()), Job: jobViewFromWire(w.GetJob())}
	for _, k := range w.GetWorkers() {
		i.Workers = append(i.Workers, batch.WorkerView{
			ID: k.GetId(), Pool: k.GetPool(), VM: k.GetVm(), State: k.GetState(), Running: int(k.GetRunning()),
			Free:           batch.Resources{CPUMilli: k.GetCpuMilli(), MemoryMB: k.GetMemoryMb(), Accelerators: k.GetAccelerators()},
			HeartbeatAgeMs: k.GetHeardMs(), LeaseMs: k.GetLeaseMs(), BestEffortPercent: int(k.GetShare()),
		})
	}
	for _, v := range w.GetVms() {
		i.VMs = append(i.VMs, batch.VMView{
			Name: v.GetName(), Pool: v.GetPool(), Worker: v.GetWorker(), State: v.GetState(), Plan: v.GetPlan(), ListingAgeMs: v.GetListedMs(),
		})
	}
	for _, a := range w.GetAccounts() {
		i.Accounts = append(i.Accounts, batch.AccountView{
			Name: a.GetName(), Jobs: int(a.GetJobs()),
			LargestNeed: batch.Resources{CPUMilli: a.GetCpuMilli(), MemoryMB: a.GetMemoryMb(), Accelerators: a.GetAccelerators()},
		})
	}
	return i
}

func overviewToWire(o *batch.Overview) *peer.InspectOverview {
	if o == nil {
		return nil
	}
	w := &peer.InspectOverview{
		Leader: o.Leader, Term: o.Term, LedMs: o.LeaderAgeMs, ConfirmedMs: o.ConfirmedAgeMs, Version: o.Version, Queues: int64(o.Queues),
		Queued: int64(o.Queued), Running: int64(o.Running), Ended: int64(o.Ended),
	}
	for _, m := range o.Members {
		w.Members = append(w.Members, &peer.InspectMember{Name: m.Name, Role: m.Role, Heard: m.RecentlyHeard, CaughtUp: m.CaughtUp})
	}
	for _, p := range o.Pools {
		w.Pools = append(w.Pools, &peer.InspectPool{
			Name: p.Name, Standby: p.Standby, Vms: int64(p.VMs), Workers: int64(p.Workers), Running: int64(p.Running), Ready: int64(p.Ready),
		})
	}
	for _, v := range o.Waves {
		w.Waves = append(w.Waves, &peer.InspectWave{
			Id: v.ID, Begun: int64(v.Begun), Vms: int64(v.VMs), AtOnce: int64(v.MaxConcurrent), LeftMs: v.LeftMs,
		})
	}
	return w
}

func overviewFromWire(w *peer.InspectOverview) *batch.Overview {
	if w == nil {
		return nil
	}
	o := &batch.Overview{
		Leader: w.GetLeader(), Term: w.GetTerm(), LeaderAgeMs: w.GetLedMs(), ConfirmedAgeMs: w.GetConfirmedMs(), Version: w.GetVersion(),
		Queues: int(w.GetQueues()), Queued: int(w.GetQueued()), Running: int(w.GetRunning()), Ended: int(w.GetEnded()),
	}
	for _, m := range w.GetMembers() {
		o.Members = append(o.Members, batch.MemberView{Name: m.GetName(), Role: m.GetRole(), RecentlyHeard: m.GetHeard(), CaughtUp: m.GetCaughtUp()})
	}
	for _, p := range w.GetPools() {
		o.Pools = append(o.Pools, batch.PoolView{
			Name: p.GetName(), Standby: p.GetStandby(), VMs: int(p.GetVms()), Workers: int(p.GetWorkers()), Running: int(p.GetRunning()),
			Ready: int(p.GetReady()),
		})
	}
	for _, v := range w.GetWaves() {
		o.Waves = append(o.Waves, batch.WaveView{
			ID: v.GetId(), Begun: int(v.GetBegun()), VMs: int(v.GetVms()), MaxConcurrent: int(v.GetAtOnce()), LeftMs: v.GetLeftMs(),
		})
	}
	return o
}

func jobViewToWire(j *batch.JobView) *peer.InspectJob {
	if j == nil {
		return nil
	}
	w := &peer.InspectJob{Id: j.ID, Pool: j.Pool, Phase: uint32(j.Phase), AgeMs: j.AgeMs, SlackMs: j.SlackMs}
	for _, s := range j.Steps {
		w.Steps = append(w.Steps, &peer.InspectStep{
			Occurrence: int64(s.Occurrence), Step: int64(s.Step), Tasks: int64(s.Tasks), Done: int64(s.Done), Running: int64(s.Running),
			Ordered: int64(s.Ordered), Failures: int64(s.Failures), Waits: s.WaitingFor,
		})
	}
	for _, r := range j.Attempts {
		w.Runs = append(w.Runs, &peer.InspectRun{
			Task: taskIDToWire(r.Task), Attempt: int64(r.Attempt), Worker: r.Worker, Percent: int64(r.Percent),
		})
	}
	return w
}

func jobViewFromWire(w *peer.InspectJob) *batch.JobView {
	if w == nil {
		return nil
	}
	j := &batch.JobView{
		ID: w.GetId(), Pool: w.GetPool(), Phase: batch.Phase(w.GetPhase()), AgeMs: w.GetAgeMs(), SlackMs: w.GetSlackMs(),
	}
	for _, s := range w.GetSteps() {
		j.Steps = append(j.Steps, batch.StepView{
			Occurrence: int(s.GetOccurrence()), Step: int(s.GetStep()), Tasks: int(s.GetTasks()), Done: int(s.GetDone()),
			Running: int(s.GetRunning()), Ordered: int(s.GetOrdered()), Failures: int(s.GetFailures()), WaitingFor: s.GetWaits(),
		})
	}
	for _, r := range w.GetRuns() {
		j.Attempts = append(j.Attempts, batch.AttemptView{
			Task: taskIDFromWire(r.GetTask()), Attempt: int(r.GetAttempt()), Worker: r.GetWorker(), Percent: int(r.GetPercent()),
		})
	}
	return j
}
