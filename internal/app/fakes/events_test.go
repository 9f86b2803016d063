package fakes_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipstack/internal/app/fakes"
	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// TestMain fixes the seed of the random tests, and their number: a check takes most of a second, and ten times that with
// the race detector.
func TestMain(m *testing.M) {
	tests.SetFlags(map[string]string{"rapid.seed": "11", "rapid.checks": "10"})
	os.Exit(m.Run())
}

// taskProfiles returns the profiles of jobs: those with a "bad" name fail on every VM, all fail on a VM in failingVMs,
// the others run for ten minutes. Spare runners run until they are stopped.
func taskProfiles(failingVMs map[string]bool) func(job, vm string) fakes.TaskProfile {
	return func(job, vm string) fakes.TaskProfile {
		switch {
		case strings.HasPrefix(job, "runner."):
			return fakes.TaskProfile{Used: fleet.Size{MemoryMB: 9000}}
		case strings.HasPrefix(job, "bad") || failingVMs[vm]:
			return fakes.TaskProfile{Used: fleet.Size{Cores: 1, MemoryMB: 100}, Duration: time.Second, Fails: true}
		default:
			return fakes.TaskProfile{Used: fleet.Size{Cores: 2, MemoryMB: 500}, Duration: 10 * time.Minute}
		}
	}
}

// TestScenarios runs the scripts of testdata: each command applies an event to a whole fleet and prints its state.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *scenario
		failingVMs := map[string]bool{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var name, period string
			count := 1
			d.MaybeScanArgs(t, "name", &name)
			d.MaybeScanArgs(t, "for", &period)
			d.MaybeScanArgs(t, "count", &count)
			if d.Cmd == "fleet" {
				e, text := readExample(t, name)
				s = newScenario(t, e, text, fleetShapes[name], taskProfiles(failingVMs))
				s.tick = 2 * time.Second
				return ""
			}
			if d.Cmd == "sick" {
				failingVMs[name] = true
				return ""
			}
			s.applyEvent(t, d.Cmd, name, count)
			if period != "" {
				limit, err := time.ParseDuration(period)
				if err != nil {
					t.Fatal(err)
				}
				s.run(t, limit, nil)
			}
			return s.summary()
		})
	})
}

// applyEvent applies one event of a script; count is the number of jobs or VMs where the event needs one.
func (s *scenario) applyEvent(t testing.TB, kind, name string, count int) {
	now := s.clock.Now()
	steps := map[string]record.WaveStep{"hold": record.WaveHold, "resume": record.WaveResume, "cancel": record.WaveCancel}
	switch kind {
	case "run":
	case "wave":
		s.submit(record.Command{Wave: &record.WaveChange{Step: record.WaveStart, Wave: name, Cutoff: now, Cause: "an operator started it"}})
	case "hold", "resume", "cancel":
		s.submit(record.Command{Wave: &record.WaveChange{Step: steps[kind], Wave: s.wave().Name, Cause: "an operator asked for it"}})
	case "leader":
		s.replaceLeader()
	case "fail", "repair":
		s.failOrRepair(kind, name)
	case "fail_returned":
		s.failReturned(t, count)
	case "jobs":
		for i := range count {
			job := fleet.Job{Name: fmt.Sprint(name, "-", i), Team: name, Pool: "spare", Checkpoint: true, Declared: fleet.Size{Cores: 4, MemoryMB: 1000}}
			s.submit(record.Command{Job: &record.JobChange{Step: record.JobSubmit, Names: []string{job.Name}, Job: job}})
		}
	case "cancel_jobs":
		var names []string
		for i := range count {
			names = append(names, fmt.Sprint(name, "-", i))
		}
		s.submit(record.Command{Job: &record.JobChange{Step: record.JobCancel, Names: names}})
	default:
		t.Fatalf("unknown event %q", kind)
	}
}

func (s *scenario) submit(c record.Command) {
	c.Time = s.clock.Now()
	_, _ = s.Submit(context.Background(), c)
}

// failOrRepair fails or repairs a VM, the VMs of a rack or data centre, or all VMs.
func (s *scenario) failOrRepair(kind, name string) {
	machines, _ := s.platform.VMs(context.Background())
	for _, m := range machines {
		if name != m.Name && name != m.Domain.Rack && name != m.Domain.DataCentre && name != "all" {
			continue
		}
		if kind == "fail" {
			s.platform.Fail(m.Name)
		} else {
			s.platform.Repair(m.Name)
		}
	}
}

// failReturned fails the next count VMs that return from the wave, as soon as their probation begins.
func (s *scenario) failReturned(t testing.TB, count int) {
	failed := map[string]bool{}
	s.run(t, time.Hour, func() bool {
		for _, v := range s.stateMachine.State().VMs {
			if v.Phase == fleet.PhaseProbation && v.Work == s.wave().Name && len(failed) < count && !failed[v.Name] {
				failed[v.Name] = true
				s.platform.Fail(v.Name)
			}
		}
		return len(failed) == count || s.wave().Phase == fleet.WaveStopped
	})
}

// summary returns the numbers of VMs and jobs by phase, the moves, the exceeded budgets and the newest wave.
func (s *scenario) summary() string {
	phases, jobs := map[string]int{}, map[string]int{}
	for _, v := range s.stateMachine.State().VMs {
		phases[v.Phase.String()]++
	}
	for _, j := range s.stateMachine.State().Jobs {
		if j.Team != fleet.SpareRunnerTeam {
			jobs[j.Phase.String()]++
		}
	}
	w := s.wave()
	text := fmt.Sprintf("vms %v, moves %d, budgets broken %v\n", phases, s.moves, s.exceededBudgets())
	if w.Name != "" {
		rule, _, _ := strings.Cut(w.Cause, " (")
		text += fmt.Sprintf("wave %s: %s\n", w.Phase, rule)
	}
	if len(jobs) > 0 {
		text += fmt.Sprintf("jobs %v\n", jobs)
	}
	return text
}

// duplicateJob describes a job that runs on two VMs at the same time; it returns "" if there is none.
func (s *scenario) duplicateJob() string {
	machines, _ := s.platform.VMs(context.Background())
	vmOfJob := map[string]string{}
	for _, m := range machines {
		for _, task := range m.Tasks {
			if task.State != fleet.TaskRunning && task.State != fleet.TaskThrottled {
				continue
			}
			if other, ok := vmOfJob[task.Job]; ok {
				return fmt.Sprintf("%s on %s and %s", task.Job, other, m.Name)
			}
			vmOfJob[task.Job] = m.Name
		}
	}
	return ""
}

// TestRandomEvents applies waves, VM failures, repairs, changes of leader, jobs and cancellations in random order. No
// job may run on two VMs at the same time. Once all VMs are repaired and the wave is cancelled, the fleet must settle:
// every VM active in one pool and no job lost.
func TestRandomEvents(t *testing.T) {
	kinds := []string{"wave", "hold", "resume", "cancel", "leader", "fail", "repair", "jobs", "cancel_jobs", "run"}
	rapid.Check(t, func(r *rapid.T) {
		e, text := readExample(t, "swan-coastal")
		s := newScenario(t, e, text, fleetShapes["swan-coastal"], taskProfiles(nil))
		s.tick = 5 * time.Second
		s.run(t, time.Minute, nil)
		for i := range rapid.IntRange(1, 12).Draw(r, "events") {
			name := rapid.SampledFrom([]string{"credits-1", "spare-2", "notes-3", "r3", "r9", "dc1"}).Draw(r, "name")
			kind := rapid.SampledFrom(kinds).Draw(r, "kind")
			if kind == "wave" || strings.Contains(kind, "jobs") {
				name = fmt.Sprint(kind, rapid.IntRange(0, i).Draw(r, "number"))
			}
			s.applyEvent(t, kind, strings.TrimPrefix(name, "cancel_"), 3)
			s.run(t, time.Duration(rapid.IntRange(1, 400).Draw(r, "seconds"))*time.Second, func() bool {
				if duplicate := s.duplicateJob(); duplicate != "" {
					r.Fatalf("a job runs on two VMs: %s", duplicate)
				}
				return false
			})
		}
		s.applyEvent(t, "repair", "all", 0)
		s.applyEvent(t, "cancel", "", 0)
		s.run(t, 45*time.Minute, nil)
		s.checkSettled(r)
	})
}

// checkSettled fails the check if a VM is not active or a job is neither ended nor held.
func (s *scenario) checkSettled(r *rapid.T) {
	for _, v := range s.stateMachine.State().VMs {
		if v.Phase != fleet.PhaseActive {
			r.Fatalf("VM %s is %s: %s", v.Name, v.Phase, v.Cause)
		}
	}
	for _, j := range s.stateMachine.State().Jobs {
		if j.Team != fleet.SpareRunnerTeam && !slices.Contains([]fleet.JobPhase{fleet.JobHeld}, j.Phase) {
			r.Fatalf("job %s is %s: %s", j.Name, j.Phase, j.Cause)
		}
	}
}

// TestFollowerDoesNothing checks that a follower submits no command and starts no operation, and that the platform
// rejects a late operation of a deposed leader as stale.
func TestFollowerDoesNothing(t *testing.T) {
	is := is.New(t)
	e, text := readExample(t, "swan-coastal")
	s := newScenario(t, e, text, fleetShapes["swan-coastal"], taskProfiles(nil))
	s.run(t, time.Minute, nil)
	s.startWave(t)
	s.run(t, 5*time.Minute, nil)
	s.follower = true
	commands, operations := s.commands, s.platform.Operations()
	s.run(t, 5*time.Minute, nil)
	is.Equal(s.commands, commands)
	is.Equal(s.platform.Operations(), operations)
	for _, v := range s.stateMachine.State().VMs {
		if v.Epoch == 1 {
			continue
		}
		late := fleet.Operation{ID: v.Name + "/1/1/reboot", Verb: fleet.VerbReboot, VM: v.Name, Epoch: 1, Version: 1}
		state, err := s.platform.Do(context.Background(), late)
		is.NoErr(err)
		is.Equal(state, fleet.OperationStale)
	}
	is.Equal(s.platform.Operations(), operations)
}
