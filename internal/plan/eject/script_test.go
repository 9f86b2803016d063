package eject_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/plan/eject"
)

// TestScripts judges workers of the pools under testdata: "judge" one of a pool as given, "judge-all" each of a pool, one after
// the other.
func TestScripts(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		var pool eject.Pool
		d.ScanArgs(t, "heard", &pool.Heard)
		pool.OneJob = !d.HasArg("several_jobs")
		switch d.Cmd {
		case "judge":
			d.ScanArgs(t, "quarantined", &pool.Quarantined)
			return fmt.Sprintln(eject.Judge(pool))
		case "judge-all":
			return judgeAll(pool)
		default:
			t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			return ""
		}
	})
}

// judgeAll counts the outcomes for all workers of a pool.
func judgeAll(pool eject.Pool) string {
	counts := map[eject.Outcome]int{}
	for range pool.Heard {
		outcome := eject.Judge(pool)
		counts[outcome]++
		if outcome == eject.Quarantine {
			pool.Quarantined++
		}
	}
	return fmt.Sprintf("%d %s, %d %s\n", counts[eject.Quarantine], eject.Quarantine, counts[eject.Probation], eject.Probation)
}
