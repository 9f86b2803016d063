package lead

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/place"
	"cowslipstack/internal/plan/spare"
)

const (
	// JobLease is how long a job keeps running without a renewal of its lease.
	JobLease = 10 * time.Minute
	// clockSkewMargin is how long after the end of its lease a job may still run, because the clocks differ.
	clockSkewMargin = 5 * time.Second
	// maxRenewals is the largest number of jobs that one command renews.
	maxRenewals = 5000
)

// reconcileJobs takes each placed job one step towards the state on its worker, and stops tasks that the state doesn't
// know.
func (l *Leader) reconcileJobs(ctx context.Context, in Input) error {
	jobs := make(map[string]fleet.Job, len(in.Jobs))
	renewals := map[time.Duration][]string{}
	for _, j := range in.Jobs {
		jobs[j.Name] = j
		if j.VM == "" {
			continue
		}
		if err := l.reconcileJob(ctx, in, j); err != nil {
			return errors.Wrapf(err, "job %q", j.Name)
		}
		if lease := leaseLength(j); j.LeaseUntil.Sub(in.Now) < lease/2 && in.PlatformVMs[j.VM].Up {
			renewals[lease] = append(renewals[lease], j.Name)
		}
	}
	for lease, names := range renewals {
		c := record.JobChange{Step: record.JobRenew, Names: names[:min(len(names), maxRenewals)], LeaseUntil: in.Now.Add(lease)}
		reason := record.Reason{Rule: "a lease is renewed at half its time", Inputs: fmt.Sprintf("%d jobs", len(names))}
		if err := l.submit(ctx, record.Action{Reason: reason, Command: record.Command{Job: &c}}); err != nil {
			return err
		}
	}
	return l.stopStaleTasks(ctx, in, jobs)
}

func (l *Leader) reconcileJob(ctx context.Context, in Input, j fleet.Job) error {
	t, found := findTask(in.PlatformVMs[j.VM], j)
	ended := in.Now.After(j.LeaseUntil.Add(clockSkewMargin))
	switch {
	case !in.PlatformVMs[j.VM].Up || (found && t.State == fleet.TaskStopped):
		if !ended {
			// The worker may still run the job until its lease has ended.
			return nil
		}
		return l.submitJobChange(ctx, j, record.JobLost, "the worker was lost and the lease has ended")
	case !found:
		return l.ensureJobOperation(ctx, j, fleet.VerbStart)
	case t.State == fleet.TaskEnded:
		return l.submitJobChange(ctx, j, record.JobEnd, "the job is done")
	case t.State == fleet.TaskFailed:
		return l.submitJobChange(ctx, j, record.JobFail, "the job failed on "+j.VM)
	case t.State == fleet.TaskRunning && j.Phase == fleet.JobThrottled:
		return l.ensureJobOperation(ctx, j, fleet.VerbThrottle)
	case t.State == fleet.TaskThrottled && j.Phase == fleet.JobRunning:
		return l.ensureJobOperation(ctx, j, fleet.VerbRestore)
	case l.leases[j.Name] != j.LeaseUntil:
		// The longer lease is committed before the platform learns of it: no job runs longer than the state says.
		if err := l.ensureJobOperation(ctx, j, fleet.VerbRenew); err != nil {
			return err
		}
		l.leases[j.Name] = j.LeaseUntil
	}
	return l.recordUsage(ctx, j, t.Used)
}

// recordUsage records the size that a task uses once it exceeds the recorded one: by more than 10 % for cores and
// memory, by any number of accelerators.
func (l *Leader) recordUsage(ctx context.Context, j fleet.Job, used fleet.Size) error {
	if used.Cores*percent <= j.Used.Cores*growthPercent && used.MemoryMB*percent <= j.Used.MemoryMB*growthPercent && used.Accelerators <= j.Used.Accelerators {
		return nil
	}
	return l.submit(ctx, record.Action{
		Reason:  record.Reason{Rule: "the size in use as reported", Inputs: fmt.Sprintf("%+v", used)},
		Command: record.Command{Job: &record.JobChange{Step: record.JobRenew, Names: []string{j.Name}, Attempt: j.Attempt, Used: used}},
	})
}

// stopStaleTasks stops tasks whose job is gone, is placed on another worker or has a newer attempt.
func (l *Leader) stopStaleTasks(ctx context.Context, in Input, jobs map[string]fleet.Job) error {
	for _, name := range sortedNames(in.PlatformVMs) {
		for _, t := range in.PlatformVMs[name].Tasks {
			j, ok := jobs[t.Job]
			if ok && j.VM == name && j.Attempt == t.Attempt {
				continue
			}
			stale := fleet.Job{Name: t.Job, Attempt: t.Attempt, VM: name, Version: j.Version}
			if err := l.ensureJobOperation(ctx, stale, fleet.VerbStop); err != nil {
				return errors.Wrapf(err, "task %q", t.Job)
			}
			delete(l.leases, t.Job)
		}
	}
	return nil
}

// ensureJobOperation starts an operation on a task. The operation's identity is derived from the replicated state
// alone.
func (l *Leader) ensureJobOperation(ctx context.Context, j fleet.Job, verb fleet.Verb) error {
	size := j.Declared
	if j.Used != (fleet.Size{}) {
		size = j.Used
	}
	id := fmt.Sprintf("%s/%d/%s", j.Name, j.Attempt, verb)
	if verb != fleet.VerbStart {
		id = fmt.Sprintf("%s/%d/%d", id, j.Version, j.LeaseUntil.Unix())
	}
	_, err := l.options.Platform.Do(ctx, fleet.Operation{
		ID:   id,
		Verb: verb, VM: j.VM, Job: j.Name, Attempt: j.Attempt, Version: j.Version, Size: size, LeaseUntil: j.LeaseUntil,
	})
	return err
}

func (l *Leader) submitJobChange(ctx context.Context, j fleet.Job, step record.JobStep, cause string) error {
	return l.submit(ctx, record.Action{
		Reason:  record.Reason{Rule: cause, Inputs: "worker " + j.VM},
		Command: record.Command{Job: &record.JobChange{Step: step, Names: []string{j.Name}, Attempt: j.Attempt, Cause: cause}},
	})
}

func findTask(m fleet.PlatformVM, j fleet.Job) (fleet.Task, bool) {
	for _, t := range m.Tasks {
		if t.Job == j.Name && t.Attempt == j.Attempt {
			return t, true
		}
	}
	return fleet.Task{}, false
}

func leaseLength(j fleet.Job) time.Duration {
	if j.Team == fleet.SpareRunnerTeam {
		return spare.RunnerLease
	}
	return JobLease
}

// ExplainJob returns why the named job is in its phase or where it would be placed.
func ExplainJob(in Input, name string) (record.Reason, bool) {
	return place.Explain(placeInput(in, nil), name)
}
