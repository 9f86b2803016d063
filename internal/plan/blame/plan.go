package blame

import (
	"fmt"
	"slices"
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

const (
	// window is how long a failure counts.
	window = time.Hour
	// jobWorkers is on how many workers, where other jobs run, a job fails before it is held.
	jobWorkers = 3
	// workerJobs is how many different jobs fail on a worker before it is set aside.
	workerJobs = 3
	// waveWorkers is how many workers that a wave maintained are to blame before the wave is.
	waveWorkers = 2
	// WorkBlame names what takes a worker out that failed everything it started.
	WorkBlame = "blame"
)

// Input is what the plan decides from.
type Input struct {
	// Now is the time of the decision.
	Now time.Time
	// VMs are all VMs, by name.
	VMs []fleet.VM
	// Jobs are the jobs, by name.
	Jobs []fleet.Job
	// Failures are the latest failures of jobs, oldest first.
	Failures []fleet.JobFailure
	// Waves are the waves of maintenance, oldest first.
	Waves []fleet.Wave
	// Short says why a pool would be left short without a VM; empty where it can be spared.
	Short func(vm string) string
}

// evidence is the failures of the window, by job and by worker.
type evidence struct {
	workers map[string][]string
	jobs    map[string][]string
	// runs counts the jobs that run on a worker.
	runs map[string]int
}

// Plan holds jobs and sets workers aside that are to blame, and stops a wave whose workers are.
func Plan(in Input) []record.Action {
	e := gather(in)
	actions := jobs(in, e)
	blamed := workers(in, e)
	if w, reason, ok := wave(in, blamed); ok {
		actions = append(actions, record.Action{Reason: reason, Command: record.Command{Wave: &record.WaveChange{
			Step: record.WaveStop, Wave: w.Name, Cause: reason.String(),
		}}})
	}
	for _, m := range blamed {
		if m.Phase == fleet.PhaseActive {
			if a, ok := setAside(in, e, m); ok {
				actions = append(actions, a)
			}
		}
	}
	return actions
}

func gather(in Input) evidence {
	e := evidence{workers: map[string][]string{}, jobs: map[string][]string{}, runs: map[string]int{}}
	for _, f := range in.Failures {
		if in.Now.Sub(f.Time) >= window {
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
		if j.Phase == fleet.JobRunning && j.Team != fleet.RunnerTeam {
			e.runs[j.VM]++
		}
	}
	return e
}

// jobs holds each job that failed on several workers on which others run or no other failed.
func jobs(in Input, e evidence) []record.Action {
	var actions []record.Action
	for _, j := range in.Jobs {
		if j.Phase != fleet.JobWaiting {
			continue
		}
		sound := 0
		for _, vm := range e.workers[j.Name] {
			if e.runs[vm] > 0 || len(e.jobs[vm]) == 1 {
				sound++
			}
		}
		if sound < jobWorkers {
			continue
		}
		reason := record.Reason{
			Inputs: fmt.Sprintf("failed on %d workers, on %d of them others run or none else failed", len(e.workers[j.Name]), sound),
			Rule:   fmt.Sprintf("a job that fails on %d workers where others run is held", jobWorkers),
			Change: "cowslip job release, once the job is mended",
		}
		actions = append(actions, record.Action{Reason: reason, Command: record.Command{Job: &record.JobChange{
			Step: record.JobHold, Names: []string{j.Name}, Attempt: j.Attempt, Cause: reason.String(),
		}}})
	}
	return actions
}

// workers returns the VMs on which several different jobs failed and none runs, in the order of the input.
// Jobs that failed on several sound workers too say nothing against this one.
func workers(in Input, e evidence) []fleet.VM {
	var blamed []fleet.VM
	for _, m := range in.VMs {
		count := 0
		for _, job := range e.jobs[m.Name] {
			if len(e.workers[job]) < jobWorkers {
				count++
			}
		}
		// A worker that was maintained or lost since its failures starts anew.
		if count >= workerJobs && e.runs[m.Name] == 0 && m.Work != WorkBlame && m.PhaseSince.Before(lastFailure(in, m.Name)) {
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

// wave returns the open wave that maintained most of the blamed workers, where there are several.
func wave(in Input, blamed []fleet.VM) (fleet.Wave, record.Reason, bool) {
	for _, w := range in.Waves {
		if w.Phase != fleet.WaveRunning && w.Phase != fleet.WaveHalted {
			continue
		}
		own := 0
		for _, m := range blamed {
			if !m.Maintained.Before(w.Started) {
				own++
			}
		}
		if own >= waveWorkers && 2*own > len(blamed) {
			return w, record.Reason{
				Inputs: fmt.Sprintf("%d of the %d workers to blame were maintained by the wave", own, len(blamed)),
				Rule:   "failures that go with a wave are blamed on the wave",
				Change: "cowslip wave resume",
			}, true
		}
	}
	return fleet.Wave{}, record.Reason{}, false
}

// setAside drains a worker for a reboot, unless its pool would be left short.
func setAside(in Input, e evidence, m fleet.VM) (record.Action, bool) {
	if in.Short(m.Name) != "" {
		return record.Action{}, false
	}
	reason := record.Reason{
		Inputs: fmt.Sprintf("%d different jobs failed and none runs", len(e.jobs[m.Name])),
		Rule:   fmt.Sprintf("a worker on which %d different jobs fail is set aside, where its pool can spare it", workerJobs),
		Change: "cowslip vm return",
	}
	return record.Action{Reason: reason, Command: record.Command{VM: &record.VMChange{
		Step: record.VMDrain, VM: m.Name, Epoch: m.Epoch, Version: m.Version, Work: WorkBlame, Cause: reason.String(),
	}}}, true
}
