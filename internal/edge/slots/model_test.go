package slots

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowslipstack/internal/base/tests"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	tests.SetFlags(map[string]string{"rapid.seed": "11", "rapid.checks": "2000", "rapid.steps": "150", "rapid.nofailfile": "true"})
	tests.PanicOnBreach()
	os.Exit(m.Run())
}

const modelGrantDuration, modelMaxRequestTime = 3 * time.Second, 5 * time.Second

// entryProcess is one start of an entry; its requests end with it.
type entryProcess struct {
	holder  *Holder
	ledger  *Ledger
	shares  []*Share
	ends    [][]time.Time
	members Members
	sent    map[string]time.Time
}

// message is a report in transit, or the answer to one.
type message struct {
	from, to string
	report   Report
	answer   *Answer
}

type model struct {
	now      time.Time
	starts   uint64
	names    []string
	all      map[string]*entryProcess
	runners  []Runner
	members  Members
	changed  time.Time
	messages []message
}

func (m *model) start(name string) {
	m.starts++
	p := &entryProcess{members: m.members, sent: map[string]time.Time{}, ends: make([][]time.Time, len(m.runners))}
	p.holder = NewHolder(name, m.starts, m.members)
	p.ledger = NewLedger(Options{Self: name, Incarnation: m.starts, Peers: m.names, GrantDuration: modelGrantDuration, MaxPerHolder: 8}, m.members, m.now)
	p.ledger.SetRunners(m.runners)
	for _, r := range m.runners {
		p.shares = append(p.shares, p.holder.Share(r.Key))
	}
	m.all[name] = p
}

func (m *model) deliver(msg message) {
	p := m.all[msg.to]
	if msg.answer != nil {
		p.holder.HandleAnswer(msg.from, msg.report.Number, p.sent[fmt.Sprint(msg.from, msg.report.Number, msg.report.Incarnation)], *msg.answer)
		return
	}
	answer, _ := p.ledger.HandleReport(msg.report, m.now)
	m.messages = append(m.messages, message{from: msg.to, to: msg.from, report: msg.report, answer: &answer})
}

// TestRunnerSlotLimit checks that the requests in progress from all entries never exceed a runner's slots, under
// loss, duplication, delay, restarts, partitions and changes of the members.
func TestRunnerSlotLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: startTime, all: map[string]*entryProcess{}, names: []string{"a", "b", "c"}}
		m.members = Members{Version: 1, Names: m.names}
		for i := range 2 {
			m.runners = append(m.runners, Runner{Key: KeyOf(fmt.Sprint(i)), Service: "s", Slots: rapid.IntRange(1, 4).Draw(t, "slots"), MaxRequestTime: modelMaxRequestTime})
		}
		for _, name := range m.names {
			m.start(name)
		}
		name := func(t *rapid.T) string { return rapid.SampledFrom(m.names).Draw(t, "entry") }
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(m.messages)-1).Draw(t, "message") }
		drop := func(i int) { m.messages = append(m.messages[:i:i], m.messages[i+1:]...) }
		report := func(t *rapid.T) {
			from, to := name(t), name(t)
			demand := []Demand{{Service: "s", Count: rapid.SampledFrom([]int{0, 1, 20}).Draw(t, "demand")}}
			r := m.all[from].holder.Report(to, demand)
			m.all[from].sent[fmt.Sprint(to, r.Number, r.Incarnation)] = m.now
			m.messages = append(m.messages, message{from: from, to: to, report: r})
		}
		// exchange delivers a report at once, and its answer at once or later.
		exchange := func(t *rapid.T) {
			report(t)
			msg := m.messages[len(m.messages)-1]
			m.messages = m.messages[:len(m.messages)-1]
			m.deliver(msg)
			answer := m.messages[len(m.messages)-1]
			switch rapid.IntRange(0, 7).Draw(t, "fate") {
			case 0:
				// The answer stays in transit.
			case 1:
				// Copies of both stay in transit.
				m.messages = append(m.messages, msg)
				m.deliver(answer)
			default:
				m.messages = m.messages[:len(m.messages)-1]
				m.deliver(answer)
			}
		}
		deliver := func(t *rapid.T) {
			if len(m.messages) > 0 {
				i := pick(t)
				msg := m.messages[i]
				drop(i)
				m.deliver(msg)
			}
		}
		acquire := func(t *rapid.T) {
			p, i := m.all[name(t)], rapid.IntRange(0, len(m.runners)-1).Draw(t, "runner")
			// An entry that has not learned of a change of members has lost its lease after modelGrantDuration.
			if p.members.Version < m.members.Version && m.now.Sub(m.changed) >= modelGrantDuration {
				return
			}
			for p.shares[i].TryAcquire(m.now) {
				p.ends[i] = append(p.ends[i], m.now.Add(modelMaxRequestTime))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"report": report, "deliver": deliver, "exchange1": exchange, "exchange2": exchange, "exchange3": exchange, "exchange4": exchange,
			"acquire1": acquire, "acquire2": acquire,
			"lose": func(t *rapid.T) {
				if len(m.messages) > 0 {
					drop(pick(t))
				}
			},
			"double": func(t *rapid.T) {
				if len(m.messages) > 0 {
					m.messages = append(m.messages, m.messages[pick(t)])
				}
			},
			"cut": func(t *rapid.T) {
				from := name(t)
				for i := len(m.messages) - 1; i >= 0; i-- {
					if m.messages[i].from == from || m.messages[i].to == from {
						drop(i)
					}
				}
			},
			"release": func(t *rapid.T) {
				p, i := m.all[name(t)], rapid.IntRange(0, len(m.runners)-1).Draw(t, "runner")
				if len(p.ends[i]) > 0 {
					p.ends[i] = p.ends[i][1:]
					p.shares[i].Release()
				}
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 500, 600, 1000, 2900, 5000}).Draw(t, "ms")) * time.Millisecond)
				for _, p := range m.all {
					for i := range p.ends {
						for len(p.ends[i]) > 0 && !m.now.Before(p.ends[i][0]) {
							p.ends[i] = p.ends[i][1:]
							p.shares[i].Release()
						}
					}
				}
			},
			"restart": func(t *rapid.T) { m.start(name(t)) },
			"members": func(t *rapid.T) {
				names := m.names[:rapid.IntRange(1, len(m.names)).Draw(t, "count")]
				m.members, m.changed = Members{Version: m.members.Version + 1, Names: names}, m.now
			},
			"hear": func(t *rapid.T) {
				p := m.all[name(t)]
				p.members = m.members
				p.holder.SetMembers(m.members)
				p.ledger.SetMembers(m.members, m.now)
				p.ledger.SetRunners(m.runners)
			},
			"": func(t *rapid.T) {
				for i, r := range m.runners {
					sum := 0
					for _, p := range m.all {
						sum += len(p.ends[i])
					}
					if sum > r.Slots {
						t.Fatalf("%d requests in progress on a runner of %d slots", sum, r.Slots)
					}
				}
			},
		})
	})
}
