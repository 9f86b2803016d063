package codec

import (
	"maps"
	"math"
	"slices"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/peer"
)

func batchChangeToWire(c *batch.Change) *peer.BatchChange {
	w := &peer.BatchChange{
		Cancels: c.CancelledJobs, Begun: c.BegunJobs, Ordered: c.OrderedVMs, Leader: leaderToWire(c.Leader),
		ExpireTombstones: c.ExpireTombstones,
	}
	if c.Configuration != nil {
		w.Configuration = ConfigurationToWire(c.Configuration)
	}
	for _, t := range c.Tombstones {
		w.Tombstones = append(w.Tombstones, tombstoneToWire(t, 0))
	}
	for i := range c.NewJobs {
		w.Submits = append(w.Submits, batchJobToWire(&c.NewJobs[i]))
	}
	for _, e := range c.Ends {
		w.Ends = append(w.Ends, &peer.BatchEnd{
			Task: taskIDToWire(e.Task), Attempt: intToWire(e.Attempt), Kind: uint32(e.Kind), Checkpoint: e.Checkpoint, TimeMs: e.TimeMs,
			Reported: e.Reported, Crashed: e.Crashed, GivenUp: e.GivenUp, OutlivedStart: e.OutlivedStart,
			CrashedLater: e.CrashedLater, RanLong: e.RanLong,
		})
	}
	for _, t := range c.Crashes {
		w.Crashes = append(w.Crashes, taskIDToWire(t))
	}
	for _, t := range c.BegunLate {
		w.BegunLate = append(w.BegunLate, taskIDToWire(t))
	}
	for _, s := range c.Starts {
		w.Starts = append(w.Starts, &peer.BatchStart{
			Task: taskIDToWire(s.Task), Attempt: intToWire(s.Attempt), Worker: s.Worker, Incarnation: s.Incarnation, Sequence: s.Sequence,
		})
	}
	for i := range c.Waves {
		wave := batchWaveToWire(&c.Waves[i])
		if i == 0 {
			w.Wave = wave
		} else {
			w.Waves = append(w.Waves, wave)
		}
	}
	w.Upkeeps, w.Gone, w.Returned = waveVMsToWire(c.MaintenanceStarts), waveVMsToWire(c.GoneVMs), waveVMsToWire(c.ReturnedVMs)
	return w
}

func batchChangeFromWire(w *peer.BatchChange) *batch.Change {
	c := &batch.Change{
		CancelledJobs: w.GetCancels(), BegunJobs: w.GetBegun(), OrderedVMs: w.GetOrdered(), Leader: leaderFromWire(w.GetLeader()),
		ExpireTombstones: w.GetExpireTombstones(),
	}
	if w.GetConfiguration() != nil {
		c.Configuration = ConfigurationFromWire(w.GetConfiguration())
	}
	for _, t := range w.GetTombstones() {
		c.Tombstones = append(c.Tombstones, tombstoneFromWire(t))
	}
	for _, j := range w.GetSubmits() {
		c.NewJobs = append(c.NewJobs, batchJobFromWire(j))
	}
	for _, e := range w.GetEnds() {
		c.Ends = append(c.Ends, batch.AttemptEnd{
			Task: taskIDFromWire(e.GetTask()), Attempt: int(e.GetAttempt()), Kind: batch.EndKind(e.GetKind()),
			Checkpoint: e.GetCheckpoint(), TimeMs: e.GetTimeMs(), Reported: e.GetReported(),
			Crashed: e.GetCrashed(), GivenUp: e.GetGivenUp(), OutlivedStart: e.GetOutlivedStart(),
			CrashedLater: e.GetCrashedLater(), RanLong: e.GetRanLong(),
		})
	}
	for _, t := range w.GetCrashes() {
		c.Crashes = append(c.Crashes, taskIDFromWire(t))
	}
	for _, t := range w.GetBegunLate() {
		c.BegunLate = append(c.BegunLate, taskIDFromWire(t))
	}
	for _, s := range w.GetStarts() {
		c.Starts = append(c.Starts, batch.AttemptStart{
			Task: taskIDFromWire(s.GetTask()), Attempt: int(s.GetAttempt()), Worker: s.GetWorker(),
			Incarnation: s.GetIncarnation(), Sequence: s.GetSequence(),
		})
	}
	if w.GetWave() != nil {
		c.Waves = append(c.Waves, batchWaveFromWire(w.GetWave()))
	}
	for _, wave := range w.GetWaves() {
		c.Waves = append(c.Waves, batchWaveFromWire(wave))
	}
	c.MaintenanceStarts, c.GoneVMs = waveVMsFromWire(w.GetUpkeeps()), waveVMsFromWire(w.GetGone())
	c.ReturnedVMs = waveVMsFromWire(w.GetReturned())
	return c
}

// ConfigurationToWire encodes a batch configuration as a message.
func ConfigurationToWire(c *batch.Configuration) *peer.BatchConfiguration {
	w := &peer.BatchConfiguration{Version: c.Version, Text: c.Text, RequiresKeys: c.RequiresKeys}
	for _, q := range c.Queues {
		w.Queues = append(w.Queues, &peer.BatchQueue{
			Host: q.Host, Prefix: q.Prefix, Pool: q.Pool, Priority: intToWire(q.Priority), MaxAttempts: intToWire(q.MaxAttempts),
			SlackFactor: q.SlackFactor, TargetLatencyMs: q.TargetLatencyMs, TimeoutMs: q.TimeoutMs, Advised: q.RequiresPermit,
			Public: q.Public,
		})
	}
	for _, p := range c.Pools {
		w.Pools = append(w.Pools, &peer.BatchPool{Name: p.Name, Guarded: p.AdmissionCheck, Standby: p.Standby})
	}
	for i := range c.Accounts {
		w.Accounts = append(w.Accounts, accountToWire(&c.Accounts[i]))
	}
	return w
}

// ConfigurationFromWire decodes a batch configuration from a message.
func ConfigurationFromWire(w *peer.BatchConfiguration) *batch.Configuration {
	c := &batch.Configuration{Version: w.GetVersion(), Text: w.GetText(), RequiresKeys: w.GetRequiresKeys()}
	for _, q := range w.GetQueues() {
		c.Queues = append(c.Queues, batch.Queue{
			Host: q.GetHost(), Prefix: q.GetPrefix(), Pool: q.GetPool(), Priority: int(q.GetPriority()),
			MaxAttempts: int(q.GetMaxAttempts()), SlackFactor: q.GetSlackFactor(), TargetLatencyMs: q.GetTargetLatencyMs(),
			TimeoutMs: q.GetTimeoutMs(), RequiresPermit: q.GetAdvised(), Public: q.GetPublic(),
		})
	}
	for _, p := range w.GetPools() {
		c.Pools = append(c.Pools, batch.Pool{Name: p.GetName(), AdmissionCheck: p.GetGuarded(), Standby: p.GetStandby()})
	}
	for _, a := range w.GetAccounts() {
		c.Accounts = append(c.Accounts, accountFromWire(a))
	}
	return c
}

func batchJobToWire(j *batch.Job) *peer.BatchJob {
	w := &peer.BatchJob{
		Id: j.ID, Host: j.Queue.Host, Prefix: j.Queue.Prefix, Pool: j.Pool, Text: j.Text, Times: intToWire(j.RunCount),
		FirstDueMs: j.FirstDueMs, IntervalMs: j.IntervalMs, AcceptedMs: j.AcceptedMs, MaxAttempts: intToWire(j.MaxAttempts),
		Account: j.Account, FirstSubmittedMs: j.FirstSubmittedMs,
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		step := &peer.BatchStep{
			Count: intToWire(s.Count), CpuMilli: s.Need.CPUMilli, MemoryMb: s.Need.MemoryMB, Accelerators: s.Need.Accelerators,
			EstimateMs: s.EstimateMs, Checkpointing: s.Checkpointing, Gang: s.Gang, SameRack: s.SameRack,
			RequiredLabel: s.RequiredLabel, DataRack: s.DataRack, PerWorker: intToWire(s.MaxPerWorker), Speculative: s.Speculative,
			LongRunning: s.LongRunning, Image: s.Image, TailTargetMs: s.TailLatencyTargetMs, Fills: s.BestEffort,
			AllowedMisses: intToWire(s.MaxUnavailable),
		}
		for _, a := range s.After {
			step.After = append(step.After, intToWire(a))
		}
		w.Steps = append(w.Steps, step)
	}
	return w
}

func batchJobFromWire(w *peer.BatchJob) batch.Job {
	j := batch.Job{
		ID: w.GetId(), Queue: batch.QueueKey{Host: w.GetHost(), Prefix: w.GetPrefix()}, Pool: w.GetPool(), Text: w.GetText(),
		RunCount: int(w.GetTimes()), FirstDueMs: w.GetFirstDueMs(), IntervalMs: w.GetIntervalMs(),
		AcceptedMs: w.GetAcceptedMs(), MaxAttempts: int(w.GetMaxAttempts()), Account: w.GetAccount(),
		FirstSubmittedMs: w.GetFirstSubmittedMs(),
	}
	for _, s := range w.GetSteps() {
		step := batch.Step{
			Count: int(s.GetCount()), EstimateMs: s.GetEstimateMs(),
			Need:          batch.Resources{CPUMilli: s.GetCpuMilli(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()},
			Checkpointing: s.GetCheckpointing(), Gang: s.GetGang(), SameRack: s.GetSameRack(),
			RequiredLabel: s.GetRequiredLabel(), DataRack: s.GetDataRack(), MaxPerWorker: int(s.GetPerWorker()),
			Speculative: s.GetSpeculative(), LongRunning: s.GetLongRunning(), Image: s.GetImage(),
			TailLatencyTargetMs: s.GetTailTargetMs(), BestEffort: s.GetFills(), MaxUnavailable: int(s.GetAllowedMisses()),
		}
		for _, a := range s.GetAfter() {
			step.After = append(step.After, int(a))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

func taskIDToWire(t batch.TaskID) *peer.BatchTask {
	return &peer.BatchTask{Job: t.Job, Occurrence: intToWire(t.Occurrence), Step: intToWire(t.Step), Index: intToWire(t.Index)}
}

func taskIDFromWire(w *peer.BatchTask) batch.TaskID {
	return batch.TaskID{
		Job: w.GetJob(), Occurrence: int(w.GetOccurrence()), Step: int(w.GetStep()), Index: int(w.GetIndex()),
	}
}

func batchWaveToWire(w *batch.Wave) *peer.BatchWave {
	return &peer.BatchWave{
		Id: w.ID, Vms: w.VMs, DurationMs: w.DurationMs, MostAtOnce: intToWire(w.MaxConcurrent),
		AcceptedMs: w.AcceptedMs, Begun: w.Begun, Gone: w.Gone,
	}
}

func batchWaveFromWire(w *peer.BatchWave) batch.Wave {
	return batch.Wave{
		ID: w.GetId(), VMs: w.GetVms(), DurationMs: w.GetDurationMs(), MaxConcurrent: int(w.GetMostAtOnce()),
		AcceptedMs: w.GetAcceptedMs(), Begun: w.GetBegun(), Gone: w.GetGone(),
	}
}

func waveVMsToWire(vms []batch.WaveVM) []*peer.BatchUpkeep {
	var all []*peer.BatchUpkeep
	for _, v := range vms {
		all = append(all, &peer.BatchUpkeep{Wave: v.Wave, Vm: v.VM})
	}
	return all
}

func waveVMsFromWire(vms []*peer.BatchUpkeep) []batch.WaveVM {
	var all []batch.WaveVM
	for _, v := range vms {
		all = append(all, batch.WaveVM{Wave: v.GetWave(), VM: v.GetVm()})
	}
	return all
}

func leaderToWire(l batch.Leader) *peer.BatchLeader {
	return &peer.BatchLeader{Name: l.Name, Term: l.Term, UptimeMs: l.UptimeMs}
}

func leaderFromWire(w *peer.BatchLeader) batch.Leader {
	return batch.Leader{Name: w.GetName(), Term: w.GetTerm(), UptimeMs: w.GetUptimeMs()}
}

func batchStateToWire(s *jobs.State) *peer.BatchState {
	w := &peer.BatchState{
		Configuration: ConfigurationToWire(&s.Configuration), LedMs: s.LeaderTimeMs, Leader: leaderToWire(s.Leader),
	}
	for _, vm := range slices.Sorted(maps.Keys(s.VMOrders)) {
		o := s.VMOrders[vm]
		w.Ordered = append(w.Ordered, &peer.BatchOrdered{Vm: o.VM, Holder: o.Holder, AtMs: o.LeaderTimeMs})
	}
	w.Tombstones = tombstonesToWire(s.Tombstones)
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		j := s.Jobs[id]
		job := &peer.BatchJobState{Job: batchJobToWire(&j.Spec), Phase: uint32(j.Phase), EndedMs: j.EndedMs}
		for _, f := range j.GangFailures {
			job.GangFailures = append(job.GangFailures, intToWire(f))
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			task := &peer.BatchTaskState{
				Attempt: intToWire(t.LastAttempt), Failures: intToWire(t.Failures), Done: t.Done, Checkpoint: t.Checkpoint,
				Crashes: intToWire(t.Crashes), CrashesBeside: intToWire(t.CrashesBeside),
			}
			for _, r := range t.Attempts {
				task.Runs = append(task.Runs, &peer.BatchRun{
					Attempt: intToWire(r.Number), Worker: r.Worker, Incarnation: r.Incarnation, Sequence: r.Sequence,
				})
			}
			job.Tasks = append(job.Tasks, task)
		}
		w.Jobs = append(w.Jobs, job)
	}
	for i := range s.Waves {
		w.Waves = append(w.Waves, batchWaveToWire(&s.Waves[i]))
	}
	return w
}

func batchStateFromWire(w *peer.BatchState) jobs.State {
	s := jobs.State{
		Jobs: make(map[string]*jobs.JobRecord, len(w.GetJobs())), LeaderTimeMs: w.GetLedMs(), Leader: leaderFromWire(w.GetLeader()),
		VMOrders:   make(map[string]jobs.VMOrder, len(w.GetOrdered())),
		Tombstones: make(map[batch.Tombstone]int64, len(w.GetTombstones())),
	}
	for _, t := range w.GetTombstones() {
		s.Tombstones[tombstoneFromWire(t)] = t.GetAtMs()
	}
	for _, o := range w.GetOrdered() {
		s.VMOrders[o.GetVm()] = jobs.VMOrder{VM: o.GetVm(), Holder: o.GetHolder(), LeaderTimeMs: o.GetAtMs()}
	}
	if w.GetConfiguration() != nil {
		s.Configuration = *ConfigurationFromWire(w.GetConfiguration())
	}
	for _, job := range w.GetJobs() {
		j := &jobs.JobRecord{Spec: batchJobFromWire(job.GetJob()), Phase: batch.Phase(job.GetPhase()), EndedMs: job.GetEndedMs()}
		for _, f := range job.GetGangFailures() {
			j.GangFailures = append(j.GangFailures, int(f))
		}
		for _, t := range job.GetTasks() {
			task := jobs.Task{
				LastAttempt: int(t.GetAttempt()), Failures: int(t.GetFailures()), Done: t.GetDone(), Checkpoint: t.GetCheckpoint(),
				Crashes: int(t.GetCrashes()), CrashesBeside: int(t.GetCrashesBeside()),
			}
			for _, r := range t.GetRuns() {
				task.Attempts = append(task.Attempts, jobs.Attempt{
					Number: int(r.GetAttempt()), Worker: r.GetWorker(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(),
				})
			}
			j.Tasks = append(j.Tasks, task)
		}
		s.Jobs[j.Spec.ID] = j
	}
	for _, wave := range w.GetWaves() {
		s.Waves = append(s.Waves, batchWaveFromWire(wave))
	}
	return s
}

// intToWire encodes a number in 32 bits; one that doesn't fit becomes the nearest that does.
func intToWire(n int) int32 {
	return int32(min(max(n, math.MinInt32), math.MaxInt32))
}
