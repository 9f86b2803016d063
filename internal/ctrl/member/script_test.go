package member_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/quorum"
)

// process returns the process with a name of a letter and a digit; it has a replica if the digit is odd.
func process(name string) member.Process {
	n, _ := strconv.Atoi(name[1:])
	p := member.Process{Name: name, Address: "10.0.0." + name[1:] + ":7000", ControlAddress: "10.0.0." + name[1:] + ":8000"}
	if n%2 == 1 {
		p.Replica = quorum.ReplicaID(n)
	}
	return p
}

// TestScripts runs the scripts in testdata on several memberships that exchange hellos as the script says.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		all := map[string]*member.Membership{}
		now := int64(10_000)
		waits := map[string]func() bool{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var names []string
			for _, a := range d.CmdArgs {
				names = append(names, a.Key)
			}
			switch d.Cmd {
			case "start":
				// The first argument is the new process; the others are its seeds.
				all[names[0]] = member.New(process(names[0]), zap.NewNop())
				var seeds []string
				for _, s := range names[1:] {
					seeds = append(seeds, process(s).Address)
				}
				if len(seeds) > 0 {
					all[names[0]].BeginBootstrap(seeds, now)
				}
				return "ok\n"
			case "hello":
				// The first process sends a hello to each of the others and handles the answers.
				for _, to := range names[1:] {
					h := all[names[0]].MakeHello(now)
					all[to].HandleHello(&h, now)
					answer := all[to].MakeHello(now)
					all[names[0]].HandleHello(&answer, now)
				}
				return "ok\n"
			case "advance":
				ms, _ := strconv.ParseInt(names[0], 10, 64)
				now += ms
				return "ok\n"
			case "founders":
				var out []string
				for _, n := range names {
					for _, m := range all[n].Founders(now) {
						out = append(out, n+" forms "+m.Name)
					}
				}
				if len(out) == 0 {
					return "nobody\n"
				}
				return strings.Join(out, "\n") + "\n"
			case "claim":
				// claim RECEIVER SENDER LEADER TERM: a hello that names a leader and its term, true or not.
				term, err := strconv.ParseUint(names[3], 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				all[names[0]].HandleHello(&member.Hello{Self: process(names[1]), Leader: names[2], Term: term}, now)
				return "ok\n"
			case "lead":
				term, _ := strconv.ParseUint(names[1], 10, 64)
				all[names[0]].SetLeader(names[0], term)
				return "ok\n"
			case "learn":
				// learn PROCESS LEADER TERM: the process's own replica follows a leader.
				term, _ := strconv.ParseUint(names[2], 10, 64)
				all[names[0]].SetLeader(names[1], term)
				return "ok\n"
			case "lose-leader":
				all[names[0]].LoseLeader(all[names[0]].Route().Term)
				return "ok\n"
			case "route":
				r := all[names[0]].Route()
				return fmt.Sprintf("%q at %q in term %d\n", r.Leader, r.Address, r.Term)
			case "wait":
				// wait PROCESS: something waits for an answer of the leader that the process knows.
				waits[names[0]] = all[names[0]].OnSuperseded(all[names[0]].Route().Term, func() {})
				return "ok\n"
			case "end-wait":
				if waits[names[0]]() {
					return "still waited\n"
				}
				return "had ended for another leader\n"
			case "next-change":
				losses := 1
				if d.HasArg("losses") {
					d.ScanArgs(t, "losses", &losses)
				}
				return showChange(all[names[0]], d.Input, losses, now)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

// showChange returns the next change for members given one per line: name, identity, and any of voter, leader, heard and
// caught-up.
func showChange(m *member.Membership, input string, losses int, now int64) string {
	var all []quorum.MemberStatus
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		f := strings.Fields(line)
		id, _ := strconv.ParseUint(f[1], 10, 64)
		s := quorum.MemberStatus{Member: quorum.Member{Name: f[0], ID: quorum.ReplicaID(id)}}
		for _, w := range f[2:] {
			s.Member.Voter = s.Member.Voter || w == "voter"
			s.Leader = s.Leader || w == "leader"
			s.Heard = s.Heard || w == "heard"
			s.CaughtUp = s.CaughtUp || w == "caught-up"
		}
		all = append(all, s)
	}
	c, ok := m.NextChange(all, losses, now)
	if !ok {
		return "nothing\n"
	}
	return fmt.Sprintf("%s %s %d\n", c.Kind, c.Member.Name, c.Member.ID)
}
