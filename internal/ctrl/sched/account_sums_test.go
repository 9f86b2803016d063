package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

const (
	sumsSeeds = 20
	sumsSteps = 1500
)

// TestAccountSums guards against sums of accounts that drift, and against starts above a limit: after each step of a random
// sequence, what each account holds is the sum over what runs, is about to start, is planned or may run on.
func TestAccountSums(t *testing.T) {
	started, gangs, gaveUp := 0, 0, 0
	for seed := range uint64(sumsSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			m := newSumsModel(seed)
			for step := range sumsSteps {
				before := m.held()
				name := m.step()
				if fault := m.check(before); fault != "" {
					t.Fatalf("step %d, %s: %s", step, name, fault)
				}
			}
			started, gangs, gaveUp = started+m.started, gangs+m.gangs, gaveUp+m.gaveUp
		})
	}
	if started < sumsSeeds*100 || gangs < sumsSeeds || gaveUp < sumsSeeds*100 {
		t.Errorf("the sequences test little: %d starts, %d of them of gangs, %d steps with given-up attempts", started, gangs, gaveUp)
	}
}

// sumsModel drives a scheduler with workers that don't always do as they are told.
type sumsModel struct {
	*harness
	random  *rand.Rand
	workers []*sumsWorker
	version uint64
	specs   map[string]sumsSpec
	jobs    []string
	history []batch.Running
	// started and gangs count the starts that were ordered, gaveUp the steps after which attempts counted that were given up.
	started, gangs, gaveUp int
	givenUp                map[sched.HeldOn]bool
}

type sumsSpec struct {
	account string
	need    batch.Resources
	gang    bool
}

type sumsWorker struct {
	name           string
	incarnation    int64
	sequence, ends uint64
	running        []batch.Running
	ended          []batch.EndReport
	draining       bool
	capacity       batch.Resources
}

func newSumsModel(seed uint64) *sumsModel {
	m := &sumsModel{harness: newHarness(), random: rand.New(rand.NewPCG(seed, 1)), specs: map[string]sumsSpec{}}
	for i := range 4 {
		m.workers = append(m.workers, &sumsWorker{
			name: fmt.Sprintf("w%d", i), incarnation: 1, capacity: batch.Resources{CPUMilli: 4000, MemoryMB: 16000, Accelerators: 2},
		})
	}
	m.configure()
	return m
}

func (m *sumsModel) chance(percent int) bool { return m.random.IntN(100) < percent }

// configure changes the limits, and now and then removes the accounts.
func (m *sumsModel) configure() {
	m.version++
	c := &batch.Configuration{
		Version: m.version, Text: []byte("text"),
		Queues: []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 5, SlackFactor: 2, TargetLatencyMs: 3000, TimeoutMs: 3000}},
		Pools:  []batch.Pool{{Name: "p", AdmissionCheck: true}},
	}
	if m.version == 1 || m.chance(80) {
		c.RequiresKeys = true
		for _, name := range []string{"a", "b", "c"} {
			limit := batch.Resources{CPUMilli: int64(m.random.IntN(8)) * 1000, MemoryMB: int64(m.random.IntN(8)) * 1000}
			c.Accounts = append(c.Accounts, batch.Account{Name: name, Weight: 1, Keys: []batch.KeyDigest{batch.DigestOf(name)}, Limit: limit})
		}
	}
	m.scheduler.Call(&batch.Call{Configure: c}, m.uptime.ms, func(batch.Reply) {})
	m.log.commitAll()
}

// step performs a random action and returns its name.
func (m *sumsModel) step() string {
	w := m.workers[m.random.IntN(len(m.workers))]
	actions := []struct {
		name   string
		weight int
		do     func()
	}{
		{"heartbeat", 40, func() { m.beat(w) }},
		{"end", 14, func() { m.end(w) }},
		{"submit", 10, m.submit},
		{"advance", 16, func() { m.advance(int64(25 + m.random.IntN(200))) }},
		{"lapse", 1, func() { m.advance(int64(3000 + m.random.IntN(16000))) }},
		{"cancel", 3, m.cancel},
		{"lose", 2, func() { m.lose(w) }},
		{"list a former attempt", 3, func() { m.listFormer(w) }},
		{"restart", 1, func() { m.restart(w) }},
		{"leave", 1, func() { m.leave(w) }},
		{"drain", 1, func() { w.draining = !w.draining }},
		{"pause", 3, func() { m.log.paused = true }},
		{"commit", 8, func() { m.log.paused = false; m.log.commitAll() }},
		{"refuse records", 1, func() { m.log.busy = true }},
		{"take records", 4, func() { m.log.busy = false }},
		{"configure", 1, m.configure},
		{"change leaders", 1, m.changeLeaders},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := m.random.IntN(total)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			a.do()
			return a.name
		}
	}
	return ""
}

func (m *sumsModel) submit() {
	id := jobID(fmt.Sprint(len(m.jobs)))
	spec := sumsSpec{account: []string{"a", "b", "c"}[m.random.IntN(3)], gang: m.chance(30)}
	spec.need = batch.Resources{CPUMilli: int64(1+m.random.IntN(3)) * 500, MemoryMB: int64(m.random.IntN(3)) * 500, Accelerators: int64(m.random.IntN(8) / 7)}
	step := batch.Step{
		Count: 1 + m.random.IntN(4), Need: spec.need, EstimateMs: 500, Gang: spec.gang, Speculative: !spec.gang && m.chance(50),
		LongRunning: m.chance(10),
	}
	m.scheduler.Call(&batch.Call{Credential: batch.DigestOf(spec.account), Submit: &batch.Submission{
		Host: "h", Path: "/q/" + id, Job: batch.Job{Text: "text", Steps: []batch.Step{step}},
	}}, m.uptime.ms, func(batch.Reply) {})
	m.log.commitAll()
	m.specs[id], m.jobs = spec, append(m.jobs, id)
}

func (m *sumsModel) cancel() {
	if len(m.jobs) == 0 {
		return
	}
	path := "/q/" + m.jobs[max(0, len(m.jobs)-1-m.random.IntN(12))]
	m.scheduler.Call(&batch.Call{Operator: true, Cancel: &batch.RequestTarget{Host: "h", Path: path}}, m.uptime.ms, func(batch.Reply) {})
	m.log.commitAll()
}

// beat sends a worker's heartbeat; the worker obeys most orders of the reply.
func (m *sumsModel) beat(w *sumsWorker) {
	w.sequence++
	incarnation := w.incarnation
	report := &batch.Heartbeat{
		Worker: w.name, Incarnation: w.incarnation, Sequence: w.sequence, Pool: "p", Address: w.name, Capacity: w.capacity, Draining: w.draining,
		Labels: []string{"a", "r1"}, ClockMs: m.uptime.ms, Running: slices.Clone(w.running), Ended: slices.Clone(w.ended),
	}
	m.scheduler.Call(&batch.Call{Heartbeat: report}, m.uptime.ms, func(r batch.Reply) {
		if w.incarnation != incarnation {
			return
		}
		w.ended = slices.DeleteFunc(w.ended, func(e batch.EndReport) bool { return e.Number <= r.Orders.Acknowledged })
		for _, o := range r.Orders.Start {
			m.started++
			if m.specs[o.Task.Job].gang {
				m.gangs++
			}
			if m.chance(90) {
				w.running = append(w.running, batch.Running{Task: o.Task, Attempt: o.Attempt, Percent: 1})
			}
		}
		for _, o := range r.Orders.Stop {
			if m.chance(60) {
				w.running = slices.DeleteFunc(w.running, func(r batch.Running) bool { return r.Task == o.Task && r.Attempt == o.Attempt })
			}
		}
	})
	m.log.commitAll()
}

// end ends a task of a worker.
func (m *sumsModel) end(w *sumsWorker) {
	if len(w.running) == 0 {
		return
	}
	i := m.random.IntN(len(w.running))
	kind := batch.EndDone
	if m.chance(25) {
		kind = batch.EndFailed
	}
	w.ends++
	w.ended = append(w.ended, batch.EndReport{Number: w.ends, Task: w.running[i].Task, Attempt: w.running[i].Attempt, Kind: kind})
	m.history = append(m.history, w.running[i])
	w.running = slices.Delete(w.running, i, i+1)
}

// lose makes a worker drop a task without a report.
func (m *sumsModel) lose(w *sumsWorker) {
	if len(w.running) > 0 {
		i := m.random.IntN(len(w.running))
		m.history = append(m.history, w.running[i])
		w.running = slices.Delete(w.running, i, i+1)
	}
}

// listFormer makes a worker list an attempt that has ended or was lost, perhaps on another worker.
func (m *sumsModel) listFormer(w *sumsWorker) {
	if len(m.history) == 0 {
		return
	}
	former := m.history[max(0, len(m.history)-1-m.random.IntN(5))]
	if !slices.ContainsFunc(w.running, func(r batch.Running) bool { return r.Task == former.Task }) {
		w.running = append(w.running, former)
	}
}

func (m *sumsModel) restart(w *sumsWorker) {
	w.incarnation, w.sequence, w.ends, w.ended = w.incarnation+1, 0, 0, nil
	if m.chance(80) {
		m.history = append(m.history, w.running...)
		w.running = nil
	}
}

func (m *sumsModel) leave(w *sumsWorker) {
	m.scheduler.Call(&batch.Call{Deregister: &batch.Deregistration{Worker: w.name, Incarnation: w.incarnation}}, m.uptime.ms, func(batch.Reply) {})
	m.log.commitAll()
	m.restart(w)
}

// changeLeaders loses what isn't committed, and has the same or another process lead.
func (m *sumsModel) changeLeaders() {
	m.log.leads, m.log.proposals, m.log.confirmations, m.log.busy = false, nil, nil, false
	m.log.term++
	m.scheduler.HandleLogChange()
	m.log.paused = false
	if m.chance(50) {
		m.start(fmt.Sprintf("leader-%d", m.log.term))
		return
	}
	m.log.leads = true
	m.log.term++
	m.scheduler.HandleLogChange()
	m.log.commitAll()
}

func (m *sumsModel) held() map[string]batch.Resources {
	all := map[string]batch.Resources{}
	for _, name := range []string{"a", "b", "c"} {
		all[name] = m.scheduler.Held(name)
	}
	return all
}

// limitOf returns the limit of an account in force, none without accounts.
func (m *sumsModel) limitOf(name string) batch.Resources {
	if a := m.log.batch.State().Configuration.Account(name); a != nil {
		return a.Limit
	}
	return batch.Resources{}
}

// check returns what is wrong with what the accounts hold, empty for nothing.
func (m *sumsModel) check(before map[string]batch.Resources) string {
	tasks, givenUp := m.scheduler.HeldTasks()
	sums := map[string]batch.Resources{}
	for _, id := range tasks {
		account, need := m.log.batch.Job(id.Job).Spec.Account, m.specs[id.Job].need
		sums[account] = sums[account].Add(need)
	}
	noneGivenUp := true
	for id := range givenUp {
		noneGivenUp = noneGivenUp && m.givenUp[id]
	}
	m.givenUp = givenUp
	if len(givenUp) > 0 {
		m.gaveUp++
	}
	for name, held := range m.held() {
		if held != sums[name] {
			return fmt.Sprintf("%s holds %+v, and %+v is counted", name, sums[name], held)
		}
		limit := m.limitOf(name)
		above := limit.CPUMilli > 0 && held.CPUMilli > max(limit.CPUMilli, before[name].CPUMilli) ||
			limit.MemoryMB > 0 && held.MemoryMB > max(limit.MemoryMB, before[name].MemoryMB)
		if above && noneGivenUp {
			return fmt.Sprintf("%s holds %+v after %+v, above its limit %+v", name, held, before[name], limit)
		}
	}
	return ""
}
