package state

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

const (
	// maxFailures bounds the job failures that are kept; the leader infers from them whether a job or a VM is at fault.
	maxFailures = 2048
	// maxJobNames is the largest number of jobs that one cancellation or renewal names.
	maxJobNames = 10000
)

// jobStep is one transition of a job: the phases that it may start from and its effect.
type jobStep struct {
	from  []fleet.JobPhase
	apply func(*fleet.Job, record.JobChange)
}

var placedPhases = []fleet.JobPhase{fleet.JobRunning, fleet.JobThrottled}

var jobSteps = map[record.JobStep]jobStep{
	record.JobPlace:      {from: []fleet.JobPhase{fleet.JobWaiting}, apply: placeJob},
	record.JobRenew:      {from: placedPhases, apply: renewJob},
	record.JobThrottle:   {from: []fleet.JobPhase{fleet.JobRunning}, apply: func(j *fleet.Job, _ record.JobChange) { j.Phase = fleet.JobThrottled }},
	record.JobRestore:    {from: []fleet.JobPhase{fleet.JobThrottled}, apply: func(j *fleet.Job, _ record.JobChange) { j.Phase = fleet.JobRunning }},
	record.JobCheckpoint: {from: placedPhases, apply: unplaceJob},
	record.JobLost:       {from: placedPhases, apply: unplaceJob},
	record.JobFail:       {from: placedPhases, apply: unplaceJob},
	record.JobHold:       {from: []fleet.JobPhase{fleet.JobWaiting}, apply: func(j *fleet.Job, _ record.JobChange) { j.Phase = fleet.JobHeld }},
	record.JobRelease:    {from: []fleet.JobPhase{fleet.JobHeld}, apply: func(j *fleet.Job, _ record.JobChange) { j.Phase = fleet.JobWaiting }},
}

// applyJob changes one job, or cancels or renews several jobs at once.
func (m *Machine) applyJob(c record.JobChange, now time.Time) record.Result {
	if len(c.Names) == 0 || len(c.Names) > maxJobNames || (len(c.Names) > 1 && c.Step != record.JobCancel && c.Step != record.JobRenew) {
		return record.Result{Code: record.CodeInvalid, Message: fmt.Sprintf("%d jobs were named", len(c.Names))}
	}
	name := c.Names[0]
	j, known := m.state.Jobs[name]
	switch {
	case c.Step == record.JobCancel:
		return m.cancelJobs(c)
	case len(c.Names) > 1:
		return m.renewJobs(c)
	case c.Step == record.JobSubmit:
		return m.submitJob(c, known, now)
	case !known:
		return record.Result{Code: record.CodeNotFound, Message: fmt.Sprintf("no job is named %q", name)}
	case c.Attempt != 0 && c.Attempt != j.Attempt:
		return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("the change builds on attempt %d of job %q, but attempt %d is in force", c.Attempt, name, j.Attempt)}
	case c.Step == record.JobEnd:
		delete(m.state.Jobs, name)
		return record.Result{Code: record.CodeOK}
	}
	return m.changeJob(j, c, now)
}

func (m *Machine) changeJob(j fleet.Job, c record.JobChange, now time.Time) record.Result {
	step, ok := jobSteps[c.Step]
	if !ok {
		return record.Result{Code: record.CodeInvalid, Message: fmt.Sprintf("unknown step %d", int(c.Step))}
	}
	if !slices.Contains(step.from, j.Phase) {
		return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("job %q is %s; %s needs one of %v", j.Name, j.Phase, c.Step, step.from)}
	}
	if c.Step == record.JobPlace && m.state.VMs[c.VM].Phase != fleet.PhaseActive {
		return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("VM %q is not active", c.VM)}
	}
	if c.Step == record.JobLost && now.Before(j.LeaseUntil) {
		return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("job %q may run on VM %q until %s", j.Name, j.VM, j.LeaseUntil.Format(time.RFC3339))}
	}
	if c.Step == record.JobFail {
		m.state.Failures = append(m.state.Failures, fleet.JobFailure{Job: j.Name, VM: j.VM, Time: now})
		m.state.Failures = m.state.Failures[max(0, len(m.state.Failures)-maxFailures):]
	}
	before := j
	step.apply(&j, c)
	if j.Phase != before.Phase {
		j.Since = now
		j.Version++
	}
	if c.Cause != "" {
		j.Cause = c.Cause
	}
	checkJobInvariants(before, j)
	m.state.Jobs[j.Name] = j
	return record.Result{Code: record.CodeOK}
}

func (m *Machine) submitJob(c record.JobChange, known bool, now time.Time) record.Result {
	j := c.Job
	switch {
	case known:
		return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("a job is named %q already", j.Name)}
	case j.Name != c.Names[0] || j.Pool == "" || j.Team == "":
		return record.Result{Code: record.CodeInvalid, Message: "a job needs a name, a team and a pool"}
	}
	j.Phase, j.Attempt, j.Version, j.VM, j.LeaseUntil = fleet.JobWaiting, 0, 1, "", time.Time{}
	j.Submitted, j.Since = now, now
	m.state.Jobs[j.Name] = j
	return record.Result{Code: record.CodeOK}
}

// cancelJobs removes those of the named jobs that exist. A missing job is no error, since it may have ended before the
// cancellation.
func (m *Machine) cancelJobs(c record.JobChange) record.Result {
	removed := 0
	for _, name := range c.Names {
		if _, ok := m.state.Jobs[name]; ok {
			delete(m.state.Jobs, name)
			removed++
		}
	}
	return record.Result{Code: record.CodeOK, Message: fmt.Sprintf("%d of %d jobs were cancelled", removed, len(c.Names))}
}

// renewJobs extends the leases of those of the named jobs that are placed on a worker.
func (m *Machine) renewJobs(c record.JobChange) record.Result {
	for _, name := range c.Names {
		if j, ok := m.state.Jobs[name]; ok && slices.Contains(placedPhases, j.Phase) {
			renewJob(&j, c)
			m.state.Jobs[name] = j
		}
	}
	return record.Result{Code: record.CodeOK}
}

func placeJob(j *fleet.Job, c record.JobChange) {
	j.Phase, j.VM, j.LeaseUntil = fleet.JobRunning, c.VM, c.LeaseUntil
	j.Attempt++
}

func renewJob(j *fleet.Job, c record.JobChange) {
	if c.LeaseUntil.After(j.LeaseUntil) {
		j.LeaseUntil = c.LeaseUntil
	}
	j.Used.Cores = max(j.Used.Cores, c.Used.Cores)
	j.Used.MemoryMB = max(j.Used.MemoryMB, c.Used.MemoryMB)
	j.Used.Accelerators = max(j.Used.Accelerators, c.Used.Accelerators)
}

func unplaceJob(j *fleet.Job, _ record.JobChange) {
	j.Phase, j.VM, j.LeaseUntil = fleet.JobWaiting, "", time.Time{}
}

// checkJobInvariants checks that a job has a worker exactly while it is placed, and that each start is a new attempt.
func checkJobInvariants(before, after fleet.Job) {
	fields := []zap.Field{zap.Any("before", before), zap.Any("after", after)}
	placed := slices.Contains(placedPhases, after.Phase)
	check.That(placed == (after.VM != ""), "job_stands_on_one_worker", fields...)
	moved := after.VM != "" && after.VM != before.VM
	check.That(!moved || (before.VM == "" && after.Attempt == before.Attempt+1), "job_start_is_a_new_attempt", fields...)
}
