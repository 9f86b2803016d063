package fakes_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"cowslipstack/internal/ctrl/lead"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/waves"
	"cowslipstack/internal/wire/codec"
)

// outage is the time that maintenance of one VM takes with the fake platform: drain, reboot and ten minutes of
// probation.
const outage = 12 * time.Minute

// policyResult holds the spare VMs, the roll-out time and the VM moves by which policies are compared.
type policyResult struct {
	spare   int
	rollOut time.Duration
	moves   int
}

// baseline returns the result of a simple policy: fixed spare VMs for each service, enough for its peak load and one
// lost VM, and maintenance of one VM at a time, with a spare VM moved in for it and back.
func baseline(s *scenario, failures int) policyResult {
	result := policyResult{moves: 2 * failures}
	vms := 0
	for _, sv := range s.services {
		size := poolSize(s.environment, string(sv.Pool))
		vms += size
		result.spare += max(0, int((5*sv.meanMilli+999)/1000)-size) + 1
	}
	result.rollOut = time.Duration(vms) * (outage + 2*40*time.Second)
	result.moves += 2 * vms
	return result
}

// lowerBound returns a bound that no policy can beat: the VMs that a surge lacks if each request waits for its whole
// deadline.
func lowerBound(s *scenario, in waves.Input, w fleet.Wave) policyResult {
	in.Policy.Outage = outage
	result := policyResult{rollOut: waves.MinDuration(in, w)}
	for _, sv := range s.services {
		peak, length := 5*sv.meanMilli, s.surgeTurn.Milliseconds()
		need := int((peak*length/(length+int64(sv.DeadlineMs)) + 999) / 1000)
		result.spare = max(result.spare, need-poolSize(s.environment, string(sv.Pool)))
	}
	return result
}

func poolSize(e docs.Environment, pool string) int {
	for _, p := range e.Pools {
		if string(p.Name) == pool {
			return p.Size
		}
	}
	return 0
}

// measure warms a scenario up, runs a wave over all VMs and reports the results beside the baseline and the lower bound.
func measure(b *testing.B, s *scenario, limit time.Duration) {
	s.run(b, 30*time.Minute, nil)
	warm := s.spareInUse()
	s.commands, s.logBytes = 0, 0
	s.run(b, 10*time.Minute, nil)
	b.ReportMetric(float64(s.logBytes)/600, "idle_log_B/s")
	s.commands, s.logBytes = 0, 0
	s.spareSum, s.spareMax, s.ticks = 0, 0, 0
	s.startWave(b)
	lower := lowerBound(s, lead.WavesInput(s.planInput()), s.wave())
	took := s.run(b, limit, func() bool { return s.wave().Phase == fleet.WaveDone })
	b.ReportMetric(float64(s.logBytes)/took.Seconds(), "wave_log_B/s")
	if data, err := (codec.Codec{}).EncodeState(s.stateMachine.State()); err == nil {
		b.ReportMetric(float64(len(data)), "snapshot_B")
	}
	simple := baseline(s, 0)
	b.ReportMetric(float64(warm), "spare_warm")
	b.ReportMetric(float64(s.spareSum)/float64(s.ticks), "spare_mean")
	b.ReportMetric(float64(s.spareMax), "spare_most")
	b.ReportMetric(took.Seconds(), "roll_out_s")
	b.ReportMetric(float64(s.moves), "moves")
	b.ReportMetric(float64(len(s.exceededBudgets())), "budgets_broken")
	b.ReportMetric(float64(s.refused), "refused")
	b.ReportMetric(float64(lower.spare), "bound_spare")
	b.ReportMetric(lower.rollOut.Seconds(), "bound_roll_out_s")
	b.ReportMetric(float64(simple.spare), "plain_spare")
	b.ReportMetric(simple.rollOut.Seconds(), "plain_roll_out_s")
	b.ReportMetric(float64(simple.moves), "plain_moves")
	if w := s.wave(); w.Phase != fleet.WaveDone {
		b.Logf("wave %s: %s", w.Phase, w.Cause)
	}
}

// BenchmarkDeployments measures both deployments, each with its own weights and with those of the other.
func BenchmarkDeployments(b *testing.B) {
	for _, name := range []string{"swan-coastal", "tucuman-frost"} {
		for _, w := range []docs.Weights{{Buffer: 1, RollOut: 4, Moves: 1}, {Buffer: 4, RollOut: 1, Moves: 1}} {
			b.Run(fmt.Sprintf("%s/buffer=%d,roll_out=%d", name, w.Buffer, w.RollOut), func(b *testing.B) {
				for range b.N {
					_, text := readExample(b, name)
					lines := strings.NewReplacer("buffer = 1", fmt.Sprint("buffer = ", w.Buffer), "buffer = 4", fmt.Sprint("buffer = ", w.Buffer),
						"roll_out = 4", fmt.Sprint("roll_out = ", w.RollOut), "roll_out = 1", fmt.Sprint("roll_out = ", w.RollOut))
					text = []byte(lines.Replace(string(text)))
					e, err := docs.Parse(name, text)
					if err != nil {
						b.Fatal(err)
					}
					measure(b, newScenario(b, e, text, fleetShapes[name], nil), 4*time.Hour)
				}
			})
		}
	}
}

// largeEnvironment returns a document with a given number of pools: one of spare VMs, with a VM for each five pools, and
// the others of five VMs with one service each.
func largeEnvironment(b *testing.B, pools int) (docs.Environment, []byte) {
	var t strings.Builder
	fmt.Fprintf(&t, "environment = \"production\"\n[maintenance]\nwave_limit = %d\n", max(4, pools/3))
	fmt.Fprintf(&t, "[[pools]]\nname = \"spare\"\nsize = %d\nspare = true\n", max(1, pools/5))
	for i := range pools - 1 {
		fmt.Fprintf(&t, "[[pools]]\nname = \"p%d\"\nsize = 5\n[[services]]\nname = \"s%d\"\npool = \"p%d\"\navailability = 0.999\ndeadline_ms = 10000\n", i, i, i)
	}
	for i := range 170 {
		fmt.Fprintf(&t, "[[teams]]\nname = \"t%d\"\nquota_cores = 100\n", i)
	}
	e, err := docs.Parse("large", []byte(t.String()))
	if err != nil {
		b.Fatal(err)
	}
	return e, []byte(t.String())
}

// BenchmarkLargeFleet measures a roll-out at 265 pools, 1,373 VMs and 170 teams.
func BenchmarkLargeFleet(b *testing.B) {
	for range b.N {
		e, text := largeEnvironment(b, 265)
		s := newScenario(b, e, text, fleetShapes["large"], nil)
		for _, sv := range s.services {
			sv.meanMilli = 1200
		}
		s.tick = 2 * time.Second
		measure(b, s, 6*time.Hour)
	}
}

// BenchmarkStep measures one planning step by the number of VMs, without log entries and platform calls. There are six
// running or waiting jobs for each pool, and a hundred new jobs.
func BenchmarkStep(b *testing.B) {
	for _, pools := range []int{17, 34, 66, 133, 265} {
		e, text := largeEnvironment(b, pools)
		s := newScenario(b, e, text, fleetShapes["large"], nil)
		for _, sv := range s.services {
			sv.meanMilli = 1200
		}
		s.run(b, 5*time.Minute, nil)
		s.applyEvent(b, "jobs", "t1", 6*pools)
		s.startWave(b)
		s.run(b, 5*time.Minute, nil)
		s.applyEvent(b, "jobs", "t2", 100)
		input := s.planInput()
		b.Run(fmt.Sprintf("vms=%d,jobs=%d", len(input.VMs), len(input.Jobs)), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				lead.Decide(input)
			}
		})
	}
}

// BenchmarkUrgent measures the time until the task of an urgent job runs, on a pool that is full of jobs that are not
// urgent.
func BenchmarkUrgent(b *testing.B) {
	for range b.N {
		e, text := readExample(b, "swan-coastal")
		s := newScenario(b, e, text, fleetShapes["swan-coastal"], taskProfiles(nil))
		s.tick = 500 * time.Millisecond
		s.run(b, time.Minute, nil)
		s.applyEvent(b, "jobs", "wait", 60)
		s.run(b, time.Minute, nil)
		var longest time.Duration
		const urgent = 8
		for i := range urgent {
			name := fmt.Sprint("now-", i)
			s.submit(record.Command{Job: &record.JobChange{Step: record.JobSubmit, Names: []string{name}, Job: fleet.Job{
				Name: name, Team: "wait", Pool: "spare", Urgent: true, Declared: fleet.Size{Cores: 8, MemoryMB: 1000},
			}}})
			longest = max(longest, s.run(b, time.Minute, func() bool { return s.taskRunning(name) }))
		}
		b.ReportMetric(longest.Seconds(), "urgent_start_s")
		b.ReportMetric(float64(s.moves), "moves")
	}
}

// taskRunning reports whether the platform runs a task of a job.
func (s *scenario) taskRunning(job string) bool {
	machines, _ := s.platform.VMs(context.Background())
	for _, m := range machines {
		for _, task := range m.Tasks {
			if task.Job == job && task.State == fleet.TaskRunning {
				return true
			}
		}
	}
	return false
}
