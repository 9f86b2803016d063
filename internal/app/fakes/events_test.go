package fakes_test

import (
	"context"
	"flag"
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
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A seed given on the command line goes before the fixed one.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("11"); err != nil {
			panic(err)
		}
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		// A check takes most of a second, and ten times that with the race detector.
		if err := f.Value.Set("10"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// truth is how jobs behave by their names: "bad" ones fail everywhere, all fail on a VM named in sick, the rest run for ten minutes.
func truth(sick map[string]bool) func(job, vm string) fakes.Truth {
	return func(job, vm string) fakes.Truth {
		switch {
		case strings.HasPrefix(job, "runner."):
			return fakes.Truth{Used: fleet.Size{MemoryMB: 9000}}
		case strings.HasPrefix(job, "bad") || sick[vm]:
			return fakes.Truth{Used: fleet.Size{Cores: 1, MemoryMB: 100}, Lasts: time.Second, Fails: true}
		default:
			return fakes.Truth{Used: fleet.Size{Cores: 2, MemoryMB: 500}, Lasts: 10 * time.Minute}
		}
	}
}

// TestScenarios runs the scripts of testdata: events on a whole fleet, and what has become of it.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *scenario
		sick := map[string]bool{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var name, period string
			count := 1
			d.MaybeScanArgs(t, "name", &name)
			d.MaybeScanArgs(t, "for", &period)
			d.MaybeScanArgs(t, "count", &count)
			if d.Cmd == "fleet" {
				e, text := readExample(t, name)
				s = newScenario(t, e, text, sites[name], truth(sick))
				s.tick = 2 * time.Second
				return ""
			}
			if d.Cmd == "sick" {
				sick[name] = true
				return ""
			}
			s.event(t, d.Cmd, name, count)
			if period != "" {
				limit, err := time.ParseDuration(period)
				if err != nil {
					t.Fatal(err)
				}
				s.run(t, limit, nil)
			}
			return s.tell()
		})
	})
}

// event lets one thing happen.
func (s *scenario) event(t testing.TB, kind, name string, count int) {
	now := s.clock.Now()
	steps := map[string]record.WaveStep{"hold": record.WaveHold, "resume": record.WaveResume, "cancel": record.WaveCancel}
	switch kind {
	case "run":
	case "wave":
		s.submit(record.Command{Wave: &record.WaveChange{Step: record.WaveStart, Wave: name, Cutoff: now, Cause: "an operator started it"}})
	case "hold", "resume", "cancel":
		s.submit(record.Command{Wave: &record.WaveChange{Step: steps[kind], Wave: s.wave().Name, Cause: "an operator asked for it"}})
	case "leader":
		s.restart()
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

// failOrRepair fails or repairs a VM, or all of a rack or data centre.
func (s *scenario) failOrRepair(kind, name string) {
	machines, _ := s.platform.Machines(context.Background())
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

// failReturned fails the next VMs that come back from a wave, as soon as they are back.
func (s *scenario) failReturned(t testing.TB, count int) {
	failed := map[string]bool{}
	s.run(t, time.Hour, func() bool {
		for _, v := range s.machine.State().VMs {
			if v.Phase == fleet.PhaseProbation && v.Work == s.wave().Name && len(failed) < count && !failed[v.Name] {
				failed[v.Name] = true
				s.platform.Fail(v.Name)
			}
		}
		return len(failed) == count || s.wave().Phase == fleet.WaveStopped
	})
}

// tell describes the fleet.
func (s *scenario) tell() string {
	phases, jobs := map[string]int{}, map[string]int{}
	for _, v := range s.machine.State().VMs {
		phases[v.Phase.String()]++
	}
	for _, j := range s.machine.State().Jobs {
		if j.Team != fleet.SpareRunnerTeam {
			jobs[j.Phase.String()]++
		}
	}
	w := s.wave()
	text := fmt.Sprintf("vms %v, moves %d, budgets broken %v\n", phases, s.moves, s.broken())
	if w.Name != "" {
		rule, _, _ := strings.Cut(w.Cause, " (")
		text += fmt.Sprintf("wave %s: %s\n", w.Phase, rule)
	}
	if len(jobs) > 0 {
		text += fmt.Sprintf("jobs %v\n", jobs)
	}
	return text
}

// doubled returns a job that runs on two VMs at one time.
func (s *scenario) doubled() string {
	machines, _ := s.platform.Machines(context.Background())
	seen := map[string]string{}
	for _, m := range machines {
		for _, task := range m.Tasks {
			if task.State != fleet.TaskRunning && task.State != fleet.TaskThrottled {
				continue
			}
			if other, ok := seen[task.Job]; ok {
				return fmt.Sprintf("%s on %s and %s", task.Job, other, m.Name)
			}
			seen[task.Job] = m.Name
		}
	}
	return ""
}

// TestRandomEvents lets waves, losses, repairs, changes of leader, jobs and cancellations come in random order; in the
// end the fleet comes to rest, with each VM active in one pool and no job lost or run twice at one time.
func TestRandomEvents(t *testing.T) {
	kinds := []string{"wave", "hold", "resume", "cancel", "leader", "fail", "repair", "jobs", "cancel_jobs", "run"}
	rapid.Check(t, func(r *rapid.T) {
		e, text := readExample(t, "swan-coastal")
		s := newScenario(t, e, text, sites["swan-coastal"], truth(nil))
		s.tick = 5 * time.Second
		s.run(t, time.Minute, nil)
		for i := range rapid.IntRange(1, 12).Draw(r, "events") {
			name := rapid.SampledFrom([]string{"credits-1", "spare-2", "notes-3", "r3", "r9", "dc1"}).Draw(r, "name")
			kind := rapid.SampledFrom(kinds).Draw(r, "kind")
			if kind == "wave" || strings.Contains(kind, "jobs") {
				name = fmt.Sprint(kind, rapid.IntRange(0, i).Draw(r, "number"))
			}
			s.event(t, kind, strings.TrimPrefix(name, "cancel_"), 3)
			s.run(t, time.Duration(rapid.IntRange(1, 400).Draw(r, "seconds"))*time.Second, func() bool {
				if twice := s.doubled(); twice != "" {
					r.Fatalf("a job runs twice: %s", twice)
				}
				return false
			})
		}
		s.event(t, "repair", "all", 0)
		s.event(t, "cancel", "", 0)
		s.run(t, 45*time.Minute, nil)
		s.settled(r)
	})
}

// settled fails where a VM or a job has not come to rest.
func (s *scenario) settled(r *rapid.T) {
	for _, v := range s.machine.State().VMs {
		if v.Phase != fleet.PhaseActive {
			r.Fatalf("VM %s is %s: %s", v.Name, v.Phase, v.Cause)
		}
	}
	for _, j := range s.machine.State().Jobs {
		if j.Team != fleet.SpareRunnerTeam && !slices.Contains([]fleet.JobPhase{fleet.JobHeld}, j.Phase) {
			r.Fatalf("job %s is %s: %s", j.Name, j.Phase, j.Cause)
		}
	}
}

// TestFollowerDoesNothing checks that a replica which doesn't lead makes no change and no operation, and that the
// platform refuses what a deposed leader sends late.
func TestFollowerDoesNothing(t *testing.T) {
	is := is.New(t)
	e, text := readExample(t, "swan-coastal")
	s := newScenario(t, e, text, sites["swan-coastal"], truth(nil))
	s.run(t, time.Minute, nil)
	s.startWave(t)
	s.run(t, 5*time.Minute, nil)
	s.follows = true
	commands, operations := s.commands, s.platform.Operations()
	s.run(t, 5*time.Minute, nil)
	is.Equal(s.commands, commands)
	is.Equal(s.platform.Operations(), operations)
	for _, v := range s.machine.State().VMs {
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
