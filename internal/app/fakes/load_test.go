package fakes_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/plan/budget"
)

// serviceLoad models the load of one service as a fluid, in thousandths of a VM.
type serviceLoad struct {
	docs.Service

	meanMilli int64
	backlog   int64
	report    fleet.ServiceReport
	badTime   time.Duration
	answered  int64
	notRun    int64
}

// applyLoad applies one tick of requests: in turn, each service surges to five times its mean load and otherwise has
// a twentieth of it.
func (s *scenario) applyLoad(t testing.TB) {
	capacity := s.capacity(t)
	turn := int(s.clock.Now().Sub(scenarioStart) / s.surgeTurn)
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
		sv.badTime += s.tick * time.Duration(late) / time.Duration(max(1, arrived+late))
		sv.answered += served * 8
		sv.notRun += late * 8
		sv.report.Answered, sv.report.NotRun = uint64(sv.answered/1000), uint64(sv.notRun/1000)
		sv.report.InProgress = int(served * 8 / s.tick.Milliseconds())
		sv.report.Queued = int(sv.backlog * 8 / 1000)
	}
	spare := s.spareInUse()
	s.ticks++
	s.spareSum += spare
	s.spareMax = max(s.spareMax, spare)
}

// spareInUse returns the number of VMs that hold spare runners.
func (s *scenario) spareInUse() int {
	held := map[string]bool{}
	for _, j := range s.stateMachine.State().Jobs {
		if strings.HasPrefix(j.Name, "runner.") && j.VM != "" {
			held[j.VM] = true
		}
	}
	return len(held)
}

// capacity returns the capacity of each service in thousandths of a VM: the VMs of its pool that take work, and the
// restored spare runners.
func (s *scenario) capacity(t testing.TB) map[string]int64 {
	machines, err := s.platform.VMs(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	capacity := map[string]int64{}
	for _, m := range machines {
		v := s.stateMachine.State().VMs[m.Name]
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

// exceededBudgets returns the names of the services whose bad time exceeds their availability budget.
func (s *scenario) exceededBudgets() []string {
	var names []string
	for _, sv := range s.services {
		if sv.badTime.Milliseconds() > budget.PolicyFor(sv.Service).AllowedMS {
			names = append(names, string(sv.Name))
		}
	}
	return names
}
