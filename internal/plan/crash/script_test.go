package crash_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/plan/crash"
)

// TestScripts judges the crashes under testdata; each line is a start: how many workers have crashed under it before, and
// "lasts" for a task that lasts, or "gang" for a gang.
func TestScripts(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "alone" {
			return judgeAlone(t, d)
		}
		if d.Cmd == "together" {
			var crashed, workers int
			d.ScanArgs(t, "crashed", &crashed)
			d.ScanArgs(t, "workers", &workers)
			return fmt.Sprintf("common cause: %t\n", crash.HaveCommonCause(crashed, workers))
		}
		if d.Cmd == "spared" {
			var before int
			d.ScanArgs(t, "before", &before)
			return fmt.Sprintf("start: %t, later: %t\n", crash.IsSpared(before, true), crash.IsSpared(before, false))
		}
		if d.Cmd == "held" {
			var workers int
			d.ScanArgs(t, "workers", &workers)
			return fmt.Sprintf("%d, %d if others wait\n", crash.MaxHeld(workers, false), crash.MaxHeld(workers, true))
		}
		var in crash.Input
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			count, kind, _ := strings.Cut(line, " ")
			crashes, err := strconv.Atoi(count)
			if err != nil {
				t.Fatalf("%s: %v", d.Pos, err)
			}
			in.Starts = append(in.Starts, crash.Start{Crashes: crashes, LongRunning: kind == "lasts", Gang: kind == "gang"})
		}
		if d.HasArg("unexplained") {
			d.ScanArgs(t, "unexplained", &in.UnexplainedCrashes)
		}
		in.Together = d.HasArg("with_others")
		var out strings.Builder
		for _, givenUp := range crash.GiveUp(in) {
			fmt.Fprintln(&out, map[bool]string{true: "given up", false: "suspect"}[givenUp])
		}
		return out.String()
	})
}

// judgeAlone judges a task that ran or would run alone: how many workers have crashed under it before.
func judgeAlone(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	in := crash.Alone{LongRunning: d.HasArg("lasts"), RackSilent: d.HasArg("rack_silent"), OthersRecent: d.HasArg("others_recent"), Together: d.HasArg("with_others")}
	d.ScanArgs(t, "crashes", &in.Crashes)
	if d.HasArg("unexplained") {
		d.ScanArgs(t, "unexplained", &in.UnexplainedCrashes)
	}
	return fmt.Sprintf("runs alone: %t; given up: %t\n", crash.RunsAlone(in.Crashes), crash.GiveUpAlone(in))
}
