package eject

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"cowslipstack/internal/base/tests"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	tests.SetFlags(map[string]string{"rapid.seed": "5", "rapid.checks": "300", "rapid.nofailfile": "true"})
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

func newPool(size int) *Pool {
	return &Pool{Runners: map[string]*Runner{}, Size: size, Random: func(int64) int64 { return 0 }}
}

// TestScripts runs the scripts in testdata. Each line of an answers command gives one runner's answers: name, count,
// good or bad, milliseconds.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		p := newPool(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			ms := 0
			d.MaybeScanArgs(t, "ms", &ms)
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				var name, result string
				var count, took int
				switch d.Cmd {
				case "new":
					d.ScanArgs(t, "size", &count)
					p = newPool(count)
				case "answers":
					if _, err := fmt.Sscan(line, &name, &count, &result, &took); err != nil {
						d.Fatalf(t, "%q: %v", line, err)
					}
					for range count {
						// An ejected runner receives no request other than a probe in progress.
						if r := p.Runners[name]; !p.Usable(name, now) && !r.probeInProgress {
							continue
						}
						p.Start(name)
						if p.Finish(name, result == "good", time.Duration(took)*time.Millisecond, now) {
							fmt.Fprintf(&out, "%s out until %s\n", name, p.Runners[name].Until.Sub(epoch))
						}
					}
				case "usable":
					fmt.Fprintf(&out, "%s %t\n", line, p.Usable(line, now))
				case "start":
					p.Start(line)
				}
			}
			return out.String() + fmt.Sprintf("out %d\n", p.Ejected())
		})
	})
}

// TestCap checks that no more than a third of a service's runners are ejected, whatever they answer, and that an
// ejected runner has at most one probe at a time.
func TestCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "size")
		p, now, probes := newPool(size), epoch, map[string]int{}
		keys := map[string]bool{}
		for i := range size {
			keys[fmt.Sprint(i)] = true
		}
		t.Repeat(map[string]func(*rapid.T){
			"answers": func(t *rapid.T) {
				key, ok := fmt.Sprint(rapid.IntRange(0, size-1).Draw(t, "runner")), rapid.Bool().Draw(t, "ok")
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					if !p.Usable(key, now) {
						return
					}
					r, known := p.Runners[key]
					if known && r.ejected {
						if probes[key]++; probes[key] > 1 {
							t.Fatalf("two probes of an ejected runner")
						}
					}
					p.Start(key)
					if rapid.Bool().Draw(t, "open") {
						continue
					}
					p.Finish(key, ok, 10*time.Millisecond, now)
					probes[key] = 0
				}
			},
			"end": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, size-1).Draw(t, "runner"))
				p.Cancel(key)
				probes[key] = 0
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
			},
			"keep": func(*rapid.T) { p.Retain(keys) },
			"": func(t *rapid.T) {
				out := 0
				for _, r := range p.Runners {
					if r.ejected {
						out++
					}
				}
				if out > size/3 || out != p.Ejected() {
					t.Fatalf("%d of %d runners are ejected, Ejected returns %d", out, size, p.Ejected())
				}
			},
		})
	})
}
