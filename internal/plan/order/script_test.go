package order_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/plan/order"
)

// TestScripts orders the jobs under testdata, one a line, and shows their names in order.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var all []*order.Item
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				f := strings.Fields(line)
				i := &order.Item{ID: f[0], WorkMs: 1000, TotalMs: 1000, MeanMs: 1000, SlackMs: 5000}
				for _, pair := range f[1:] {
					key, value, _ := strings.Cut(pair, "=")
					n, _ := strconv.ParseInt(value, 10, 64)
					switch key {
					case "lasting":
						i.Lasting = true
					case "priority":
						i.Priority = int(n)
					case "left":
						i.WorkMs = n
					case "total":
						i.TotalMs = n
					case "slack":
						i.SlackMs = n
					default:
						t.Fatalf("unknown key %s", key)
					}
				}
				all = append(all, i)
			}
			order.Sort(all, func(i *order.Item) *order.Item { return i })
			var names []string
			for _, i := range all {
				names = append(names, i.ID)
			}
			return strings.Join(names, " ") + "\n"
		})
	})
}
