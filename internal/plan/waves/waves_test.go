package waves_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/budget"
	"cowslipstack/internal/plan/waves"
)

var now = time.Date(2026, time.January, 31, 0, 0, 0, 0, time.UTC)

var policy = waves.Policy{Cycle: 28 * 24 * time.Hour, Limit: 4, Probation: 10 * time.Minute, FailureWindow: 30 * time.Minute, Outage: 15 * time.Minute}

// TestWaves checks the planned actions against the scripts in testdata, which describe a fleet, one VM per line.
func TestWaves(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		in := waves.Input{Now: now, Policy: policy, SpareLimit: 9, SparePools: map[string]bool{"spare": true}}
		for _, a := range d.CmdArgs {
			readArgument(t, &in, a)
		}
		for _, line := range strings.Split(d.Input, "\n") {
			in.VMs = append(in.VMs, readVM(t, strings.Fields(line)))
		}
		if d.Cmd == "explain" {
			reason, _ := waves.Explain(in, in.VMs[0].Name)
			return reason.String() + "; " + reason.Change + "\n"
		}
		var out strings.Builder
		for _, a := range waves.Plan(in) {
			fmt.Fprintln(&out, describe(a))
		}
		return out.String()
	})
}

func readArgument(t *testing.T, in *waves.Input, a datadriven.CmdArg) {
	switch a.Key {
	case "need": // need=(pool,count)
		in.Pools = append(in.Pools, waves.Pool{Name: a.Vals[0], Need: parseInt(t, a.Vals[1])})
	case "probation": // probation=(minutes)
		in.Policy.Probation = time.Duration(parseInt(t, a.Vals[0])) * time.Minute
	case "budget": // budget=(pool,left in seconds)
		p := budget.Policy{Service: a.Vals[0] + "-service", Pool: a.Vals[0], AllowedMS: int64(parseInt(t, a.Vals[1])) * 1000}
		in.Budgets = append(in.Budgets, budget.Status{Policy: p})
	case "wave": // wave=(name,phase,returned,failed)
		w := fleet.Wave{Name: a.Vals[0], Urgent: a.Vals[0] == "urgent", Cutoff: now.Add(-14 * 24 * time.Hour), Started: now.Add(-time.Hour), FailuresSince: now.Add(-time.Hour)}
		for w.Phase = fleet.WaveRunning; w.Phase.String() != a.Vals[1]; w.Phase++ {
		}
		w.Returned, w.Failed = parseInt(t, a.Vals[2]), parseInt(t, a.Vals[3])
		in.Waves = append(in.Waves, w)
	}
}

// readVM reads: name pool dc/switch/rack phase days-since-maintenance [work] [minutes-since-failure] [cause...]. The phase
// began 5 minutes ago.
func readVM(t *testing.T, f []string) fleet.VM {
	p := strings.Split(f[2], "/")
	v := fleet.VM{Name: f[0], Pool: f[1], Domain: fleet.Domain{DataCentre: p[0], Switch: p[1], Rack: p[2]}, PhaseSince: now.Add(-5 * time.Minute)}
	for v.Phase = fleet.PhaseActive; v.Phase.String() != f[3]; v.Phase++ {
	}
	v.Maintained = now.Add(-time.Duration(parseInt(t, f[4])) * 24 * time.Hour)
	if len(f) > 5 {
		v.Work = strings.Trim(f[5], "-")
	}
	if len(f) > 6 && f[6] != "-" {
		v.Failed = now.Add(-time.Duration(parseInt(t, f[6])) * time.Minute)
	}
	if len(f) > 7 {
		v.Cause = strings.Join(f[7:], " ")
	}
	return v
}

func describe(a record.Action) string {
	switch c := a.Command; {
	case c.VM != nil:
		return fmt.Sprintf("%s %s: %s", c.VM.Step, c.VM.VM, a.Reason)
	case c.Wave != nil:
		return fmt.Sprintf("%s %s: %s", c.Wave.Step, c.Wave.Wave, a.Reason)
	default:
		return fmt.Sprintf("reserve %d ms of %s: %s", c.Budget.ReserveMS, c.Budget.Service, a.Reason)
	}
}

func parseInt(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
