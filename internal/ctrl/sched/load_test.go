package sched_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/pools"
)

const (
	// loadsFolder holds the loads; each file has one, with what callers must get.
	loadsFolder = "testdata/loads"
	loadSeed    = 1
	// loadMoveMs is how long a VM of a simulated fleet is away when it moves, loadEndMs how soon after the end of a task its
	// worker reports it, and loadCallerRetries how often a refused caller comes back.
	loadMoveMs        = 1500
	loadEndMs         = 50
	loadCallerRetries = 4
	// loadTrailMs is how long a load is played after its last arrival; lateObjectives times a job's SLO it is only late.
	loadTrailMs    = 25_000
	lateObjectives = 3
	loadSlack      = 1.6
	loadTargetMs   = 3600
	loadMemoryMB   = 64_000
)

// loadDay is a fleet with its callers, as a load under testdata/loads describes it.
type loadDay struct {
	Spare, CPU              int64
	LostPercent, LostAt     int64
	ArrivalsMs, MinAccepted int64
	Queues                  []*loadQueue
	// Accounts are the client accounts, none for callers without keys.
	Accounts []*loadAccount
}

// loadAccount is a client account of a load.
type loadAccount struct {
	Name string
	// Weight is its weight, and Part the part of the usual jobs that it submits, in percent; during the queues' surge, from which
	// time they are multiplied by Surge, in percent.
	Weight, Part, Surge int64
	// MinInTime is the least part of its work that must be done in time, in percent.
	MinInTime int64
}

// loadQueue is a queue of a load and what came of its jobs.
type loadQueue struct {
	Name string
	// PerMinute is the rate of jobs; it is multiplied by Surge, in percent, for SurgeFor from SurgeFrom on.
	PerMinute, Surge    int64
	SurgeFrom, SurgeFor int64
	// Steps, Width, CPU and Ms are the means of a job's steps, the tasks of a step, what a task needs and how long it runs.
	Steps, Width, CPU, Ms int64
	// VMs is the number of VMs that its pool has at first, and Priority that of the queue.
	VMs, Priority int64
	// MinInTime is the least part of its work that must be done in time, and MaxRefused the most that may be refused, in percent.
	MinInTime, MaxRefused int64
	due                   float64
	random                *rand.Rand
}

// surges reports whether the queue's surge is on.
func (q *loadQueue) surges(elapsedMs int64) bool {
	since := elapsedMs - q.SurgeFrom
	return since >= 0 && since < q.SurgeFor
}

// loadJob is a job of a caller.
type loadJob struct {
	spec                batch.Job
	queue               *loadQueue
	account             *loadAccount
	sentMs, objectiveMs int64
	chainMs, workMs     int64
	refusals            int
	accepted            bool
	doneMs              int64
}

// TestLoads plays the loads under testdata/loads and checks what callers get.
func TestLoads(t *testing.T) {
	datadriven.Walk(t, loadsFolder, func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			f := newLoadFleet(parseLoad(t, d), pools.Planner{}, zap.NewNop())
			f.play()
			return f.verdicts()
		})
	})
}

// maxEventLines is how many lines of one event the log takes in a second.
const maxEventLines = 1000

// TestLogNamesEachOrder plays a load on a fleet of hundreds of VMs and checks that the log leads from each job to all its
// orders, with fewer lines a second than the log takes.
func TestLogNamesEachOrder(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	day := &loadDay{Spare: 20, CPU: 16_000, ArrivalsMs: 6000, Queues: []*loadQueue{
		{Name: "small", PerMinute: 30_000, Surge: 100, Steps: 1, Width: 8, CPU: 1500, Ms: 500, VMs: 380},
	}}
	f := newLoadFleet(day, pools.Planner{}, zap.New(core))
	logged, lines := map[string]bool{}, map[int64]int{}
	for f.elapsedMs() < day.ArrivalsMs {
		f.step()
		for _, entry := range logs.FilterMessage("attempts_ordered").All() {
			lines[f.elapsedMs()/1000]++
			for _, attempt := range entry.ContextMap()["attempts"].([]any) {
				id, _, _ := strings.Cut(attempt.(string), " ")
				logged[id] = true
			}
		}
		logs.TakeAll()
	}
	for id := range f.started {
		if !logged[id] {
			t.Errorf("the log doesn't name %s", id)
		}
	}
	for second, n := range lines {
		if n > maxEventLines {
			t.Errorf("%d lines in second %d", n, second)
		}
	}
	if ordersPerS := int64(len(f.started)) * 1000 / day.ArrivalsMs; ordersPerS < 2*maxEventLines {
		t.Errorf("%d orders a second are no load for the log", ordersPerS)
	}
}

// plainPlanner is the rule without shares, for comparison: each pool takes what it needs from pools that have more than
// they need.
type plainPlanner struct{}

func (plainPlanner) Plan(all []pools.Pool, maxMoves int) pools.Result {
	shares := pools.Shares{}
	for _, p := range all {
		shares.Targets = append(shares.Targets, pools.Need(p))
	}
	return pools.MoveTowards(all, shares, maxMoves)
}

// BenchmarkLoads reports what callers get from the plan with shares and from the plain one, in percent of the work that
// they asked for, and which part of the refused work an oracle could have done in time.
func BenchmarkLoads(b *testing.B) {
	files, err := os.ReadDir(loadsFolder)
	if err != nil {
		b.Fatal(err)
	}
	planners := map[string]sched.PoolPlanner{"shares": pools.Planner{}, "plain": plainPlanner{}}
	for _, file := range files {
		text, err := os.ReadFile(filepath.Join(loadsFolder, file.Name()))
		if err != nil {
			b.Fatal(err)
		}
		_, input, _ := strings.Cut(string(text), "load\n")
		input, _, _ = strings.Cut(input, "----")
		for name, planner := range planners {
			b.Run(file.Name()+"/"+name, func(b *testing.B) {
				for b.Loop() {
					f := newLoadFleet(parseLoad(b, &datadriven.TestData{Pos: file.Name(), Input: input}), planner, zap.NewNop())
					f.play()
					f.report(b)
				}
			})
		}
	}
}

func parseLoad(t testing.TB, d *datadriven.TestData) *loadDay {
	t.Helper()
	day := &loadDay{CPU: 16_000, ArrivalsMs: 30_000}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		q := &loadQueue{MaxRefused: 100, Surge: 100, SurgeFrom: 6000, SurgeFor: 7000, Steps: 2, Width: 8, CPU: 2300, Ms: 1000}
		keys := map[string]*int64{
			"spare": &day.Spare, "cpu": &day.CPU, "lost_percent": &day.LostPercent, "lost_at_ms": &day.LostAt,
			"arrivals_ms": &day.ArrivalsMs, "min_accepted": &day.MinAccepted,
		}
		if fields[0] == "queue" {
			q.Name, fields = fields[1], fields[1:]
			keys = map[string]*int64{
				"per_minute": &q.PerMinute, "surge": &q.Surge, "from_ms": &q.SurgeFrom, "for_ms": &q.SurgeFor, "steps": &q.Steps, "width": &q.Width, "cpu": &q.CPU, "ms": &q.Ms,
				"vms": &q.VMs, "priority": &q.Priority, "min_in_time": &q.MinInTime, "max_refused": &q.MaxRefused,
			}
			day.Queues = append(day.Queues, q)
		}
		if fields[0] == "account" {
			a := &loadAccount{Name: fields[1], Weight: 1, Surge: 100}
			fields = fields[1:]
			keys = map[string]*int64{"weight": &a.Weight, "part": &a.Part, "surge": &a.Surge, "min_in_time": &a.MinInTime}
			day.Accounts = append(day.Accounts, a)
		}
		for _, pair := range fields[1:] {
			key, value, _ := strings.Cut(pair, "=")
			n, err := strconv.ParseInt(value, 10, 64)
			if keys[key] == nil || err != nil {
				t.Fatalf("%s: %q can't be read", d.Pos, pair)
			}
			*keys[key] = n
		}
	}
	return day
}

func newLoadFleet(day *loadDay, planner sched.PoolPlanner, logger *zap.Logger) *loadFleet {
	f := &loadFleet{
		harness: newHarness(), day: day, random: rand.New(rand.NewPCG(loadSeed, 0)), byID: map[string]*loadJob{},
		returns: map[int64][]*loadJob{}, freeMs: map[string]map[int64]float64{}, used: map[string]map[int64]float64{},
		started: map[string]bool{},
	}
	f.planner, f.logger = planner, logger
	f.start("leader-a")
	c := &batch.Configuration{Version: 1, Text: []byte("text"), Pools: []batch.Pool{{Name: "spare", Standby: true}}}
	for i, q := range day.Queues {
		q.random = rand.New(rand.NewPCG(loadSeed, uint64(i)+1))
		c.Pools = append(c.Pools, batch.Pool{Name: q.Name, AdmissionCheck: true})
		c.Queues = append(c.Queues, batch.Queue{
			Host: "h", Prefix: "/" + q.Name + "/", Pool: q.Name, Priority: int(q.Priority), MaxAttempts: 4, SlackFactor: loadSlack,
			TargetLatencyMs: loadTargetMs, TimeoutMs: 3000,
		})
		f.addVMs(q.Name, q.VMs)
	}
	for _, a := range day.Accounts {
		c.RequiresKeys = true
		c.Accounts = append(c.Accounts, batch.Account{Name: a.Name, Weight: float64(a.Weight), Keys: []batch.KeyDigest{batch.DigestOf(a.Name)}})
	}
	f.addVMs("spare", day.Spare)
	f.call("configure", &batch.Call{Configure: c})
	f.began = f.uptime.ms
	return f
}
