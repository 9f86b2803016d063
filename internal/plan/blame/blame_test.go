package blame_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/plan/blame"
)

var now = time.Date(2026, time.January, 31, 0, 0, 0, 0, time.UTC)

// TestBlame checks the planned actions against the scripts in testdata, whose lines are "failed JOB VM...", "runs JOB VM"
// and "vm NAME [maintained]".
func TestBlame(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		in := blame.Input{Now: now, ShortageWithout: func(string) string { return "" }}
		in.Waves = []fleet.Wave{{Name: "wave", Phase: fleet.WaveRunning, Started: now.Add(-time.Hour)}}
		for _, line := range strings.Split(d.Input, "\n") {
			readLine(&in, strings.Fields(line))
		}
		if d.HasArg("shortage") {
			in.ShortageWithout = func(string) string { return "the pool needs it" }
		}
		var out strings.Builder
		for _, a := range blame.Plan(in) {
			switch c := a.Command; {
			case c.Job != nil:
				fmt.Fprintf(&out, "%s %s: %s\n", c.Job.Step, c.Job.Names[0], a.Reason)
			case c.VM != nil:
				fmt.Fprintf(&out, "%s %s: %s\n", c.VM.Step, c.VM.VM, a.Reason)
			case c.Wave != nil:
				fmt.Fprintf(&out, "%s %s: %s\n", c.Wave.Step, c.Wave.Wave, a.Reason)
			}
		}
		return out.String()
	})
}

func readLine(in *blame.Input, f []string) {
	switch f[0] {
	case "vm":
		v := fleet.VM{Name: f[1], Phase: fleet.PhaseActive, PhaseSince: now.Add(-30 * time.Minute), Maintained: now.Add(-2 * time.Hour)}
		if len(f) > 2 {
			v.Maintained = now.Add(-30 * time.Minute)
		}
		in.VMs = append(in.VMs, v)
	case "runs":
		in.Jobs = append(in.Jobs, fleet.Job{Name: f[1], VM: f[2], Phase: fleet.JobRunning})
	case "failed":
		in.Jobs = append(in.Jobs, fleet.Job{Name: f[1], Phase: fleet.JobWaiting})
		for _, vm := range f[2:] {
			in.Failures = append(in.Failures, fleet.JobFailure{Job: f[1], VM: vm, Time: now.Add(-time.Minute)})
		}
	}
}
