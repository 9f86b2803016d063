package sched_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/model/record"
)

var (
	absenceSeed  = flag.Int("absence.seed", 0, "the first seed of the drawn absences, with absence.seeds")
	absenceSeeds = flag.Int("absence.seeds", 0, "how many seeds to play instead of the script's")
)

const (
	// absencesFolder holds the kinds of absences that are drawn.
	absencesFolder = "testdata/absences"
	// absenceStepMs is the time between two steps.
	absenceStepMs = 25
	// absenceExchanges bounds the exchanges between two steps.
	absenceExchanges = 4
	// absenceMaxMs bounds an absence, absenceRestartMs the time until a process is back at the end of a day.
	absenceMaxMs     = 8000
	absenceRestartMs = 1500
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
	// Losses is how many disks may be lost at a time.
	Losses int
	// Freeze is the rate at which processes stand still, and FreezeAsking that of a leader that has asked a quorum. In StandStill of a
	// thousand of these absences the uptime stands still as well.
	Freeze, FreezeAsking, StandStill int
	// Kill, Cut and HandOver are the rates at which processes die, lose messages to another one, and hand the leadership over.
	Kill, Cut, HandOver int
	// LoseDisk and Replace are the rates at which processes come back without their disk, or are gone and others come in their place.
	LoseDisk, Replace int
	// Strike is the rate per thousand steps at which all processes die, right after a change was acknowledged.
	Strike int
	// Split is the rate per thousand steps at which the processes are cut into two halves.
	Split int
	// SnapshotEntries is the number of log entries between two snapshots, 0 for none.
	SnapshotEntries int
	// Crossing means that changes of the configuration cross each other, and that their acknowledgements are lost at times.
	Crossing bool
	// EndsInStrike means that the day ends with a strike.
	EndsInStrike bool
}

// absenceDay plays drawn absences, and compares what is answered with a plain model.
type absenceDay struct {
	random *rand.Rand
	clock  *clock.Manual
	nowMs  int64
	hosts  []*absenceHost
	lastID quorum.ReplicaID
	kind   absenceKind
	// network holds the messages under way.
	network []envelope
	// commands are those of the log, by the number that is the data of their entries.
	commands []record.Command
	// cutMs is until when messages from one process to another are lost.
	cutMs map[[2]*absenceHost]int64
	// striking means that all processes die once a change is acknowledged; struck is the process that acknowledged it.
	striking bool
	struck   *absenceHost

	model          *tests.Orders
	orders         []*absenceOrder
	accepted       []string
	reads, answers int
	breaches       []string
}

// TestNoAnswerIsOlderThanWhatWasAcknowledged plays the absences under testdata/absences: an answer about the state holds what was
// acknowledged before the call was sent, whichever process gives it.
func TestNoAnswerIsOlderThanWhatWasAcknowledged(t *testing.T) {
	datadriven.Walk(t, absencesFolder, func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			kind, first, seeds := parseAbsences(t, d)
			var verdicts []string
			for seed := first; seed < first+seeds; seed++ {
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

func parseAbsences(t *testing.T, d *datadriven.TestData) (kind absenceKind, first, seeds int) {
	t.Helper()
	number := func(name string, fallback int64) int { return int(intArg(t, d, name, fallback)) }
	kind = absenceKind{
		Hosts: number("hosts", 3), Steps: number("steps", 1), Losses: number("losses", 1),
		Freeze: number("freeze", 0), FreezeAsking: number("freeze_asking", 0), StandStill: number("stand_still", 0),
		Kill: number("kill", 0), Cut: number("cut", 0), HandOver: number("hand_over", 0),
		LoseDisk: number("lose_disk", 0), Replace: number("replace", 0), Strike: number("strike", 0), Split: number("split", 0),
		SnapshotEntries: number("snapshot_entries", 0), Crossing: number("crossing", 0) > 0, EndsInStrike: number("ends_in_strike", 0) > 0,
	}
	if *absenceSeeds > 0 {
		return kind, *absenceSeed, *absenceSeeds
	}
	return kind, number("seed", 0), number("seeds", 1)
}

func newAbsenceDay(seed uint64, kind absenceKind) *absenceDay {
	d := &absenceDay{
		random: rand.New(rand.NewPCG(seed, 0)), clock: clock.NewManual(time.Unix(1_000_000, 0)), nowMs: 100_000, kind: kind,
		cutMs: map[[2]*absenceHost]int64{}, model: tests.NewOrders(),
	}
	var members []quorum.Member
	for i := range kind.Hosts {
		d.lastID++
		h := &absenceHost{day: d, number: i, name: fmt.Sprintf("p%d", i), id: d.lastID}
		d.hosts = append(d.hosts, h)
		members = append(members, quorum.Member{ID: h.id, Name: h.name, Voter: true})
	}
	for _, h := range d.hosts {
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
		d.striking = d.striking || d.happens(d.kind.Strike)
		if d.happens(d.kind.Split) {
			d.split()
		}
		d.drawCalls()
	}
	d.heal()
	if d.kind.EndsInStrike {
		d.striking = true
	}
	acknowledged := d.model.Acknowledged()
	for range absenceRecoverySteps {
		d.step()
		d.drawCalls()
	}
	switch {
	case len(d.breaches) > 0:
		return fmt.Sprintf("%s; %d in all", d.breaches[0], len(d.breaches))
	case d.model.Acknowledged() == acknowledged:
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
	tick := d.nowMs / absenceStepMs
	for _, h := range d.hosts {
		switch {
		case h.up && !h.frozen:
			d.tick(h, tick)
		case h.frozen && h.uptimeStandsStill:
			h.lostMs += absenceStepMs
		}
	}
	d.wakeDue()
	for range d.random.IntN(absenceExchanges + 1) {
		d.exchange()
	}
	d.noteRecovered()
	d.resendOrders()
}

// tick does the periodic work of a process.
func (d *absenceDay) tick(h *absenceHost, tick int64) {
	if tick%2 == 0 {
		h.step(h.replica.Tick)
	}
	h.scheduler.Tick()
	if (tick+int64(h.number))%absenceHelloSteps == 0 {
		d.greet(h)
	}
	if tick%absenceCheckSteps == 0 {
		d.changeMembers(h)
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
		if m.to.up && d.nowMs >= d.cutMs[[2]*absenceHost{m.from, m.to}] {
			m.to.unread = append(m.to.unread, m.deliver)
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
		if d.struck != nil {
			d.strike()
			return
		}
	}
}

// happens draws whether something of a rate happens now.
func (d *absenceDay) happens(rate int) bool { return d.random.IntN(thousand) < rate }
