package queue

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"cowslipstack/internal/base/tests"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	tests.SetFlags(map[string]string{"rapid.seed": "7", "rapid.checks": "300", "rapid.nofailfile": "true"})
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

// TestScripts runs the push, pop and remove commands of testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		q, names, waiting := New(0), map[*Item]string{}, map[string]*Item{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now, slots, service, count := 0, 1, 10, 1
			d.MaybeScanArgs(t, "now", &now)
			d.MaybeScanArgs(t, "slots", &slots)
			d.MaybeScanArgs(t, "service", &service)
			d.MaybeScanArgs(t, "count", &count)
			at, serviceTime := epoch.Add(time.Duration(now)*time.Millisecond), time.Duration(service)*time.Millisecond
			var out strings.Builder
			switch d.Cmd {
			case "new":
				q = New(count)
			case "push":
				for _, line := range strings.Split(d.Input, "\n") {
					var name, class, team string
					var weight, deadline int
					if _, err := fmt.Sscan(line, &name, &class, &team, &weight, &deadline); err != nil {
						d.Fatalf(t, "%q: %v", line, err)
					}
					c, _ := ParseClass(class)
					item := &Item{Class: c, Team: team, Weight: weight, Arrived: at, Deadline: epoch.Add(time.Duration(deadline) * time.Millisecond)}
					names[item], waiting[name] = name, item
					verdict, displaced := q.Push(item, at, Capacity{Slots: slots, ServiceTime: serviceTime, TailLatency: serviceTime})
					if verdict != 0 {
						fmt.Fprintf(&out, "%s %s\n", name, verdict)
					}
					if displaced != nil {
						fmt.Fprintf(&out, "%s displaced by %s\n", names[displaced], name)
					}
				}
			case "pop":
				for range count {
					next, late := q.Pop(at, serviceTime)
					for _, item := range late {
						fmt.Fprintf(&out, "%s late\n", names[item])
					}
					if next != nil {
						fmt.Fprintf(&out, "%s\n", names[next])
					}
				}
			case "remove":
				q.Remove(waiting[d.Input])
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return out.String() + fmt.Sprintf("waiting %d\n", q.Len())
		})
	})
}

// TestModel compares the queue with a plain set under random pushes, pops and removals.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 40).Draw(t, "limit")
		q, waiting, now := New(limit), map[*Item]bool{}, epoch
		capacity := Capacity{Slots: rapid.IntRange(0, 8).Draw(t, "slots"), ServiceTime: 10 * time.Millisecond, TailLatency: 10 * time.Millisecond}
		remove := func(item *Item, how string) {
			if !waiting[item] {
				t.Fatalf("%s came out twice or never went in", how)
			}
			delete(waiting, item)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				item := &Item{
					Class: Class(rapid.IntRange(1, 3).Draw(t, "class")), Team: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "team"),
					Weight: rapid.IntRange(0, 5).Draw(t, "weight"), Arrived: now,
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * time.Millisecond),
				}
				verdict, displaced := q.Push(item, now, capacity)
				if displaced != nil {
					remove(displaced, "displaced")
					if displaced.Class < item.Class {
						t.Fatalf("%s displaced by %s", displaced.Class, item.Class)
					}
				}
				if verdict == 0 {
					waiting[item] = true
				}
			},
			"pop": func(t *rapid.T) {
				next, late := q.Pop(now, capacity.ServiceTime)
				for _, item := range late {
					remove(item, "late")
				}
				if next == nil {
					return
				}
				remove(next, "popped")
				if !now.Before(next.Deadline) {
					t.Fatalf("admitted %s after its deadline", now.Sub(next.Deadline))
				}
				for other := range waiting {
					if other.Class == next.Class && other.Team == next.Team && other.Deadline.Before(next.Deadline) {
						t.Fatalf("an earlier deadline of the same class and team still waits")
					}
				}
			},
			"remove": func(*rapid.T) {
				var first *Item
				for item := range waiting {
					if first == nil || item.sequence < first.sequence {
						first = item
					}
				}
				if first != nil {
					q.Remove(first)
					remove(first, "removed")
				}
			},
			"advance": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.Len() > limit {
					t.Fatalf("the queue holds %d, the model %d, the limit is %d", q.Len(), len(waiting), limit)
				}
			},
		})
	})
}

// TestFairness checks the bound of start-time fair queueing: the counts served to teams that always wait, divided
// by weight, differ by less than one request of each team, and no class falls short of its share by more than one round.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 20), 2, 6).Draw(t, "weights")
		pops := rapid.IntRange(1, 120).Draw(t, "pops")
		q := New(1 << 20)
		servedByTeam, servedByClass := make([]int64, len(weights)), map[Class]int64{}
		for range pops + 1 {
			for i, w := range weights {
				for c := ClassUrgent; c <= ClassBatch; c++ {
					q.Push(&Item{Class: c, Team: fmt.Sprint(i), Weight: w, Deadline: epoch.Add(time.Hour)}, epoch, Capacity{Slots: 1})
				}
			}
		}
		for range pops {
			next, _ := q.Pop(epoch, 0)
			servedByClass[next.Class]++
			if next.Class == ClassUrgent {
				team, err := strconv.Atoi(next.Team)
				if err != nil {
					t.Fatal(err)
				}
				servedByTeam[team]++
			}
		}
		for i := range weights {
			for j := range weights {
				a, b := int64(weights[i]), int64(weights[j])
				if servedByTeam[i]*b-servedByTeam[j]*a > a+b {
					t.Fatalf("weights %v were served %v", weights, servedByTeam)
				}
			}
		}
		for i, w := range classWeights {
			if least := (int64(pops)*w)/21 - 2; servedByClass[Class(i+1)] < least {
				t.Fatalf("class %s got %d of %d, its share is %d", Class(i+1), servedByClass[Class(i+1)], pops, least)
			}
		}
	})
}
