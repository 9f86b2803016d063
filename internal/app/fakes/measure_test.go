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

// outage is how long the stand-in has one VM out: its drain, its reboot and ten minutes of probation.
const outage = 12 * time.Minute

// figures are what a scenario is measured by.
type figures struct {
	spare   int
	rollOut time.Duration
	moves   int
}

// baseline holds a fixed spare for each service, enough for its peak and one lost VM, and maintains one VM at a
// time with a spare VM moved in for it and back.
func baseline(s *scenario, failures int) figures {
	f := figures{moves: 2 * failures}
	vms := 0
	for _, sv := range s.services {
		size := poolSize(s.environment, string(sv.Pool))
		vms += size
		f.spare += max(0, int((5*sv.meanMilli+999)/1000)-size) + 1
	}
	f.rollOut = time.Duration(vms) * (outage + 2*40*time.Second)
	f.moves += 2 * vms
	return f
}

// bound is what no policy can beat: the VMs that a surge lacks where each request waits for its whole deadline.
func bound(s *scenario, in waves.Input, w fleet.Wave) figures {
	in.Policy.Outage = outage
	f := figures{rollOut: waves.MinDuration(in, w)}
	for _, sv := range s.services {
		peak, length := 5*sv.meanMilli, s.surge.Milliseconds()
		need := int((peak*length/(length+int64(sv.DeadlineMs)) + 999) / 1000)
		f.spare = max(f.spare, need-poolSize(s.environment, string(sv.Pool)))
	}
	return f
}

func poolSize(e docs.Environment, pool string) int {
	for _, p := range e.Pools {
		if string(p.Name) == pool {
			return p.Size
		}
	}
	return 0
}

// measure warms a scenario up, rolls out over all VMs and reports the figures beside the baseline and the bound.
func measure(b *testing.B, s *scenario, limit time.Duration) {
	s.run(b, 30*time.Minute, nil)
	warm := s.held()
	s.commands, s.bytes = 0, 0
	s.run(b, 10*time.Minute, nil)
	b.ReportMetric(float64(s.bytes)/600, "idle_log_B/s")
	s.commands, s.bytes = 0, 0
	s.heldSum, s.heldMost, s.ticks = 0, 0, 0
	s.startWave(b)
	least := bound(s, lead.WavesInput(s.situation()), s.wave())
	took := s.run(b, limit, func() bool { return s.wave().Phase == fleet.WaveDone })
	b.ReportMetric(float64(s.bytes)/took.Seconds(), "wave_log_B/s")
	if data, err := (codec.Codec{}).EncodeState(s.machine.State()); err == nil {
		b.ReportMetric(float64(len(data)), "snapshot_B")
	}
	plain := baseline(s, 0)
	b.ReportMetric(float64(warm), "spare_warm")
	b.ReportMetric(float64(s.heldSum)/float64(s.ticks), "spare_mean")
	b.ReportMetric(float64(s.heldMost), "spare_most")
	b.ReportMetric(took.Seconds(), "roll_out_s")
	b.ReportMetric(float64(s.moves), "moves")
	b.ReportMetric(float64(len(s.broken())), "budgets_broken")
	b.ReportMetric(float64(s.refused), "refused")
	b.ReportMetric(float64(least.spare), "bound_spare")
	b.ReportMetric(least.rollOut.Seconds(), "bound_roll_out_s")
	b.ReportMetric(float64(plain.spare), "plain_spare")
	b.ReportMetric(plain.rollOut.Seconds(), "plain_roll_out_s")
	b.ReportMetric(float64(plain.moves), "plain_moves")
	if w := s.wave(); w.Phase != fleet.WaveDone {
		b.Logf("wave %s: %s", w.Phase, w.Cause)
	}
}

// BenchmarkDeployments measures both deployments, with their own weights and with each other's.
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
					measure(b, newScenario(b, e, text, sites[name], nil), 4*time.Hour)
				}
			})
		}
	}
}

// large writes a document with a count of pools of five VMs, one service each, and one spare VM for each five pools.
func large(b *testing.B, pools int) (docs.Environment, []byte) {
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

// BenchmarkLetter measures a roll-out at 265 pools, 1,373 VMs and 170 teams.
func BenchmarkLetter(b *testing.B) {
	for range b.N {
		e, text := large(b, 265)
		s := newScenario(b, e, text, sites["large"], nil)
		for _, sv := range s.services {
			sv.meanMilli = 1200
		}
		s.tick = 2 * time.Second
		measure(b, s, 6*time.Hour)
	}
}

// BenchmarkStep measures one planning step, without records and calls on the platform, over the count of VMs, with six
// jobs that run or wait for each pool and a hundred that have just come.
func BenchmarkStep(b *testing.B) {
	for _, pools := range []int{17, 34, 66, 133, 265} {
		e, text := large(b, pools)
		s := newScenario(b, e, text, sites["large"], nil)
		for _, sv := range s.services {
			sv.meanMilli = 1200
		}
		s.run(b, 5*time.Minute, nil)
		s.event(b, "jobs", "t1", 6*pools)
		s.startWave(b)
		s.run(b, 5*time.Minute, nil)
		s.event(b, "jobs", "t2", 100)
		situation := s.situation()
		b.Run(fmt.Sprintf("vms=%d,jobs=%d", len(situation.VMs), len(situation.Jobs)), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				lead.Decide(situation)
			}
		})
	}
}

// BenchmarkUrgent measures how long urgent jobs wait for their task to run, on a pool that is full of what can wait.
func BenchmarkUrgent(b *testing.B) {
	for range b.N {
		e, text := readExample(b, "swan-coastal")
		s := newScenario(b, e, text, sites["swan-coastal"], truth(nil))
		s.tick = 500 * time.Millisecond
		s.run(b, time.Minute, nil)
		s.event(b, "jobs", "wait", 60)
		s.run(b, time.Minute, nil)
		var longest time.Duration
		const urgent = 8
		for i := range urgent {
			name := fmt.Sprint("now-", i)
			s.submit(record.Command{Job: &record.JobChange{Step: record.JobSubmit, Names: []string{name}, Job: fleet.Job{
				Name: name, Team: "wait", Pool: "spare", Urgent: true, Declared: fleet.Size{Cores: 8, MemoryMB: 1000},
			}}})
			longest = max(longest, s.run(b, time.Minute, func() bool { return s.runs(name) }))
		}
		b.ReportMetric(longest.Seconds(), "urgent_start_s")
		b.ReportMetric(float64(s.moves), "moves")
	}
}

// runs says whether the platform runs a job.
func (s *scenario) runs(job string) bool {
	machines, _ := s.platform.Machines(context.Background())
	for _, m := range machines {
		for _, task := range m.Tasks {
			if task.Job == job && task.State == fleet.TaskRunning {
				return true
			}
		}
	}
	return false
}
