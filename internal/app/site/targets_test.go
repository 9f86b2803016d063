package site

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/member"
)

// TestSeedsAreAskedUntilLeaderCanBeReached lets a process hear hellos as testdata/targets says, and prints whom it greets next and whether it
// is ready.
func TestSeedsAreAskedUntilLeaderCanBeReached(t *testing.T) {
	l := loop.New(loop.DefaultCapacity)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	m := member.New(member.Process{Name: "e1", Address: "e1:7000"}, zap.NewNop())
	g := &gossiper{peers: &peerHandler{loop: l, membership: m, uptime: clock.SystemUptime{}}}
	seeds := []string{"s1:7000", "s2:7000"}
	g.seeds.Store(&seeds)
	d := &drainer{membership: m}
	datadriven.RunTest(t, "testdata/targets", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "hello":
			var from, leader string
			var term uint64
			data.ScanArgs(t, "from", &from)
			data.ScanArgs(t, "leader", &leader)
			data.ScanArgs(t, "term", &term)
			hello := &member.Hello{Self: member.Process{Name: from, Address: from + ":7000"}, Leader: leader, Term: term}
			for _, name := range strings.Fields(data.Input) {
				hello.Known = append(hello.Known, member.Process{Name: name, Address: name + ":7000", Replica: 1})
			}
			if err := l.Call(ctx, func() { m.HandleHello(hello, clock.SystemUptime{}.Milliseconds()) }); err != nil {
				t.Fatal(err)
			}
		case "targets":
		default:
			t.Fatalf("%s: unknown command %s", data.Pos, data.Cmd)
		}
		all, known, err := g.targets(ctx)
		if err != nil {
			t.Fatal(err)
		}
		slices.Sort(all)
		return fmt.Sprintf("greets %s; leader known: %t; ready: %t\n", strings.Join(all, " "), known, d.ready())
	})
}
