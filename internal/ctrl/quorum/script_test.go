package quorum

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// script runs the commands of a testdata file on a group.
type script struct{ *group }

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.run(t, d)
			if s.violation != "" {
				d.Fatalf(t, "%s", s.violation)
			}
			return out
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	names := make([]string, 0, len(d.CmdArgs))
	for _, a := range d.CmdArgs {
		names = append(names, a.Key)
	}
	switch d.Cmd {
	case "group":
		s.group = newGroup(names...)
	case "ticks":
		var count int
		d.ScanArgs(t, "count", &count)
		for range count {
			s.tickOnce()
		}
	case "first-election-ticks":
		d.ScanArgs(t, "ticks", &s.firstElectionTicks)
		return "ok"
	case "work":
		var ticks int
		d.ScanArgs(t, "ticks", &ticks)
		return s.runWork(ticks)
	case "full-in-turn":
		var rounds, ticks int
		d.ScanArgs(t, "rounds", &rounds)
		d.ScanArgs(t, "ticks", &ticks)
		return s.fillInTurn(rounds, ticks, slices.Contains(names, "transfer"))
	case "backlog":
		return s.backlog()
	case "until-leader":
		return s.untilLeader(names[0])
	case "block":
		// Blocks messages from the first host to the second only.
		s.blocked[[2]ReplicaID{s.hostByName(names[0]).id, s.hostByName(names[1]).id}] = true
	case "isolate":
		for _, h := range s.hosts {
			s.blocked[[2]ReplicaID{s.hostByName(names[0]).id, h.id}] = true
			s.blocked[[2]ReplicaID{h.id, s.hostByName(names[0]).id}] = true
		}
	case "heal":
		clear(s.blocked)
	case "status":
	default:
		return s.runOnHost(d.Cmd, s.hostByName(names[0]), names[1:])
	}
	return s.status()
}

// runOnHost runs a command on one host and returns its output.
func (s *script) runOnHost(command string, h *host, rest []string) string {
	var err error
	switch command {
	case "elect":
		h.replica.preCampaign()
		s.handle(h)
		s.settle()
		return s.status()
	case "log":
		s.logTerms(h, rest)
	case "campaign":
		h.replica.campaign(slices.Contains(rest, "transfer"))
		s.handle(h)
		s.sync(h, len(h.unsynced))
	case "forge":
		// Another writer's message, in the name of the second host, with a term of its own.
		term, _ := strconv.ParseUint(rest[1], 10, 64)
		h.replica.Step(Message{Kind: MessageAppend, From: s.hostByName(rest[0]).id, To: h.id, Term: term})
		s.handle(h)
		return s.status()
	case "deliver":
		s.deliverBetween(h, s.hostByName(rest[0]))
		return s.status()
	case "sync":
		s.sync(h, 1)
		return fmt.Sprintf("synced up to %d", h.replica.synced)
	case "crash":
		s.crash(h, 0)
	case "start":
		s.start(h)
	case "full":
		h.full = true
	case "room":
		h.full = false
	case "freeze":
		h.frozen = true
	case "thaw":
		h.frozen = false
	case "lose-disk":
		s.lastID++
		h.id, h.disk = s.lastID, testDisk{}
		s.start(h)
	case "compact":
		s.compact(h)
	case "compact-to":
		// Keeps so many bytes of entries at most.
		if h.replica.options.KeptBytes, err = strconv.Atoi(rest[0]); err != nil {
			return err.Error()
		}
		h.replica.Compact(h.replica.applied, binary.LittleEndian.AppendUint64(nil, h.stateHash))
		s.handle(h)
		return s.status()
	case "propose":
		for range strings.Split(rest[0], "") {
			_, err = h.replica.Propose([]byte(rest[0]))
		}
	case "transfer":
		err = h.replica.Transfer(s.hostByName(rest[0]).id)
	case "add":
		_, err = h.replica.ProposeChange(Change{Kind: ChangeAdd, Member: Member{ID: s.hostByName(rest[0]).id, Name: rest[0]}})
	case "promote":
		_, err = h.replica.ProposeChange(Change{Kind: ChangePromote, Member: Member{ID: s.hostByName(rest[0]).id}})
	case "remove":
		// The first member with that name has the oldest identity.
		for _, m := range h.replica.Members() {
			if m.Name == rest[0] {
				_, err = h.replica.ProposeChange(Change{Kind: ChangeRemove, Member: m})
				break
			}
		}
	default:
		return "unknown command"
	}
	if err != nil {
		return err.Error()
	}
	if h.up {
		s.handle(h)
	}
	return "ok"
}

// logTerms restarts a host in term 3 with a log of one entry for each given term after the initial configuration.
func (s *script) logTerms(h *host, terms []string) {
	h.disk.entries = h.disk.entries[:1]
	h.disk.hard = HardState{Term: 3}
	for _, text := range terms {
		term, _ := strconv.ParseUint(text, 10, 64)
		h.disk.entries = append(h.disk.entries, Entry{Index: uint64(len(h.disk.entries)) + 1, Term: term, Kind: EntryCommand, Data: []byte(text)})
	}
	s.start(h)
}

// deliverBetween delivers the messages now queued from one host to another, but none that result from them; syncs are
// separate commands.
func (s *script) deliverBetween(from, to *host) {
	for at := 0; at < len(s.network); {
		m := s.network[at]
		if m.From != from.id || m.To != to.id {
			at++
			continue
		}
		s.network = slices.Delete(s.network, at, at+1)
		to.replica.Step(m)
		s.handle(to)
	}
}

// tickOnce ticks each host once, then completes all messages and syncs.
func (s *script) tickOnce() {
	for _, h := range s.hosts {
		s.tick(h)
	}
	s.settle()
}

// workSnapshotTicks is the time between two snapshots of the command work, in ticks.
const workSnapshotTicks = 15

func (s *script) runWork(ticks int) string {
	proposed, committed := s.work(ticks, workSnapshotTicks)
	return fmt.Sprintf("%d proposed, %d committed", proposed, committed)
}

// fillInTurn makes the disk of each host full for some ticks, one after another and the leader's first, while commands are
// proposed. With transfer the leader then hands over: to the host whose disk is full, or if it is that host itself, to the
// next one.
func (s *script) fillInTurn(rounds, ticks int, transfer bool) string {
	var b strings.Builder
	for range rounds {
		turn := slices.Clone(s.hosts)
		first := slices.Index(turn, s.leader())
		turn[0], turn[first] = turn[first], turn[0]
		for i, h := range turn {
			h.full = true
			fmt.Fprintf(&b, "%s full: %s\n", h.name, s.runWork(ticks))
			if l := s.leader(); transfer {
				to := h
				if to == l {
					to = turn[(i+len(turn)-1)%len(turn)]
				}
				_ = l.replica.Transfer(to.id)
				s.handle(l)
				fmt.Fprintf(&b, "%s hands over to %s: %s\n", l.name, to.name, s.runWork(ticks))
			}
			h.full = false
		}
	}
	return b.String()
}

// backlog returns what each host has not finished: writes, held messages and unanswered messages to followers.
func (s *script) backlog() string {
	var b strings.Builder
	for _, h := range s.hosts {
		unanswered := 0
		for _, p := range h.replica.peers {
			unanswered += len(p.inFlight)
		}
		fmt.Fprintf(&b, "%s unsynced=%d writes=%d held=%d unanswered=%d uncommitted=%d\n", h.name, len(h.unsynced),
			len(h.replica.writes), len(h.replica.heldMessages), unanswered, h.replica.uncommitted)
	}
	return b.String()
}

// untilLeader counts the ticks until a leader other than old has committed an entry of its term.
func (s *script) untilLeader(old string) string {
	for ticks := range 10 * testElection {
		for _, h := range s.hosts {
			if h.running() && h.name != old && h.replica.Role() == RoleLeader && h.replica.committedInTerm() {
				return fmt.Sprintf("%s after %d ticks\n%s", h.name, ticks, s.status())
			}
		}
		s.tickOnce()
	}
	return "none"
}

func (s *script) status() string {
	var b strings.Builder
	for _, h := range s.hosts {
		r := h.replica
		switch {
		case !h.up:
			fmt.Fprintf(&b, "%s down\n", h.name)
			continue
		case h.frozen:
			fmt.Fprintf(&b, "%s frozen, ", h.name)
		default:
			fmt.Fprintf(&b, "%s ", h.name)
		}
		fmt.Fprintf(&b, "%s term=%d commit=%d last=%d kept=%d members=", r.Role(), r.Term(), r.Commit(), r.log.last(), len(r.log.entries))
		for _, m := range r.Members() {
			fmt.Fprintf(&b, "%s%d", m.Name, m.ID)
			if !m.Voter {
				b.WriteString("(learner)")
			}
			b.WriteString(" ")
		}
		b.WriteString("\n")
	}
	return strings.ReplaceAll(b.String(), " \n", "\n")
}
