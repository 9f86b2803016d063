package place_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/plan/place"
)

var now = time.Date(2026, time.January, 31, 0, 0, 0, 0, time.UTC)

// TestPlace checks the planned actions against the scripts in testdata, which list VMs, teams and jobs, one per line.
func TestPlace(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		in := place.Input{Now: now, Lease: time.Minute, Reserved: map[string]bool{}}
		for _, line := range strings.Split(d.Input, "\n") {
			readLine(t, &in, line)
		}
		if d.Cmd == "explain" {
			reason, _ := place.Explain(in, d.CmdArgs[0].Key)
			return reason.String() + "\n"
		}
		var out strings.Builder
		for _, a := range place.Plan(in) {
			fmt.Fprintf(&out, "%s %s %s: %s\n", a.Command.Job.Step, a.Command.Job.Names[0], a.Command.Job.VM, a.Reason.Rule)
		}
		return out.String()
	})
}

// readLine adds one line to the input: vm NAME RACK CORES GB ACCELERATORS [PHASE], team NAME CORES ACCELERATORS,
// job NAME TEAM CORES GB ACCELERATORS [on VM] [used CORES] [flags], or failed JOB VM.
func readLine(t *testing.T, in *place.Input, line string) {
	var name, rackOrTeam string
	var s fleet.Size
	f := strings.Fields(line)
	switch f[0] {
	case "vm":
		scan(t, line, "vm %s %s %d %d %d", &name, &rackOrTeam, &s.Cores, &s.MemoryMB, &s.Accelerators)
		v := fleet.VM{Name: name, Pool: "p", Phase: fleet.PhaseActive, Size: s, Domain: fleet.Domain{Rack: rackOrTeam}}
		if strings.HasSuffix(line, "draining") {
			v.Phase = fleet.PhaseDraining
		}
		in.VMs = append(in.VMs, v)
	case "team":
		scan(t, line, "team %s %d %d", &name, &s.Cores, &s.Accelerators)
		in.Teams = append(in.Teams, fleet.Team{Name: name, Quota: s})
	case "failed":
		in.Failures = append(in.Failures, fleet.JobFailure{Job: f[1], VM: f[2], Time: now})
	case "job":
		scan(t, line, "job %s %s %d %d %d", &name, &rackOrTeam, &s.Cores, &s.MemoryMB, &s.Accelerators)
		j := fleet.Job{
			Name: name, Team: rackOrTeam, Pool: "p", Declared: s, Phase: fleet.JobWaiting, Submitted: now.Add(time.Duration(len(in.Jobs)) * time.Second),
			Urgent: strings.Contains(line, "urgent"), Checkpoint: strings.Contains(line, "checkpoint"),
		}
		if _, rest, ok := strings.Cut(line, " on "); ok {
			j.Phase, j.VM = fleet.JobRunning, strings.Fields(rest)[0]
		}
		if _, rest, ok := strings.Cut(line, " used "); ok {
			j.Used = fleet.Size{MemoryMB: s.MemoryMB}
			scan(t, rest, "%d", &j.Used.Cores)
		}
		if strings.Contains(line, "throttled") {
			j.Phase = fleet.JobThrottled
		}
		in.Jobs = append(in.Jobs, j)
	}
}

func scan(t *testing.T, line, format string, targets ...any) {
	if _, err := fmt.Sscanf(line, format, targets...); err != nil {
		t.Fatal(line, err)
	}
}
