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
	// JobLease is how long a job goes on without its lease being renewed.
	JobLease = 10 * time.Minute
	// leaseMargin is how long beyond a lease's end a job is taken to run, for clocks that differ.
	leaseMargin = 5 * time.Second
	// renewLimit is the most jobs that one record renews.
	renewLimit = 5000
)

// driveJobs takes each job one step towards the state on its worker, and stops tasks that the state doesn't know.
func (l *Leader) driveJobs(ctx context.Context, s Situation) error {
	jobs := make(map[string]fleet.Job, len(s.Jobs))
	renewals := map[time.Duration][]string{}
	for _, j := range s.Jobs {
		jobs[j.Name] = j
		if j.VM == "" {
			continue
		}
		if err := l.driveJob(ctx, s, j); err != nil {
			return errors.Wrapf(err, "job %q", j.Name)
		}
		if lease := leaseOf(j); j.LeaseUntil.Sub(s.Now) < lease/2 && s.Machines[j.VM].Up {
			renewals[lease] = append(renewals[lease], j.Name)
		}
	}
	for lease, names := range renewals {
		c := record.JobChange{Step: record.JobRenew, Names: names[:min(len(names), renewLimit)], LeaseUntil: s.Now.Add(lease)}
		reason := record.Reason{Rule: "a lease is renewed at half its time", Inputs: fmt.Sprintf("%d jobs", len(names))}
		if err := l.submit(ctx, record.Action{Reason: reason, Command: record.Command{Job: &c}}); err != nil {
			return err
		}
	}
	return l.stopUnknown(ctx, s, jobs)
}

func (l *Leader) driveJob(ctx context.Context, s Situation, j fleet.Job) error {
	t, found := taskOf(s.Machines[j.VM], j)
	ended := s.Now.After(j.LeaseUntil.Add(leaseMargin))
	switch {
	case !s.Machines[j.VM].Up || (found && t.State == fleet.TaskStopped):
		if !ended {
			// The worker may still run the job until its lease has ended.
			return nil
		}
		return l.changeJob(ctx, j, record.JobLost, "the worker was lost and the lease has ended")
	case !found:
		return l.operateJob(ctx, j, fleet.VerbStart)
	case t.State == fleet.TaskEnded:
		return l.changeJob(ctx, j, record.JobEnd, "the job is done")
	case t.State == fleet.TaskFailed:
		return l.changeJob(ctx, j, record.JobFail, "the job failed on "+j.VM)
	case t.State == fleet.TaskRunning && j.Phase == fleet.JobThrottled:
		return l.operateJob(ctx, j, fleet.VerbThrottle)
	case t.State == fleet.TaskThrottled && j.Phase == fleet.JobRunning:
		return l.operateJob(ctx, j, fleet.VerbRestore)
	case l.leases[j.Name] != j.LeaseUntil:
		// The record of a longer lease comes first: the platform never runs a job longer than the state says.
		if err := l.operateJob(ctx, j, fleet.VerbRenew); err != nil {
			return err
		}
		l.leases[j.Name] = j.LeaseUntil
	}
	return l.learnSize(ctx, j, t.Used)
}

// learnSize records a use that is well above what was known.
func (l *Leader) learnSize(ctx context.Context, j fleet.Job, used fleet.Size) error {
	if used.Cores*percent <= j.Used.Cores*grown && used.MemoryMB*percent <= j.Used.MemoryMB*grown && used.Accelerators <= j.Used.Accelerators {
		return nil
	}
	return l.submit(ctx, record.Action{
		Reason:  record.Reason{Rule: "the size in use as reported", Inputs: fmt.Sprintf("%+v", used)},
		Command: record.Command{Job: &record.JobChange{Step: record.JobRenew, Names: []string{j.Name}, Attempt: j.Attempt, Used: used}},
	})
}

// stopUnknown stops tasks whose job is gone, stands elsewhere or has been started anew.
func (l *Leader) stopUnknown(ctx context.Context, s Situation, jobs map[string]fleet.Job) error {
	for _, name := range sortedNames(s.Machines) {
		for _, t := range s.Machines[name].Tasks {
			j, ok := jobs[t.Job]
			if ok && j.VM == name && j.Attempt == t.Attempt {
				continue
			}
			gone := fleet.Job{Name: t.Job, Attempt: t.Attempt, VM: name, Version: j.Version}
			if err := l.operateJob(ctx, gone, fleet.VerbStop); err != nil {
				return errors.Wrapf(err, "task %q", t.Job)
			}
			delete(l.leases, t.Job)
		}
	}
	return nil
}

// operateJob starts an operation on a task; its identity comes from the state alone.
func (l *Leader) operateJob(ctx context.Context, j fleet.Job, verb fleet.Verb) error {
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

func (l *Leader) changeJob(ctx context.Context, j fleet.Job, step record.JobStep, cause string) error {
	return l.submit(ctx, record.Action{
		Reason:  record.Reason{Rule: cause, Inputs: "worker " + j.VM},
		Command: record.Command{Job: &record.JobChange{Step: step, Names: []string{j.Name}, Attempt: j.Attempt, Cause: cause}},
	})
}

func taskOf(m fleet.Machine, j fleet.Job) (fleet.Task, bool) {
	for _, t := range m.Tasks {
		if t.Job == j.Name && t.Attempt == j.Attempt {
			return t, true
		}
	}
	return fleet.Task{}, false
}

func leaseOf(j fleet.Job) time.Duration {
	if j.Team == fleet.RunnerTeam {
		return spare.RunnerLease
	}
	return JobLease
}

// ExplainJob returns why a job is in its phase, or where it would go.
func ExplainJob(s Situation, name string) (record.Reason, bool) {
	return place.Explain(placeInput(s, nil), name)
}
