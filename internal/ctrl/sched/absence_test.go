package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
)

const (
	// absencesFolder holds the kinds of absences that are drawn.
	absencesFolder = "testdata/absences"
	// absenceHosts is the number of processes, and absenceStepMs the time between two steps.
	absenceHosts  = 3
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

// absenceDay plays drawn absences, and compares what is answered with a plain model: the highest version that was acknowledged and
// the jobs that were accepted before a call was sent.
type absenceDay struct {
	random *rand.Rand
	clock  *clock.Manual
	nowMs  int64
	hosts  []*absenceHost
	// rates are the rates of the absences, per thousand steps and process.
	rates    map[string]int
	network  []quorum.Message
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
			rates := map[string]int{}
			for _, name := range []string{"freeze", "freeze_asking", "stand_still", "kill", "cut", "hand_over"} {
				rates[name] = int(intArg(t, d, name, 0))
			}
			var verdicts []string
			for seed := range intArg(t, d, "seeds", 1) {
				if verdict := newAbsenceDay(uint64(seed), rates).play(int(intArg(t, d, "steps", 1))); verdict != "" {
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

func newAbsenceDay(seed uint64, rates map[string]int) *absenceDay {
	d := &absenceDay{
		random: rand.New(rand.NewPCG(seed, 0)), clock: clock.NewManual(time.Unix(1_000_000, 0)), nowMs: 100_000, rates: rates,
		cutMs: map[[2]quorum.ReplicaID]int64{},
	}
	var members []quorum.Member
	for i := range absenceHosts {
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

// play plays a number of steps and returns what was wrong, empty for nothing.
func (d *absenceDay) play(steps int) string {
	for range steps {
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
func (d *absenceDay) happens(name string) bool { return d.random.IntN(thousand) < d.rates[name] }

func (d *absenceDay) drawAbsence(h *absenceHost) {
	if !h.up || h.frozen {
		return
	}
	leads, _ := h.Leads()
	until := d.nowMs + int64(d.random.IntN(absenceMaxMs))
	switch {
	case d.happens("freeze"), len(h.reads) > 0 && d.happens("freeze_asking"):
		h.frozen, h.wakesMs, h.uptimeStandsStill = true, until, d.random.IntN(thousand) < d.rates["stand_still"]
	case d.happens("kill"):
		h.kill(d.random.IntN(3))
		h.wakesMs = until
	case d.happens("cut"):
		other := d.hosts[d.random.IntN(len(d.hosts))]
		d.cutMs[[2]quorum.ReplicaID{h.id, other.id}] = until
		if d.random.IntN(2) == 0 {
			d.cutMs[[2]quorum.ReplicaID{other.id, h.id}] = until
		}
	case leads && d.happens("hand_over"):
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

// drawCalls makes calls at any process, whether it leads, stands still or not.
func (d *absenceDay) drawCalls() {
	h := d.hosts[d.random.IntN(len(d.hosts))]
	switch d.random.IntN(6) {
	case 0:
		d.configure(h)
	case 1:
		d.submit(h)
	case 2:
		d.askForJob(h)
	case 3:
		d.readAccess(h)
	default:
		d.readConfiguration(h)
	}
}

// call makes a call at a process; reply is called if it answers.
func (d *absenceDay) call(h *absenceHost, c *batch.Call, reply func(batch.Reply)) {
	if h.up {
		h.unread = append(h.unread, func() { h.scheduler.Call(c, h.Milliseconds(), reply) })
	}
}

func (d *absenceDay) configure(h *absenceHost) {
	d.sentVersion++
	c := &batch.Configuration{
		Version: d.sentVersion, Text: []byte(strconv.FormatUint(d.sentVersion, 10)),
		Queues: []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, SlackFactor: 2, TargetLatencyMs: 3000, TimeoutMs: 3000}},
		Pools:  []batch.Pool{{Name: "p", AdmissionCheck: true}},
	}
	d.call(h, &batch.Call{Configure: c}, func(r batch.Reply) {
		if r.Code == batch.CodeOK {
			d.acknowledgedVersion = max(d.acknowledgedVersion, c.Version)
		}
	})
}

func (d *absenceDay) submit(h *absenceHost) {
	if len(d.accepted) >= absenceMaxJobs {
		return
	}
	id := fmt.Sprintf("%016x", d.random.Uint64())
	job := batch.Job{Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPUMilli: 100}, EstimateMs: 300}}}
	d.call(h, &batch.Call{Submit: &batch.Submission{Host: "h", Path: "/q/" + id, Job: job}}, func(r batch.Reply) {
		if r.Code == batch.CodeOK && !slices.Contains(d.accepted, id) {
			d.accepted = append(d.accepted, id)
		}
	})
}

func (d *absenceDay) askForJob(h *absenceHost) {
	if len(d.accepted) == 0 {
		return
	}
	id, sentMs := d.accepted[d.random.IntN(len(d.accepted))], d.nowMs
	d.call(h, &batch.Call{JobState: &batch.RequestTarget{Host: "h", Path: "/q/" + id}}, func(r batch.Reply) {
		if r.Code == batch.CodeGone {
			d.breach(h, sentMs, "doesn't know a job that was accepted before")
		}
	})
}

func (d *absenceDay) readConfiguration(h *absenceHost) {
	d.expectVersion(h, &batch.Call{ReadConfiguration: true}, func(r batch.Reply) uint64 {
		version, _ := strconv.ParseUint(strings.TrimSpace(string(r.Text)), 10, 64) // 0 is older than any.
		return version
	})
}

func (d *absenceDay) readAccess(h *absenceHost) {
	d.expectVersion(h, &batch.Call{ReadAccess: &batch.AccessRequest{}}, func(r batch.Reply) uint64 { return r.Access.Version })
}

// expectVersion makes a call whose answer holds the version that was acknowledged when it was sent, or a higher one.
func (d *absenceDay) expectVersion(h *absenceHost, c *batch.Call, versionOf func(batch.Reply) uint64) {
	least, sentMs := d.acknowledgedVersion, d.nowMs
	d.reads++
	d.call(h, c, func(r batch.Reply) {
		if r.Code != batch.CodeOK {
			return
		}
		d.answers++
		if version := versionOf(r); version < least {
			d.breach(h, sentMs, fmt.Sprintf("gives version %d, though version %d was acknowledged before", version, least))
		}
	})
}

func (d *absenceDay) breach(h *absenceHost, sentMs int64, what string) {
	d.breaches = append(d.breaches, fmt.Sprintf("at %d ms replica %d %s the call was sent, %d ms ago", d.nowMs, h.id, what, d.nowMs-sentMs))
}
