package blame

import (
	"fmt"
	"slices"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

const (
	// failureWindow is how long a failure counts as evidence.
	failureWindow = time.Hour
	// workersToHoldJob is how many workers, where other jobs run, a job has to fail on before it is held.
	workersToHoldJob = 3
	// jobsToQuarantineWorker is how many different jobs have to fail on a worker before it is quarantined.
	jobsToQuarantineWorker = 3
	// workersToStopWave is how many faulty workers a wave has to have maintained before it is stopped.
	workersToStopWave = 2
	// WorkBlame is the work name of a drain that takes out a worker on which several jobs failed and none runs.
	WorkBlame = "blame"
)

// Input is the state of the fleet that a plan is made from.
type Input struct {
	// Now is the time of the decision.
	Now time.Time
	// VMs are all VMs, by name.
	VMs []fleet.VM
	// Jobs are the jobs, by name.
	Jobs []fleet.Job
	// Failures are the latest failures of jobs, oldest first.
	Failures []fleet.JobFailure
	// Waves are the maintenance waves, oldest first.
	Waves []fleet.Wave
	// ShortageWithout returns why a pool would be short of capacity without a VM; empty if the VM can be spared.
	ShortageWithout func(vm string) string
}

// evidence indexes the failures of the window: workers by the job that failed on them, and jobs by the worker.
type evidence struct {
	workers map[string][]string
	jobs    map[string][]string
	// running counts the jobs that run on a worker.
	running map[string]int
}

// Plan holds faulty jobs, quarantines faulty workers, and stops a wave that maintained most of the faulty workers.
func Plan(in Input) []record.Action {
	e := gatherEvidence(in)
	actions := holdJobs(in, e)
	blamed := workersAtFault(in, e)
	if w, reason, ok := waveAtFault(in, blamed); ok {
		actions = append(actions, record.Action{Reason: reason, Command: record.Command{Wave: &record.WaveChange{
			Step: record.WaveStop, Wave: w.Name, Cause: reason.String(),
		}}})
	}
	for _, m := range blamed {
		if m.Phase == fleet.PhaseActive {
			if a, ok := quarantine(in, e, m); ok {
				actions = append(actions, a)
			}
		}
	}
	return actions
}

func gatherEvidence(in Input) evidence {
	e := evidence{workers: map[string][]string{}, jobs: map[string][]string{}, running: map[string]int{}}
	for _, f := range in.Failures {
		if in.Now.Sub(f.Time) >= failureWindow {
			continue
		}
		if !slices.Contains(e.workers[f.Job], f.VM) {
			e.workers[f.Job] = append(e.workers[f.Job], f.VM)
		}
		if !slices.Contains(e.jobs[f.VM], f.Job) {
			e.jobs[f.VM] = append(e.jobs[f.VM], f.Job)
		}
	}
	for _, j := range in.Jobs {
		if j.Phase == fleet.JobRunning && j.Team != fleet.SpareRunnerTeam {
			e.running[j.VM]++
		}
	}
	return e
}

// holdJobs holds each job that failed on several workers where other jobs run or no other job failed.
func holdJobs(in Input, e evidence) []record.Action {
	var actions []record.Action
	for _, j := range in.Jobs {
		if j.Phase != fleet.JobWaiting {
			continue
		}
		sound := 0
		for _, vm := range e.workers[j.Name] {
			if e.running[vm] > 0 || len(e.jobs[vm]) == 1 {
				sound++
			}
		}
		if sound < workersToHoldJob {
			continue
		}
		reason := record.Reason{
			Inputs: fmt.Sprintf("failed on %d workers, on %d of them others run or none else failed", len(e.workers[j.Name]), sound),
			Rule:   fmt.Sprintf("a job that fails on %d workers where others run is held", workersToHoldJob),
			Change: "cowslip job release, once the job is mended",
		}
		actions = append(actions, record.Action{Reason: reason, Command: record.Command{Job: &record.JobChange{
			Step: record.JobHold, Names: []string{j.Name}, Attempt: j.Attempt, Cause: reason.String(),
		}}})
	}
	return actions
}

// workersAtFault returns the VMs on which several different jobs failed and none runs, in the order of the input.
// A job that failed on workersToHoldJob workers or more doesn't count against any of them.
func workersAtFault(in Input, e evidence) []fleet.VM {
	var blamed []fleet.VM
	for _, m := range in.VMs {
		count := 0
		for _, job := range e.jobs[m.Name] {
			if len(e.workers[job]) < workersToHoldJob {
				count++
			}
		}
		// Failures from before the worker was last maintained or lost don't count.
		if count >= jobsToQuarantineWorker && e.running[m.Name] == 0 && m.Work != WorkBlame && m.PhaseSince.Before(lastFailure(in, m.Name)) {
			blamed = append(blamed, m)
		}
	}
	return blamed
}

func lastFailure(in Input, vm string) time.Time {
	var last time.Time
	for _, f := range in.Failures {
		if f.VM == vm && f.Time.After(last) {
			last = f.Time
		}
	}
	return last
}

// waveAtFault returns the open wave that maintained most of the blamed workers, and at least workersToStopWave of
// them.
func waveAtFault(in Input, blamed []fleet.VM) (fleet.Wave, record.Reason, bool) {
	for _, w := range in.Waves {
		if w.Phase != fleet.WaveRunning && w.Phase != fleet.WaveHalted {
			continue
		}
		maintained := 0
		for _, m := range blamed {
			if !m.Maintained.Before(w.Started) {
				maintained++
			}
		}
		if maintained >= workersToStopWave && 2*maintained > len(blamed) {
			return w, record.Reason{
				Inputs: fmt.Sprintf("%d of the %d workers to blame were maintained by the wave", maintained, len(blamed)),
				Rule:   "failures that go with a wave are blamed on the wave",
				Change: "cowslip wave resume",
			}, true
		}
	}
	return fleet.Wave{}, record.Reason{}, false
}

// quarantine drains a worker for a reboot, unless its pool would be short of capacity.
func quarantine(in Input, e evidence, m fleet.VM) (record.Action, bool) {
	if in.ShortageWithout(m.Name) != "" {
		return record.Action{}, false
	}
	reason := record.Reason{
		Inputs: fmt.Sprintf("%d different jobs failed and none runs", len(e.jobs[m.Name])),
		Rule:   fmt.Sprintf("a worker on which %d different jobs fail is set aside, where its pool can spare it", jobsToQuarantineWorker),
		Change: "cowslip vm return",
	}
	return record.Action{Reason: reason, Command: record.Command{VM: &record.VMChange{
		Step: record.VMDrain, VM: m.Name, Epoch: m.Epoch, Version: m.Version, Work: WorkBlame, Cause: reason.String(),
	}}}, true
}
