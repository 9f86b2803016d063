package order_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/plan/order"
)

// TestScripts sorts the jobs under testdata, one per line, and prints their names in order. With a number of cores,
// such as "sort cores=16", it marks the jobs that can't be in time beside the others.
func TestScripts(t *testing.T) {
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		var all []*order.Item
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fields := strings.Fields(line)
			i := &order.Item{ID: fields[0], RemainingWorkMs: 1000, TotalWorkMs: 1000, QueueMeanMs: 1000, SlackMs: 5000}
			for _, pair := range fields[1:] {
				key, value, _ := strings.Cut(pair, "=")
				n, _ := strconv.ParseInt(value, 10, 64)
				switch key {
				case "scarce":
					i.Scarce = true
				case "rank":
					i.Rank = float64(n)
				case "long_running":
					i.LongRunning = true
				case "priority":
					i.Priority = int(n)
				case "remaining":
					i.RemainingWorkMs = n
				case "total":
					i.TotalWorkMs = n
				case "slack":
					i.SlackMs = n
				default:
					t.Fatalf("unknown key %s", key)
				}
			}
			all = append(all, i)
		}
		var left []*order.Item
		if d.HasArg("cores") {
			var cores int
			d.ScanArgs(t, "cores", &cores)
			_, left = order.Select(slices.Clone(all), float64(cores), func(i *order.Item) int64 { return i.SlackMs })
		}
		order.Sort(all, func(i *order.Item) *order.Item { return i })
		var names []string
		for _, i := range all {
			name := i.ID
			if slices.Contains(left, i) {
				name += "(left)"
			}
			names = append(names, name)
		}
		return strings.Join(names, " ") + "\n"
	})
}
