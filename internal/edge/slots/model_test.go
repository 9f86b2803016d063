package slots

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"cowslipstack/internal/base/check"
)

// TestMain fixes the seed; a flag on the command line goes before it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "2000", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	check.SetHandler(func(name string, fields []zap.Field) { panic(fmt.Sprint(name, fields)) })
	os.Exit(m.Run())
}

const modelValid, modelHold = 3 * time.Second, 5 * time.Second

// process is one entry; its requests end with it.
type process struct {
	holder  *Holder
	ledger  *Ledger
	shares  []*Share
	ends    [][]time.Time
	members Members
	sent    map[string]time.Time
}

// letter is a message on its way: a report, or the answer to one.
type letter struct {
	from, to string
	report   Report
	answer   *Answer
}

type model struct {
	now     time.Time
	starts  uint64
	names   []string
	all     map[string]*process
	runners []Runner
	members Members
	changed time.Time
	letters []letter
}

func (m *model) start(name string) {
	m.starts++
	p := &process{members: m.members, sent: map[string]time.Time{}, ends: make([][]time.Time, len(m.runners))}
	p.holder = NewHolder(name, m.starts, m.members)
	p.ledger = NewLedger(Options{Self: name, Incarnation: m.starts, Peers: m.names, Valid: modelValid, PerHolder: 8}, m.members, m.now)
	p.ledger.SetRunners(m.runners)
	for _, r := range m.runners {
		p.shares = append(p.shares, p.holder.Share(r.Key))
	}
	m.all[name] = p
}

func (m *model) deliver(l letter) {
	p := m.all[l.to]
	if l.answer != nil {
		p.holder.Accept(l.from, l.report.Number, p.sent[fmt.Sprint(l.from, l.report.Number, l.report.Incarnation)], *l.answer)
		return
	}
	answer, _ := p.ledger.Take(l.report, m.now)
	m.letters = append(m.letters, letter{from: l.to, to: l.from, report: l.report, answer: &answer})
}

// TestBound holds the promise to the runners: under loss, doubling, delay, restarts, cuts and changes of the
// members, the requests in progress over all entries stay within the slots of each runner.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: zero, all: map[string]*process{}, names: []string{"a", "b", "c"}}
		m.members = Members{Version: 1, Names: m.names}
		for i := range 2 {
			m.runners = append(m.runners, Runner{Key: KeyOf(fmt.Sprint(i)), Service: "s", Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Hold: modelHold})
		}
		for _, name := range m.names {
			m.start(name)
		}
		name := func(t *rapid.T) string { return rapid.SampledFrom(m.names).Draw(t, "entry") }
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(m.letters)-1).Draw(t, "letter") }
		drop := func(i int) { m.letters = append(m.letters[:i:i], m.letters[i+1:]...) }
		report := func(t *rapid.T) {
			from, to := name(t), name(t)
			demand := []Demand{{Service: "s", Count: rapid.SampledFrom([]int{0, 1, 20}).Draw(t, "demand")}}
			r := m.all[from].holder.Report(to, demand)
			m.all[from].sent[fmt.Sprint(to, r.Number, r.Incarnation)] = m.now
			m.letters = append(m.letters, letter{from: from, to: to, report: r})
		}
		// exchange delivers a report at once and the answer at once or later.
		exchange := func(t *rapid.T) {
			report(t)
			l := m.letters[len(m.letters)-1]
			m.letters = m.letters[:len(m.letters)-1]
			m.deliver(l)
			answer := m.letters[len(m.letters)-1]
			switch rapid.IntRange(0, 7).Draw(t, "fate") {
			case 0:
				// The answer stays under way.
			case 1:
				// Copies of both stay under way.
				m.letters = append(m.letters, l)
				m.deliver(answer)
			default:
				m.letters = m.letters[:len(m.letters)-1]
				m.deliver(answer)
			}
		}
		deliver := func(t *rapid.T) {
			if len(m.letters) > 0 {
				i := pick(t)
				l := m.letters[i]
				drop(i)
				m.deliver(l)
			}
		}
		acquire := func(t *rapid.T) {
			p, i := m.all[name(t)], rapid.IntRange(0, len(m.runners)-1).Draw(t, "runner")
			// An entry that has not heard of a change holds no lease once the change is a lease old.
			if p.members.Version < m.members.Version && m.now.Sub(m.changed) >= modelValid {
				return
			}
			for p.shares[i].TryAcquire(m.now) {
				p.ends[i] = append(p.ends[i], m.now.Add(modelHold))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"report": report, "deliver": deliver, "exchange1": exchange, "exchange2": exchange, "exchange3": exchange, "exchange4": exchange,
			"acquire1": acquire, "acquire2": acquire,
			"lose": func(t *rapid.T) {
				if len(m.letters) > 0 {
					drop(pick(t))
				}
			},
			"double": func(t *rapid.T) {
				if len(m.letters) > 0 {
					m.letters = append(m.letters, m.letters[pick(t)])
				}
			},
			"cut": func(t *rapid.T) {
				from := name(t)
				for i := len(m.letters) - 1; i >= 0; i-- {
					if m.letters[i].from == from || m.letters[i].to == from {
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
