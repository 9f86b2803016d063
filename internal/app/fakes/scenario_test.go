package fakes_test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/app/fakes"
	"cowslipstack/internal/base/check"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/lead"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/budget"
	"cowslipstack/internal/wire/codec"
)

// start is when each scenario begins.
var start = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

// service is the load of one service, worked out as a fluid in thousandths of a VM.
type service struct {
	docs.Service

	meanMilli int64
	backlog   int64
	report    fleet.ServiceReport
	bad       time.Duration
	answered  int64
	notRun    int64
}

// scenario runs the leader's whole loop on a manual clock, with the replicated state and the stand-in for the platform.
type scenario struct {
	clock       *clock.Manual
	machine     *state.Machine
	platform    *fakes.Platform
	leader      *lead.Leader
	environment docs.Environment
	services    []*service
	index       uint64
	commands    int
	bytes       int
	refused     int
	moves       int
	// follows says that another replica leads.
	follows  bool
	heldSum  int
	heldMost int
	ticks    int
	// surge is how long one service surges before the next.
	surge time.Duration
	// tick is the time between planning steps.
	tick time.Duration
}

// site is the shape of a fleet.
type site struct {
	dataCentres int
	vm          fleet.Size
}

// sites are the shapes of the two deployments and of the size designed for.
var sites = map[string]site{
	"swan-coastal":  {dataCentres: 3, vm: fleet.Size{Cores: 16, MemoryMB: 64_000}},
	"tucuman-frost": {dataCentres: 3, vm: fleet.Size{Cores: 64, MemoryMB: 256_000}},
	"large":         {dataCentres: 4, vm: fleet.Size{Cores: 16, MemoryMB: 64_000}},
}

func newScenario(t testing.TB, e docs.Environment, text []byte, at site, truth func(job, vm string) fakes.Truth) *scenario {
	check.SetHandler(func(name string, fields []zap.Field) { t.Fatalf("invariant %s breached: %v", name, fields) })
	s := &scenario{clock: clock.NewManual(start), machine: state.NewMachine(), environment: e, surge: 10 * time.Second, tick: 500 * time.Millisecond}
	s.platform = fakes.NewPlatform(fakes.PlatformOptions{
		Clock: s.clock, Drain: 20 * time.Second, Reboot: 100 * time.Second, Join: 20 * time.Second, Lag: 30 * time.Second, Truth: truth,
	})
	s.restart()
	position := 0
	for i := range 10000 {
		added := false
		for _, p := range e.Pools {
			if i >= p.Size {
				continue
			}
			rack := position / 4
			s.platform.Add(fleet.PlatformVM{
				Name: fmt.Sprintf("%s-%d", p.Name, i), Pool: string(p.Name), Size: at.vm,
				Domain: fleet.Domain{DataCentre: fmt.Sprint("dc", rack%at.dataCentres), Switch: fmt.Sprint("s", rack/at.dataCentres/4), Rack: fmt.Sprint("r", rack)},
			})
			position++
			added = true
		}
		if !added {
			break
		}
	}
	for _, sv := range e.Services {
		s.services = append(s.services, &service{Service: sv, meanMilli: 2400, report: fleet.ServiceReport{Service: string(sv.Name)}})
	}
	_, err := s.Submit(context.Background(), record.Command{Document: &record.DocumentChange{Environment: "production", Text: text}})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *scenario) Submit(_ context.Context, c record.Command) (record.Result, error) {
	s.index++
	s.commands++
	if data, err := (codec.Codec{}).EncodeCommand(c); err == nil {
		s.bytes += len(data)
	}
	result := s.machine.Apply(s.index, c)
	if result.Code != record.CodeOK {
		s.refused++
	} else if c.VM != nil && c.VM.Step == record.VMMove {
		s.moves++
	}
	return result, nil
}

func (s *scenario) Confirm(context.Context) error {
	if s.follows {
		return quorum.ErrNotLeader
	}
	return nil
}

func (s *scenario) View(_ context.Context, view func(*state.State)) error {
	view(s.machine.State())
	return nil
}

func (s *scenario) Drained(string, uint64) bool { return true }

// restart puts a new leader in the old one's place, as a change of leader does.
func (s *scenario) restart() {
	s.leader = lead.New(lead.Options{Node: s, Entries: s, Platform: s.platform, Clock: s.clock, Logger: zap.NewNop()})
}

func (s *scenario) Reports() []fleet.ServiceReport {
	var reports []fleet.ServiceReport
	for _, sv := range s.services {
		reports = append(reports, sv.report)
	}
	return reports
}

// run lets time pass, with loads and plans, until done says so or the time is over; it returns how long it took.
func (s *scenario) run(t testing.TB, limit time.Duration, done func() bool) time.Duration {
	began := s.clock.Now()
	for s.clock.Now().Sub(began) < limit {
		s.clock.Advance(s.tick)
		s.load(t)
		if err := s.leader.Step(context.Background()); err != nil {
			t.Fatal(err)
		}
		if done != nil && done() {
			break
		}
	}
	return s.clock.Now().Sub(began)
}

// load lets one tick of requests in: each service in turn surges to five times its mean and rests at a twentieth.
func (s *scenario) load(t testing.TB) {
	capacity := s.capacity(t)
	turn := int(s.clock.Now().Sub(start) / s.surge)
	for i, sv := range s.services {
		offered := sv.meanMilli / 20
		if turn%5 == i%5 {
			offered = sv.meanMilli * 5
		}
		have := capacity[string(sv.Name)]
		arrived := offered * s.tick.Milliseconds() / 1000
		sv.backlog += arrived
		served := min(sv.backlog, have*s.tick.Milliseconds()/1000)
		sv.backlog -= served
		late := max(0, sv.backlog-have*int64(sv.DeadlineMs)/1000)
		sv.backlog -= late
		sv.bad += s.tick * time.Duration(late) / time.Duration(max(1, arrived+late))
		sv.answered += served * 8
		sv.notRun += late * 8
		sv.report.Answered, sv.report.NotRun = uint64(sv.answered/1000), uint64(sv.notRun/1000)
		sv.report.InProgress = int(served * 8 / s.tick.Milliseconds())
		sv.report.Queued = int(sv.backlog * 8 / 1000)
	}
	held := s.held()
	s.ticks++
	s.heldSum += held
	s.heldMost = max(s.heldMost, held)
}

// held counts the VMs that hold spare runners.
func (s *scenario) held() int {
	held := map[string]bool{}
	for _, j := range s.machine.State().Jobs {
		if strings.HasPrefix(j.Name, "runner.") && j.VM != "" {
			held[j.VM] = true
		}
	}
	return len(held)
}

// capacity is what serves each service: VMs of its pool that take work, and restored spare runners.
func (s *scenario) capacity(t testing.TB) map[string]int64 {
	machines, err := s.platform.Machines(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	capacity := map[string]int64{}
	for _, m := range machines {
		v := s.machine.State().VMs[m.Name]
		serves := v.Phase == fleet.PhaseActive || v.Phase == fleet.PhaseProbation
		if !m.Up || !serves || m.Draining {
			continue
		}
		for _, sv := range s.services {
			if string(sv.Pool) == v.Pool {
				capacity[string(sv.Name)] += 1000
			}
		}
		for _, task := range m.Tasks {
			if f := strings.Split(task.Job, "."); f[0] == "runner" && task.State == fleet.TaskRunning {
				capacity[f[1]] += 1000
			}
		}
	}
	return capacity
}

// broken names the services whose bad time is more than their budget.
func (s *scenario) broken() []string {
	var names []string
	for _, sv := range s.services {
		if sv.bad.Milliseconds() > budget.PolicyFor(sv.Service).AllowedMS {
			names = append(names, string(sv.Name))
		}
	}
	return names
}

// wave returns the newest wave.
func (s *scenario) wave() fleet.Wave {
	waves := s.machine.State().Waves
	if len(waves) == 0 {
		return fleet.Wave{}
	}
	return waves[len(waves)-1]
}

// startWave starts an urgent wave over all VMs.
func (s *scenario) startWave(t testing.TB) {
	result, err := s.Submit(context.Background(), record.Command{Time: s.clock.Now(), Wave: &record.WaveChange{
		Step: record.WaveStart, Wave: "roll-out", Cutoff: s.clock.Now(), Cause: "scenario",
	}})
	if err != nil || result.Code != record.CodeOK {
		t.Fatal(result, err)
	}
}

// situation is what the plans would decide from now.
func (s *scenario) situation() lead.Input {
	st := s.machine.State()
	situation := lead.Input{Now: s.clock.Now(), Environment: s.environment, Waves: st.Waves, Ledgers: st.Ledgers, Demands: st.Demands, Failures: st.Failures}
	for _, v := range st.VMs {
		situation.VMs = append(situation.VMs, v)
	}
	for _, name := range slices.Sorted(maps.Keys(st.Jobs)) {
		situation.Jobs = append(situation.Jobs, st.Jobs[name])
	}
	machines, _ := s.platform.Machines(context.Background())
	situation.PlatformVMs = map[string]fleet.PlatformVM{}
	for _, m := range machines {
		situation.PlatformVMs[m.Name] = m
	}
	slices.SortFunc(situation.VMs, func(a, b fleet.VM) int { return strings.Compare(a.Name, b.Name) })
	return situation
}

func readExample(t testing.TB, name string) (docs.Environment, []byte) {
	text, err := os.ReadFile("../../../examples/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	e, err := docs.Parse(name, text)
	if err != nil {
		t.Fatal(err)
	}
	return e, text
}
