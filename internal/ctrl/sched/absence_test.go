package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/model/record"
)

const (
	// absencesFolder holds the kinds of absences that are drawn.
	absencesFolder = "testdata/absences"
	// absenceStepMs is the time between two steps.
	absenceStepMs = 25
	// absenceExchanges bounds the exchanges between two steps.
	absenceExchanges = 4
	// absenceMaxMs bounds an absence.
	absenceMaxMs = 8000
	// absenceMaxJobs bounds the jobs of a day, none of which ever runs.
	absenceMaxJobs = 40
	// absenceRecoverySteps is how many steps a group without absences has until it serves again.
	absenceRecoverySteps = 400
	// thousand is the unit of the rates in the scripts.
	thousand = 1000
)

// absenceKind is a kind of days, with rates per thousand steps and process.
type absenceKind struct {
	// Hosts is the number of processes, and Steps how long absences are drawn.
	Hosts, Steps int
	// Freeze is the rate at which processes stand still, and FreezeAsking that of a leader that has asked a quorum. In StandStill of a
	// thousand of these absences the uptime stands still as well.
	Freeze, FreezeAsking, StandStill int
	// Kill, Cut and HandOver are the rates at which processes die, lose messages to another one, and hand the leadership over.
	Kill, Cut, HandOver int
}

// absenceDay plays drawn absences, and compares what is answered with a plain model: the highest version that was acknowledged and
// the jobs that were accepted before a call was sent.
type absenceDay struct {
	random *rand.Rand
	clock  *clock.Manual
	nowMs  int64
	hosts  []*absenceHost
	kind   absenceKind
	// network holds the messages under way.
	network []quorum.Message
	// commands are those of the log, by the number that is the data of their entries.
	commands []record.Command
	// cutMs is until when messages between two replicas are lost.
	cutMs map[[2]quorum.ReplicaID]int64

	sentVersion, acknowledgedVersion uint64
	accepted                         []string
	reads, answers                   int
	breaches                         []string
}

// TestNoAnswerIsOlderThanWhatWasAcknowledged plays the absences under testdata/absences: an answer about the state holds what was
// acknowledged before the call was sent, whichever process gives it.
func TestNoAnswerIsOlderThanWhatWasAcknowledged(t *testing.T) {
	datadriven.Walk(t, absencesFolder, func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(name string, fallback int64) int { return int(intArg(t, d, name, fallback)) }
			kind := absenceKind{
				Hosts: number("hosts", 3), Steps: number("steps", 1), Freeze: number("freeze", 0), FreezeAsking: number("freeze_asking", 0),
				StandStill: number("stand_still", 0), Kill: number("kill", 0), Cut: number("cut", 0), HandOver: number("hand_over", 0),
			}
			var verdicts []string
			for seed := range number("seeds", 1) {
				if verdict := newAbsenceDay(uint64(seed), kind).play(); verdict != "" {
					verdicts = append(verdicts, fmt.Sprintf("seed %d: %s", seed, verdict))
				}
			}
			if len(verdicts) == 0 {
				return "ok\n"
			}
			return fmt.Sprintf("%d days: %s\n", len(verdicts), verdicts[0])
		})
	})
}

func newAbsenceDay(seed uint64, kind absenceKind) *absenceDay {
	d := &absenceDay{
		random: rand.New(rand.NewPCG(seed, 0)), clock: clock.NewManual(time.Unix(1_000_000, 0)), nowMs: 100_000, kind: kind,
		cutMs: map[[2]quorum.ReplicaID]int64{},
	}
	var members []quorum.Member
	for i := range kind.Hosts {
		members = append(members, quorum.Member{ID: quorum.ReplicaID(i + 1), Voter: true})
	}
	for _, m := range members {
		h := &absenceHost{day: d, id: m.ID}
		d.hosts = append(d.hosts, h)
		h.start()
		h.step(func() { h.replica.Bootstrap(members) })
	}
	return d
}

// play plays the day and returns what was wrong, empty for nothing.
func (d *absenceDay) play() string {
	for range d.kind.Steps {
		d.step()
		for _, h := range d.hosts {
			d.drawAbsence(h)
		}
		d.drawCalls()
	}
	d.heal()
	acknowledged := d.acknowledgedVersion
	for range absenceRecoverySteps {
		d.step()
		d.drawCalls()
	}
	switch {
	case len(d.breaches) > 0:
		return fmt.Sprintf("%s; %d in all", d.breaches[0], len(d.breaches))
	case d.acknowledgedVersion == acknowledged:
		return "no configuration is taken after the last absence"
	case d.answers == 0:
		return fmt.Sprintf("none of %d reads was answered", d.reads)
	default:
		return ""
	}
}

// step lets time pass for all processes that run.
func (d *absenceDay) step() {
	d.nowMs += absenceStepMs
	d.clock.Advance(absenceStepMs * time.Millisecond)
	for _, h := range d.hosts {
		switch {
		case h.up && !h.frozen:
			if d.nowMs/absenceStepMs%2 == 0 {
				h.step(h.replica.Tick)
			}
			h.scheduler.Tick()
		case h.frozen && h.uptimeStandsStill:
			h.lostMs += absenceStepMs
		}
	}
	d.wakeDue()
	for range d.random.IntN(absenceExchanges + 1) {
		d.exchange()
	}
}

func (d *absenceDay) wakeDue() {
	for _, h := range d.hosts {
		switch {
		case h.frozen && d.nowMs >= h.wakesMs:
			h.frozen = false
			// What lay unread may be read in any order: connections are independent.
			d.random.Shuffle(len(h.unread), func(i, j int) { h.unread[i], h.unread[j] = h.unread[j], h.unread[i] })
		case !h.up && d.nowMs >= h.wakesMs:
			h.start()
		}
	}
}

// exchange lets disks sync, delivers most of the messages under way, and lets processes handle most of what they have received.
func (d *absenceDay) exchange() {
	under := d.network
	d.network = nil
	for _, m := range under {
		if d.random.IntN(4) == 0 {
			d.network = append(d.network, m)
			continue
		}
		if h := d.hosts[m.To-1]; h.up && d.nowMs >= d.cutMs[[2]quorum.ReplicaID{m.From, m.To}] {
			h.unread = append(h.unread, func() { h.step(func() { h.replica.Step(m) }) })
		}
	}
	for _, h := range d.hosts {
		if !h.up || h.frozen {
			continue
		}
		if d.random.IntN(3) > 0 {
			h.sync()
		}
		for n := d.random.IntN(len(h.unread) + 1); n > 0 && len(h.unread) > 0; n-- {
			handle := h.unread[0]
			h.unread = h.unread[1:]
			handle()
		}
	}
}

// happens draws whether something of a rate happens now.
func (d *absenceDay) happens(rate int) bool { return d.random.IntN(thousand) < rate }

func (d *absenceDay) drawAbsence(h *absenceHost) {
	if !h.up || h.frozen {
		return
	}
	leads, _ := h.Leads()
	until := d.nowMs + int64(d.random.IntN(absenceMaxMs))
	switch {
	case d.happens(d.kind.Freeze), len(h.reads) > 0 && d.happens(d.kind.FreezeAsking):
		h.frozen, h.wakesMs, h.uptimeStandsStill = true, until, d.happens(d.kind.StandStill)
	case d.happens(d.kind.Kill):
		h.kill(d.random.IntN(3))
		h.wakesMs = until
	case d.happens(d.kind.Cut):
		other := d.hosts[d.random.IntN(len(d.hosts))]
		d.cutMs[[2]quorum.ReplicaID{h.id, other.id}] = until
		if d.random.IntN(2) == 0 {
			d.cutMs[[2]quorum.ReplicaID{other.id, h.id}] = until
		}
	case leads && d.happens(d.kind.HandOver):
		h.step(func() { _ = h.replica.Transfer(d.hosts[d.random.IntN(len(d.hosts))].id) }) // Not to itself.
	}
}

// heal ends all absences.
func (d *absenceDay) heal() {
	clear(d.cutMs)
	for _, h := range d.hosts {
		h.wakesMs = d.nowMs
	}
	d.wakeDue()
}
