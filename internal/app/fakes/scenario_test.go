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
	"cowslipstack/internal/wire/codec"
)

// scenarioStart is the time on the manual clock at which each scenario begins.
var scenarioStart = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

// scenario runs the leader's whole loop on a manual clock, with the replicated state and the fake platform.
type scenario struct {
	clock        *clock.Manual
	stateMachine *state.Machine
	platform     *fakes.Platform
	leader       *lead.Leader
	environment  docs.Environment
	services     []*serviceLoad
	index        uint64
	commands     int
	logBytes     int
	refused      int
	moves        int
	// follower makes the replica a follower: another one leads.
	follower bool
	spareSum int
	spareMax int
	ticks    int
	// surgeTurn is the length of one service's surge, after which the next service surges.
	surgeTurn time.Duration
	// tick is the time between planning steps.
	tick time.Duration
}

// fleetShape holds a fleet's number of data centres and the size of its VMs.
type fleetShape struct {
	dataCentres int
	vmSize      fleet.Size
}

// fleetShapes holds the shapes of the two deployments and of a fleet of the size that the system is designed for.
var fleetShapes = map[string]fleetShape{
	"swan-coastal":  {dataCentres: 3, vmSize: fleet.Size{Cores: 16, MemoryMB: 64_000}},
	"tucuman-frost": {dataCentres: 3, vmSize: fleet.Size{Cores: 64, MemoryMB: 256_000}},
	"large":         {dataCentres: 4, vmSize: fleet.Size{Cores: 16, MemoryMB: 64_000}},
}

func newScenario(t testing.TB, e docs.Environment, text []byte, shape fleetShape, profile func(job, vm string) fakes.TaskProfile) *scenario {
	check.SetHandler(func(name string, fields []zap.Field) { t.Fatalf("invariant %s violated: %v", name, fields) })
	s := &scenario{clock: clock.NewManual(scenarioStart), stateMachine: state.NewMachine(), environment: e, surgeTurn: 10 * time.Second, tick: 500 * time.Millisecond}
	s.platform = fakes.NewPlatform(fakes.PlatformOptions{
		Clock: s.clock, Drain: 20 * time.Second, Reboot: 100 * time.Second, Join: 20 * time.Second, UsageLag: 30 * time.Second, Profile: profile,
	})
	s.replaceLeader()
	position := 0
	for i := range 10000 {
		added := false
		for _, p := range e.Pools {
			if i >= p.Size {
				continue
			}
			rack := position / 4
			s.platform.Add(fleet.PlatformVM{
				Name: fmt.Sprintf("%s-%d", p.Name, i), Pool: string(p.Name), Size: shape.vmSize,
				Domain: fleet.Domain{DataCentre: fmt.Sprint("dc", rack%shape.dataCentres), Switch: fmt.Sprint("s", rack/shape.dataCentres/4), Rack: fmt.Sprint("r", rack)},
			})
			position++
			added = true
		}
		if !added {
			break
		}
	}
	for _, sv := range e.Services {
		s.services = append(s.services, &serviceLoad{Service: sv, meanMilli: 2400, report: fleet.ServiceReport{Service: string(sv.Name)}})
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
		s.logBytes += len(data)
	}
	result := s.stateMachine.Apply(s.index, c)
	if result.Code != record.CodeOK {
		s.refused++
	} else if c.VM != nil && c.VM.Step == record.VMMove {
		s.moves++
	}
	return result, nil
}

func (s *scenario) Confirm(context.Context) error {
	if s.follower {
		return quorum.ErrNotLeader
	}
	return nil
}

func (s *scenario) View(_ context.Context, view func(*state.State)) error {
	view(s.stateMachine.State())
	return nil
}

func (s *scenario) Drained(string, uint64) bool { return true }

// replaceLeader replaces the leader with a new one that has no state of its own, as a change of leader does.
func (s *scenario) replaceLeader() {
	s.leader = lead.New(lead.Options{Node: s, Entries: s, Platform: s.platform, Clock: s.clock, Logger: zap.NewNop()})
}

func (s *scenario) Reports() []fleet.ServiceReport {
	var reports []fleet.ServiceReport
	for _, sv := range s.services {
		reports = append(reports, sv.report)
	}
	return reports
}

// run advances the clock tick by tick, with load and a planning step in each, until done returns true or the limit is
// reached. It returns the time that passed. A nil done runs to the limit.
func (s *scenario) run(t testing.TB, limit time.Duration, done func() bool) time.Duration {
	began := s.clock.Now()
	for s.clock.Now().Sub(began) < limit {
		s.clock.Advance(s.tick)
		s.applyLoad(t)
		if err := s.leader.Step(context.Background()); err != nil {
			t.Fatal(err)
		}
		if done != nil && done() {
			break
		}
	}
	return s.clock.Now().Sub(began)
}

// wave returns the newest wave, or the zero value if there is none.
func (s *scenario) wave() fleet.Wave {
	waves := s.stateMachine.State().Waves
	if len(waves) == 0 {
		return fleet.Wave{}
	}
	return waves[len(waves)-1]
}

// startWave starts a wave over all VMs.
func (s *scenario) startWave(t testing.TB) {
	result, err := s.Submit(context.Background(), record.Command{Time: s.clock.Now(), Wave: &record.WaveChange{
		Step: record.WaveStart, Wave: "roll-out", Cutoff: s.clock.Now(), Cause: "scenario",
	}})
	if err != nil || result.Code != record.CodeOK {
		t.Fatal(result, err)
	}
}

// planInput returns the present input of a planning step.
func (s *scenario) planInput() lead.Input {
	st := s.stateMachine.State()
	input := lead.Input{Now: s.clock.Now(), Environment: s.environment, Waves: st.Waves, Ledgers: st.Ledgers, Demands: st.Demands, Failures: st.Failures}
	for _, v := range st.VMs {
		input.VMs = append(input.VMs, v)
	}
	for _, name := range slices.Sorted(maps.Keys(st.Jobs)) {
		input.Jobs = append(input.Jobs, st.Jobs[name])
	}
	machines, _ := s.platform.VMs(context.Background())
	input.PlatformVMs = map[string]fleet.PlatformVM{}
	for _, m := range machines {
		input.PlatformVMs[m.Name] = m
	}
	slices.SortFunc(input.VMs, func(a, b fleet.VM) int { return strings.Compare(a.Name, b.Name) })
	return input
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
