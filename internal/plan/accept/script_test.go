package accept_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/plan/accept"
	"cowslipstack/internal/plan/shares"
)

// TestScripts judges the jobs in testdata, one a line, against the rooms before them.
func TestScripts(t *testing.T) {
	var book *accept.Book
	tests.RunScripts(t, func(t *testing.T, d *datadriven.TestData) string {
		var out []string
		room := accept.Room{Pools: map[string]accept.Rate{}, Limits: map[string]float64{}, Weights: shares.Weights{}}
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fields := strings.Fields(line)
			n := numbers(t, fields[2:])
			switch fields[0] {
			case "fleet":
				room.Fleet = rate(n)
			case "pool":
				room.Pools[fields[1]] = rate(n)
			case "account":
				room.Weights[fields[1]] = n["weight"]
				if cores, limited := n["limit"]; limited {
					room.Limits[fields[1]] = cores
				}
			case "job":
				c := &accept.Candidate{Work: accept.Work{ID: fields[1], Account: account(n), Pool: "p", Ms: n["work"], DueMs: int64(n["due"])}}
				c.SlackMs, c.Spread = int64(n["due"]+n["late"]), 500
				c.AloneMs = c.SlackMs + int64(n["age"])
				v := book.Judge(c)
				text := fmt.Sprintf("%s: accepted %t, %s", c.ID, v.Accepted, v.Reason)
				if !v.Accepted {
					text += fmt.Sprintf(", lacks %.0f, come back after %d", v.LackMs, v.RetryAfterMs)
				}
				out = append(out, text)
			default:
				t.Fatalf("%s: unknown line %q", d.Pos, line)
			}
		}
		if d.Cmd == "room" {
			book = accept.NewBook(room, nil)
			return "ok\n"
		}
		return strings.Join(out, "\n") + "\n"
	})
}

func rate(n map[string]float64) accept.Rate {
	return accept.Rate{Now: n["now"], Soon: n["soon"], LagMs: 2000}
}

// account returns the account a<n> that a job's line names.
func account(n map[string]float64) string {
	return "a" + strconv.Itoa(int(n["account"]))
}

func numbers(t *testing.T, fields []string) map[string]float64 {
	t.Helper()
	all := map[string]float64{}
	for _, pair := range fields {
		key, value, _ := strings.Cut(pair, "=")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			t.Fatal(err)
		}
		all[key] = n
	}
	return all
}
