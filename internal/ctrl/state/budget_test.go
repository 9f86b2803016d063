package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/budget"
)

var startTime = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// TestBudget runs the scripts of testdata/budget: each command lets time pass, counts or reserves bad time, and prints
// the status of the budget.
func TestBudget(t *testing.T) {
	datadriven.Walk(t, "testdata/budget", func(t *testing.T, path string) {
		m, now, index := state.NewMachine(), startTime, uint64(0)
		policy := budget.PolicyFor(docs.Service{Name: "booking", Pool: "depot", Availability: 0.999, WindowDays: 28})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			index++
			c := record.BudgetChange{Service: "booking", From: now, Until: now, WindowDays: 28}
			var after, bad, reserve, reserveDuration string
			d.MaybeScanArgs(t, "after", &after)
			d.MaybeScanArgs(t, "bad", &bad)
			d.MaybeScanArgs(t, "work", &c.Work)
			d.MaybeScanArgs(t, "reserve", &reserve)
			d.MaybeScanArgs(t, "duration", &reserveDuration)
			now = now.Add(duration(t, after))
			c.BadMS, c.ReserveMS = duration(t, bad).Milliseconds(), duration(t, reserve).Milliseconds()
			c.ReserveUntil = now.Add(duration(t, reserveDuration))
			if d.Cmd != "reserve" {
				c.Until = now
			}
			if d.Cmd == "count_again" {
				c.From, c.Until = now.Add(-time.Minute), now
			}
			result := m.Apply(index, record.Command{RequestID: fmt.Sprint(index), Time: now, Budget: &c})
			l := m.State().Ledgers["booking"]
			s := budget.StatusAt(policy, l, now)
			return fmt.Sprintf("%s: allowed %d s, seen %d s, reserved %d s, left %d s, broken %t, %d days\n", result.Code,
				s.Policy.AllowedMS/1000, s.SeenMS/1000, s.ReservedMS/1000, s.LeftMS()/1000, s.Exceeded(), len(l.Days))
		})
	})
}

func duration(t *testing.T, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestLedgerRandom counts random amounts of bad time over periods that may overlap, and compares the ledger with a map
// of what was accepted.
func TestLedgerRandom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m, now, from := state.NewMachine(), startTime, startTime
		policy := budget.Policy{WindowDays: rapid.IntRange(1, 9).Draw(r, "window"), AllowedMS: 1000}
		byDay := map[int64]int64{}
		for index := range uint64(rapid.IntRange(1, 80).Draw(r, "count")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(r, "hours")) * time.Hour)
			c := record.BudgetChange{Service: "s", From: from, Until: now, WindowDays: policy.WindowDays}
			c.BadMS = int64(rapid.IntRange(0, 5000).Draw(r, "bad")) * now.Sub(from).Milliseconds() / 5000
			from = now.Add(-time.Duration(rapid.IntRange(0, 1).Draw(r, "overlap")) * time.Hour)
			result := m.Apply(index+1, record.Command{Time: now, Budget: &c})
			if result.Code == record.CodeOK {
				byDay[now.Unix()/86400] += c.BadMS
				from = now
			}
			var want int64
			for day, bad := range byDay {
				if day >= now.Unix()/86400-int64(policy.WindowDays) {
					want += bad
				}
			}
			l := m.State().Ledgers["s"]
			if got := budget.StatusAt(policy, l, now).SeenMS; got != want || len(l.Days) > policy.WindowDays+1 {
				r.Fatalf("seen %d ms, want %d; %d days", got, want, len(l.Days))
			}
		}
	})
}
