package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/record"
)

var claimSteps = map[string]record.ClaimStep{
	"open": record.ClaimOpen, "answered": record.ClaimAnswered, "not_run": record.ClaimNotRun, "unknown": record.ClaimUnknown,
}

// TestClaims runs the scripts of testdata/claims, which open and settle claims while time passes.
func TestClaims(t *testing.T) {
	datadriven.Walk(t, "testdata/claims", func(t *testing.T, path string) {
		m, now, index := state.NewMachine(), startTime, uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			index++
			if d.Cmd == "after" {
				now = now.Add(duration(t, d.CmdArgs[0].Key))
				return ""
			}
			c := record.ClaimChange{Step: claimSteps[d.Cmd], Key: "k", Entry: "one", Attempt: "a", Digest: "d"}
			var age string
			d.MaybeScanArgs(t, "key", &c.Key)
			d.MaybeScanArgs(t, "entry", &c.Entry)
			d.MaybeScanArgs(t, "attempt", &c.Attempt)
			d.MaybeScanArgs(t, "digest", &c.Digest)
			d.MaybeScanArgs(t, "issued", &age)
			c.Issued = startTime.Add(duration(t, age))
			r := m.Apply(index, record.Command{Time: now, Claim: &c})
			text := r.Code.String()
			if r.Entry != "" {
				text += " " + r.Entry + " " + r.Step.String()
			}
			return fmt.Sprintf("%s; %d kept\n", text, len(m.State().Claims.List))
		})
	})
}

// TestClaimsRandom opens and settles claims in random order, with duplicate and late commands, and restores the state
// in between as from a snapshot. It checks that no key goes to a second attempt unless the first one has released it.
func TestClaimsRandom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m, now := state.NewMachine(), startTime
		holder := map[string]string{}
		settled := map[string]bool{}
		for index := range uint64(rapid.IntRange(1, 120).Draw(r, "count")) {
			now = now.Add(time.Duration(rapid.IntRange(-30, 90).Draw(r, "seconds")) * time.Second)
			c := record.ClaimChange{
				Key: fmt.Sprint("k", rapid.IntRange(0, 2).Draw(r, "key")), Entry: "one", Digest: "d",
				Attempt: fmt.Sprint("a", rapid.IntRange(0, 3).Draw(r, "attempt")),
				Step:    record.ClaimStep(rapid.IntRange(1, 4).Draw(r, "step")), Issued: startTime.Add(30 * time.Second),
			}
			if rapid.IntRange(0, 9).Draw(r, "restore") == 0 {
				restored := state.NewMachine()
				restored.Restore(*m.State())
				m = restored
			}
			result := m.Apply(index+1, record.Command{Time: now, Claim: &c})
			if result.Code != record.CodeOK {
				continue
			}
			switch c.Step {
			case record.ClaimOpen:
				if held := holder[c.Key]; held != "" && held != c.Attempt || settled[c.Key] {
					r.Fatalf("%s was given to %s while %s held it (settled: %t)", c.Key, c.Attempt, held, settled[c.Key])
				}
				holder[c.Key] = c.Attempt
			case record.ClaimNotRun:
				if held := holder[c.Key]; held != "" && held != c.Attempt || settled[c.Key] {
					r.Fatalf("%s was released by %s while %s held it", c.Key, c.Attempt, held)
				}
				holder[c.Key] = ""
			default:
				settled[c.Key] = true
			}
		}
	})
}
