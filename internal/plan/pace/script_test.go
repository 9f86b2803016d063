package pace_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/plan/pace"
)

// TestScripts feeds Next the tail latencies in testdata one after the other, and prints the share after each.
func TestScripts(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		share := pace.FullPercent
		var out []string
		for _, word := range strings.Fields(d.Input) {
			var worst int
			if _, err := fmt.Sscan(word, &worst); err != nil {
				t.Fatal(err)
			}
			share = pace.Next(share, worst)
			out = append(out, fmt.Sprint(share))
		}
		return strings.Join(out, " ") + "\n"
	})
}
