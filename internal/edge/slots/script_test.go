package slots

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts sends reports and answers between the entries a and b and their home h in the order of testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		key := KeyOf("runner")
		members := Members{Version: 1, Names: []string{"h"}}
		var ledger *Ledger
		now := startTime
		holders, sent := map[string]*Holder{}, map[string]message{}
		incarnations := uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				var name, entry string
				var count int
				switch d.Cmd {
				case "home":
					incarnations++
					ledger = NewLedger(Options{Self: "h", Incarnation: incarnations, Peers: []string{"a", "b"}, GrantDuration: modelGrantDuration, MaxPerHolder: 8}, members, now)
					ledger.SetRunners([]Runner{{Key: key, Service: "s", Slots: 4, MaxRequestTime: modelMaxRequestTime}})
				case "entry":
					incarnations++
					holders[line] = NewHolder(line, incarnations, members)
					holders[line].Share(key)
				case "advance":
					if _, err := fmt.Sscan(line, &count); err != nil {
						d.Fatalf(t, "%v", err)
					}
					now = now.Add(time.Duration(count) * time.Millisecond)
				case "report":
					if _, err := fmt.Sscan(line, &name, &entry, &count); err != nil {
						d.Fatalf(t, "%q: %v", line, err)
					}
					sent[name] = message{from: entry, report: holders[entry].Report("h", []Demand{{Service: "s", Count: count}})}
				case "handle-report":
					msg := sent[line]
					answer, wake := ledger.HandleReport(msg.report, now)
					msg.answer = &answer
					sent[line] = msg
					fmt.Fprintf(&out, "%s resend %t grants %d wake %v\n", line, answer.NeedFull, answer.Grants, wake)
				case "handle-answer":
					msg := sent[line]
					holders[msg.from].HandleAnswer("h", msg.report.Number, now, *msg.answer)
				case "acquire":
					for holders[line].Share(key).TryAcquire(now) {
						count++
					}
					fmt.Fprintf(&out, "%s took %d\n", line, count)
				}
			}
			for _, name := range []string{"a", "b"} {
				if h, ok := holders[name]; ok {
					granted, inUse := h.Share(key).Counts()
					fmt.Fprintf(&out, "%s granted %d in use %d\n", name, granted, inUse)
				}
			}
			return strings.ReplaceAll(out.String(), fmt.Sprint(uint64(key))+" ", "runner ")
		})
	})
}
