package shares_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/plan/shares"
)

// TestScripts divides capacities as testdata says, a claimant a line with its weight and demand, and ranks jobs.
func TestScripts(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "rank" {
			return rank(t, d)
		}
		var capacity float64
		var claims []shares.Claim
		d.ScanArgs(t, "capacity", &capacity)
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fields := strings.Fields(line)
			weight, err := strconv.ParseFloat(fields[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			demand, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				t.Fatal(err)
			}
			claims = append(claims, shares.Claim{Weight: weight, Demand: demand})
		}
		var all []string
		for _, share := range shares.Divide(claims, capacity) {
			all = append(all, fmt.Sprintf("%g", share))
		}
		return strings.Join(all, " ") + "\n"
	})
}
