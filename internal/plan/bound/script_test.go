package bound_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/plan/bound"
)

// TestScripts runs "serve slot=100", which prints what the bound serves of each job, and "compare slot=100", which prints
// the report. The lines are the capacities, such as "cores=4 from=1000", and the jobs, such as "a at=0 slo=100 work=300".
// The expected results are worked out by hand.
func TestScripts(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		slot := int64(100)
		d.MaybeScanArgs(t, "slot", &slot)
		jobs, capacity := parseDay(t, d.Input)
		served := bound.Serve(jobs, capacity, slot)
		var out strings.Builder
		if d.Cmd == "compare" {
			r := bound.Compare(jobs, served)
			for _, row := range append(append([]bound.Row{r.Total}, r.Queues...), r.Accounts...) {
				fmt.Fprintf(&out, "%q asked=%v bound=%v done=%v late=%v never=%v refused=%v refused_in_bound=%v share=%.3f\n", row.Name,
					row.Asked, row.Bound, row.Done, row.Late, row.Never, row.Refused, row.RefusedInBound, row.Share)
			}
			return out.String()
		}
		for i, part := range served {
			fmt.Fprintf(&out, "%s %.3f\n", jobs[i].ID, part)
		}
		return out.String()
	})
}

func parseDay(t *testing.T, text string) (jobs []bound.Job, capacity []bound.Capacity) {
	t.Helper()
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fields := strings.Fields(line)
		j := bound.Job{ID: fields[0], SLOMs: 100, WorkMs: 100, Value: 1, Outcome: bound.Refused}
		var c bound.Capacity
		for _, pair := range fields {
			key, value, found := strings.Cut(pair, "=")
			if !found {
				continue
			}
			switch key {
			case "queue":
				j.Queue = value
				continue
			case "account":
				j.Account = value
				continue
			case "got":
				j.Outcome = parseOutcome(t, value)
				continue
			}
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			switch key {
			case "cores":
				c.Cores = n
			case "from":
				c.FromMs = int64(n)
			case "at":
				j.SubmittedMs = int64(n)
			case "slo":
				j.SLOMs = int64(n)
			case "chain":
				j.ChainMs = int64(n)
			case "work":
				j.WorkMs = int64(n)
			case "value":
				j.Value = n
			default:
				t.Fatalf("%s: unknown key %s", line, key)
			}
		}
		if strings.HasPrefix(line, "cores=") {
			capacity = append(capacity, c)
		} else {
			jobs = append(jobs, j)
		}
	}
	return jobs, capacity
}

func parseOutcome(t *testing.T, name string) bound.Outcome {
	t.Helper()
	for o := bound.InTime; o <= bound.Refused; o++ {
		if o.String() == name {
			return o
		}
	}
	t.Fatalf("no outcome is called %s", name)
	return 0
}
