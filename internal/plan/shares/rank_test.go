package shares_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/plan/order"
	"cowslipstack/internal/plan/shares"
)

// rank prints the order in which jobs get room: a group of equal jobs a line, as "account count work". The mean work of a job is
// 100.
func rank(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var room float64
	d.ScanArgs(t, "room", &room)
	weights, running := shares.Weights{}, map[string]float64{}
	var jobs []shares.Job
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(line)
		n, err := strconv.ParseInt(f[2], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		switch f[0] {
		case "weight":
			weights[f[1]] = float64(n)
		case "running":
			running[f[1]] = float64(n)
		default:
			count, err := strconv.Atoi(f[1])
			if err != nil {
				t.Fatal(err)
			}
			for i := range count {
				item := &order.Item{ID: fmt.Sprintf("%s%d-%d", f[0], n, i), TotalWorkMs: n, RemainingWorkMs: n, QueueMeanMs: 100, SlackMs: 5000}
				jobs = append(jobs, shares.Job{Item: item, Account: f[0], WorkMs: float64(n)})
			}
		}
	}
	next := shares.Rank(jobs, running, weights, room)
	items := make([]*order.Item, len(jobs))
	for i := range jobs {
		items[i] = jobs[i].Item
	}
	order.Sort(items, func(i *order.Item) *order.Item { return i })
	var ids []string
	for _, i := range items {
		ids = append(ids, i.ID)
	}
	return strings.Join(ids, " ") + "\nnext " + describeNext(next) + "\n"
}

func describeNext(next map[string]float64) string {
	var all []string
	for account, rank := range next {
		all = append(all, fmt.Sprintf("%s %g", account, rank))
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}
