package budget_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/budget"
)

var results = map[budget.Result]string{
	budget.Reserved: "reserved", budget.Exhausted: "exhausted", budget.TooLarge: "too large", budget.Dropped: "dropped",
}

// TestScripts runs the scripts in testdata. They guard against a partition that exceeds its size, a class that takes
// another's bytes, and a body that is dropped although it makes progress. Times are in milliseconds.
func TestScripts(t *testing.T) {
	classes := map[string]budget.Class{}
	for _, c := range budget.Classes() {
		classes[c.String()] = c
	}
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		limits := map[budget.Class]budget.Limits{}
		var b *budget.Budget
		bodies := map[string]*budget.Body{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var class, name, client string
			var n, at int
			d.MaybeScanArgs(t, "class", &class)
			d.MaybeScanArgs(t, "body", &name)
			d.MaybeScanArgs(t, "client", &client)
			d.MaybeScanArgs(t, "bytes", &n)
			d.MaybeScanArgs(t, "at", &at)
			now := time.UnixMilli(int64(at))
			var out strings.Builder
			switch d.Cmd {
			case "limits":
				var l budget.Limits
				var stall int
				l.Bytes = int64(n)
				d.ScanArgs(t, "client-bytes", &l.ClientBytes)
				d.ScanArgs(t, "small", &l.SmallBytes)
				d.ScanArgs(t, "stall", &stall)
				l.MinStall = time.Duration(stall) * time.Millisecond
				limits[classes[class]] = l
				b = budget.New(limits)
			case "derive":
				return derive(t, d)
			case "share":
				var wanted []int
				d.ScanArgs(t, "wanted", &wanted)
				return fmt.Sprintln(budget.ShareConnections(wanted, n))
			case "open":
				bodies[name] = b.Open(classes[class], client, now, func() { fmt.Fprintf(&out, "drops %s\n", name) })
			case "reserve":
				before := map[budget.Class]int64{}
				for _, c := range budget.Classes() {
					_, before[c] = b.Used(c)
				}
				fmt.Fprintln(&out, results[bodies[name].Reserve(int64(n), now)])
				for _, c := range budget.Classes() {
					if _, dropped := b.Used(c); dropped > before[c] {
						fmt.Fprintf(&out, "dropped %d of %s\n", dropped-before[c], c)
					}
				}
			case "progress":
				bodies[name].Progress(now)
			case "complete":
				bodies[name].Complete()
			case "close":
				bodies[name].Close()
			default:
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			}
			for _, c := range budget.Classes() {
				if used, _ := b.Used(c); used > 0 {
					fmt.Fprintf(&out, "%s %d\n", c, used)
				}
			}
			return out.String()
		})
	})
}

// derive returns the limits of a process with a memory in MB, for which a body of each class needs largest MB.
func derive(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var memory, largest int64
	d.ScanArgs(t, "memory", &memory)
	d.ScanArgs(t, "largest", &largest)
	p := budget.Plan{MemoryBytes: memory << 20, Percent: 40, Share: map[budget.Class]int64{}, Largest: map[budget.Class]int64{}, ClientPercent: map[budget.Class]int64{}}
	for _, c := range budget.Classes() {
		p.Share[c], p.Largest[c], p.ClientPercent[c] = 25, largest<<20, 50
	}
	limits := budget.Derive(p)
	out := ""
	for _, c := range budget.Classes() {
		out += fmt.Sprintf("%s %d KB, %d KB for a client\n", c, limits[c].Bytes>>10, limits[c].ClientBytes>>10)
	}
	return out
}
