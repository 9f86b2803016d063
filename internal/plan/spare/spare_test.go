package spare_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/plan/spare"
)

var now = time.Date(2026, time.January, 31, 0, 0, 0, 0, time.UTC)

// TestSpare checks sizes and planned actions against the scripts in testdata. Each has three spare VMs and lists pools,
// one per line, as "NAME VMS NEED MEAN NOW-MILLI DUE LEFT-S"; the VMs of a pool are spread over three data centres.
func TestSpare(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		in := spare.Input{Now: now, SparePools: map[string]bool{"spare": true}, Outage: 10 * time.Minute, Limit: 16, Weights: docs.Weights{Buffer: 1, RollOut: 1}}
		d.MaybeScanArgs(t, "buffer", &in.Weights.Buffer)
		for _, line := range append([]string{"spare 3 0 0 0 0 0"}, strings.Split(d.Input, "\n")...) {
			addPool(t, &in, line)
		}
		if d.HasArg("loaded") {
			in.Jobs = append(in.Jobs, fleet.Job{
				Name: spare.RunnerName("a", "spare-0"), Team: fleet.SpareRunnerTeam, VM: "spare-0", Phase: fleet.JobThrottled, Version: 3, Since: now.Add(-time.Minute),
			})
		}
		s := spare.Size(in)
		out := fmt.Sprintf("held %d, floor %d, kept %t, roll-out %s\n", s.Held, s.Floor, s.BudgetsKept, s.RollOut)
		for _, a := range spare.Plan(in) {
			out += fmt.Sprintf("%s %s: %s\n", a.Command.Job.Step, a.Command.Job.Names[0], a.Reason.Rule)
		}
		return out
	})
}

func addPool(t *testing.T, in *spare.Input, line string) {
	var vms int
	p := spare.Pool{DutyMilli: 200}
	if _, err := fmt.Sscanf(line, "%s %d %d %d %d %d %d", &p.Name, &vms, &p.Need, &p.Mean, &p.CurrentMilli, &p.Due, &p.LeftMS); err != nil {
		t.Fatal(line, err)
	}
	if p.LeftMS *= 1000; p.LeftMS == 0 {
		p.LeftMS = math.MaxInt64
	}
	for i := range vms {
		in.VMs = append(in.VMs, fleet.VM{
			Name: fmt.Sprint(p.Name, "-", i), Pool: p.Name, Phase: fleet.PhaseActive, Size: fleet.Size{Cores: 16, MemoryMB: 64000},
			Domain: fleet.Domain{DataCentre: fmt.Sprint("dc", i%3), Rack: fmt.Sprint(p.Name, i)},
		})
	}
	if p.Name != "spare" {
		p.Services = []string{p.Name}
		in.Pools = append(in.Pools, p)
	}
}
