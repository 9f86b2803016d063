package site

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"cowslipstack/internal/base/tests"
)

const (
	// daysFolder holds the kinds of days that are drawn.
	daysFolder = "testdata/days"
	// dayStep is the time between two steps.
	dayStep = 25 * time.Millisecond
	// maxAbsence bounds an absence, and maxRestart the time until a process is back after a strike.
	maxAbsence = 8 * time.Second
	maxRestart = 1500 * time.Millisecond
	// catchUpTime is how long a process without its disk counts as lost once it is back, as on the large site.
	catchUpTime = 6 * time.Second
	// recoveryTime is how long a group without absences has until each process answers, as on the large site.
	recoveryTime = 15 * time.Second
	// backgroundLimit bounds the calls in progress.
	backgroundLimit = 200
	// lastDeadline is above the longest deadline of a call.
	lastDeadline = 70 * time.Second
	thousand     = 1000
)

// clientAddress is the address of the callers and operators.
var clientAddress = netip.AddrFrom4([4]byte{10, 9, 9, 9})

// day plays drawn absences of real processes on simulated machines, and compares their answers with a plain model.
type day struct {
	kind     dayKind
	random   *rand.Rand
	network  *network
	client   *http.Client
	slots    []*processSlot
	began    time.Time
	folder   string
	logLevel string
	// firstStart is set while the system starts for the first time.
	firstStart bool
	// strikes receives the machine that has acknowledged a change, once all processes are to die then.
	strikes chan *processSlot
	// stopped receives the processes that are done with what they were told to stop for.
	stopped chan *process
	// ends counts the goroutines that play the callers, and the processes that end.
	ends sync.WaitGroup

	mu       sync.Mutex
	model    *tests.Orders
	striking bool
	calls    int
	// accepted are the paths of the jobs that were accepted.
	accepted []string
	breaches []string
	logs     map[string][]*process
	// replaced is the number of machines that were replaced.
	replaced int
	// over is set once the day is over: what is answered later counts no more.
	over bool
}

// TestConfigurationOverDrawnDays plays the days under testdata/days: whatever process a call comes to, it goes by the configuration that was
// acknowledged before it was sent, and what was acknowledged is there after all processes have died.
func TestConfigurationOverDrawnDays(t *testing.T) {
	// The goroutine that handles signals must not belong to a day.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt)
	defer signal.Stop(signals)
	// With the race detector, Go 1.26.8 runs timers of a bubble on several threads in one context of the detector, which then breaks.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	datadriven.Walk(t, daysFolder, func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			kind, first, seeds := parseDays(t, d)
			var verdicts []string
			for seed := first; seed < first+seeds; seed++ {
				if verdict := playDay(t, uint64(seed), kind); verdict != "" {
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

// playDay plays a day and returns what was wrong, empty for nothing.
func playDay(t *testing.T, seed uint64, kind dayKind) (verdict string) {
	t.Helper()
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		t.Helper()
		d := &day{
			kind: kind, random: rand.New(rand.NewPCG(seed, 0)), network: newNetwork(seed), began: time.Now().Add(-time.Hour), folder: folder,
			logLevel: "error", firstStart: true, strikes: make(chan *processSlot, 1), stopped: make(chan *process, backgroundLimit), model: tests.NewOrders(), logs: map[string][]*process{},
		}
		if *daysKeep != "" {
			d.logLevel = "info"
		}
		verdict = d.play()
		if verdict != "" && *daysKeep != "" {
			d.writeLogs(t, filepath.Join(*daysKeep, strconv.FormatUint(seed, 10)))
		}
	})
	return verdict
}

func (d *day) play() string {
	defer d.end()
	d.client = newCaller(d.network.start(clientAddress))
	for i := range d.kind.Core + d.kind.Entries {
		s := &processSlot{day: d, name: fmt.Sprintf("p%d", i), address: addressOf(i)}
		if i < d.kind.Core {
			s.disk = newSimulatedDisk()
		}
		d.slots = append(d.slots, s)
		if err := s.start(); err != nil {
			return err.Error()
		}
	}
	if !d.waitAcknowledged(0) {
		return "no configuration is taken at the first start"
	}
	d.firstStart = false
	for range d.kind.Steps {
		d.step()
		for _, s := range d.slots {
			d.drawAbsence(s)
		}
		if d.happens(d.kind.Strike) {
			d.setStriking()
		}
		if d.happens(d.kind.FreezeAsking) {
			d.freezeLeader()
		}
		if d.happens(d.kind.Split) {
			d.split()
		}
		d.drawCalls()
	}
	d.heal()
	if d.kind.EndsInStrike {
		d.setStriking()
		if !d.waitAcknowledged(d.acknowledged()) {
			return d.verdict("no configuration is taken after the last absence")
		}
		d.step()
		d.heal()
	}
	return d.verdict(d.recover())
}

// recover lets all processes run, and returns what they don't do within the recovery time.
func (d *day) recover() string {
	before := d.acknowledged()
	if !d.waitAcknowledged(before) {
		return "no configuration is taken after the last absence"
	}
	deadline := time.Now().Add(recoveryTime)
	for _, s := range d.slots {
		for !d.readConfiguration(d.running(s)) {
			if time.Now().After(deadline) {
				return fmt.Sprintf("%s answers no read after the last absence", s.name)
			}
			d.step()
		}
	}
	return ""
}

func (d *day) verdict(wrong string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.breaches) > 0 {
		return fmt.Sprintf("%s; %d in all", d.breaches[0], len(d.breaches))
	}
	return wrong
}

// waitAcknowledged draws calls until a version above another one is acknowledged, for the recovery time at most.
func (d *day) waitAcknowledged(above uint64) bool {
	for deadline := time.Now().Add(recoveryTime); time.Now().Before(deadline); {
		d.drawCalls()
		d.step()
		if d.acknowledged() > above {
			return true
		}
	}
	return false
}

func (d *day) acknowledged() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model.Acknowledged()
}

func (d *day) least() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model.Least()
}

// end ends all processes and waits for what is left of the day.
func (d *day) end() {
	d.mu.Lock()
	d.over = true
	d.mu.Unlock()
	for _, s := range d.slots {
		d.kill(s, false, time.Now())
	}
	d.ends.Wait()
	d.client.CloseIdleConnections()
	// Handlers of dead processes go on until the deadlines of their calls.
	time.Sleep(lastDeadline)
}

// background runs a call of an operator or caller, unless too many are in progress.
func (d *day) background(call func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls >= backgroundLimit {
		return
	}
	d.calls++
	d.ends.Go(func() {
		call()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.calls--
	})
}

// note lets the model judge an answer.
func (d *day) note(name string, sent time.Time, kind string, judge func() string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		return
	}
	if what := judge(); what != "" {
		d.breaches = append(d.breaches, fmt.Sprintf("at %s %s %s the %s was sent, %s ago", time.Now().Format("15:04:05.000"), name, what, kind, time.Since(sent)))
	}
}

// step lets time pass, and carries out a strike that is due.
func (d *day) step() {
	select {
	case s := <-d.strikes:
		d.strike(s)
	case <-time.After(dayStep):
	}
	d.wakeDue()
	d.noteRecovered()
}

func (d *day) happens(rate int) bool { return d.random.IntN(thousand) < rate }

func (d *day) setStriking() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.striking = true
}

// noteAcknowledged lets a strike begin that waits for an acknowledgement.
func (d *day) noteAcknowledged(s *processSlot, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok && d.striking {
		d.striking = false
		d.strikes <- s
	}
}

// keepLog keeps the log of a process that has ended.
func (d *day) keepLog(name string, p *process) {
	d.logs[name] = append(d.logs[name], p)
}

// writeLogs writes the logs of all processes to files in a folder.
func (d *day) writeLogs(t *testing.T, folder string) {
	t.Helper()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, lives := range d.logs {
		var text []byte
		for _, p := range lives {
			text = slices.Concat(text, p.log.b.Bytes())
		}
		if err := os.WriteFile(filepath.Join(folder, name+".log"), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
