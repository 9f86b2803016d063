package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

// loadVM is a VM of a simulated fleet and its worker.
type loadVM struct {
	sched.VM

	life, sequence uint64
	nextBeatMs     int64
	upMs           int64
	running        []loadRun
	ended          []batch.EndReport
	ends           uint64
}

// loadRun is an attempt that a VM runs.
type loadRun struct {
	batch.Running

	endMs int64
}

// loadFleet plays a load against a scheduler.
type loadFleet struct {
	*harness

	day    *loadDay
	random *rand.Rand
	vms    []*loadVM
	jobs   []*loadJob
	byID   map[string]*loadJob
	// returns holds the jobs whose callers come back, by time in milliseconds.
	returns map[int64][]*loadJob
	// freeMs is the processor time that each pool has, by second, less what jobs used that ended in time; in core-milliseconds.
	freeMs map[string]map[int64]float64
	used   map[string]map[int64]float64
	began  int64
	moves  int
	// started are the attempts that workers were told to start, as the log names them.
	started map[string]bool
}

func (f *loadFleet) addVMs(pool string, count int64) {
	for range count {
		name := fmt.Sprintf("vm-%03d", len(f.vms))
		f.vms = append(f.vms, &loadVM{VM: sched.VM{
			Name: name, Pool: pool, State: sched.VMUp, Worker: name + "-0",
			Capacity: batch.Resources{CPUMilli: f.day.CPU, MemoryMB: loadMemoryMB}, Labels: []string{"a", fmt.Sprintf("r%d", len(f.vms)/4)},
		}})
	}
}

// play runs the load to its end.
func (f *loadFleet) play() {
	for f.elapsedMs() < f.day.ArrivalsMs+loadTrailMs {
		f.step()
	}
}

// step plays one tick.
func (f *loadFleet) step() {
	f.uptime.ms += sched.TickMs
	f.clock.Advance(sched.TickMs * time.Millisecond)
	f.loseVMs()
	f.arrive()
	for _, v := range f.vms {
		f.run(v)
	}
	f.scheduler.Tick()
	f.log.commitAll()
	f.carryOutOrders()
}

func (f *loadFleet) elapsedMs() int64 { return f.uptime.ms - f.began }

// loseVMs takes down the VMs that the load says are lost.
func (f *loadFleet) loseVMs() {
	if f.day.LostPercent == 0 || f.elapsedMs() != f.day.LostAt {
		return
	}
	for i, v := range f.vms {
		if int64(i*100)%int64(len(f.vms)*100) < int64(len(f.vms))*f.day.LostPercent {
			v.State, v.running, v.Worker = sched.VMDown, nil, ""
		}
	}
}

// arrive submits the jobs that are due, and those whose refused callers come back.
func (f *loadFleet) arrive() {
	for _, j := range f.returns[f.elapsedMs()] {
		f.submit(j)
	}
	delete(f.returns, f.elapsedMs())
	if f.elapsedMs() > f.day.ArrivalsMs {
		return
	}
	for _, q := range f.day.Queues {
		rate := float64(q.PerMinute) / 60_000
		if q.surges(f.elapsedMs()) {
			rate *= float64(q.Surge) / 100
		}
		rate *= float64(f.askedPart(q)) / 100
		for q.due += rate * sched.TickMs; q.due >= 1; q.due-- {
			f.submit(f.newJob(q))
		}
	}
}

// askedPart returns what all accounts ask for at present, in percent of their usual.
func (f *loadFleet) askedPart(q *loadQueue) int64 {
	if len(f.day.Accounts) == 0 {
		return 100
	}
	var part int64
	for _, a := range f.day.Accounts {
		part += a.asks(q, f.elapsedMs())
	}
	return part
}

// asks returns what an account asks of a queue, in percent of what all accounts usually ask for.
func (a *loadAccount) asks(q *loadQueue, elapsedMs int64) int64 {
	if q.surges(elapsedMs) {
		return a.Part * a.Surge / 100
	}
	return a.Part
}

// drawAccount returns the account of a queue's next job, nil without accounts.
func (f *loadFleet) drawAccount(q *loadQueue) *loadAccount {
	if len(f.day.Accounts) == 0 {
		return nil
	}
	left := q.random.Int64N(f.askedPart(q))
	for _, a := range f.day.Accounts {
		if left -= a.asks(q, f.elapsedMs()); left < 0 {
			return a
		}
	}
	return nil
}

func (f *loadFleet) newJob(q *loadQueue) *loadJob {
	j := &loadJob{queue: q, account: f.drawAccount(q), sentMs: f.elapsedMs(), spec: batch.Job{Text: "text"}}
	steps := 1 + q.random.Int64N(max(1, 2*q.Steps-1))
	for i := range int(steps) {
		s := batch.Step{
			Count: int(1 + q.random.Int64N(2*q.Width-1)), EstimateMs: q.Ms/2 + q.random.Int64N(q.Ms),
			Need: batch.Resources{CPUMilli: q.CPU/2 + q.random.Int64N(q.CPU), MemoryMB: 1000},
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.spec.Steps = append(j.spec.Steps, s)
		j.chainMs += s.EstimateMs
		j.workMs += int64(s.Count) * s.EstimateMs * s.Need.CPUMilli / 1000
	}
	j.objectiveMs = int64(loadSlack*float64(j.chainMs)) + loadTargetMs
	j.spec.ID = fmt.Sprintf("%016x", len(f.jobs)+1)
	f.jobs = append(f.jobs, j)
	f.byID[j.spec.ID] = j
	return j
}

func (f *loadFleet) submit(j *loadJob) {
	c := &batch.Call{Submit: &batch.Submission{Host: "h", Path: "/" + j.queue.Name + "/" + j.spec.ID, Job: j.spec}}
	if j.account != nil {
		c.Credential = batch.DigestOf(j.account.Name)
	}
	f.scheduler.Call(c, f.uptime.ms,
		func(r batch.Reply) {
			switch {
			case r.Code == batch.CodeOK:
				j.accepted = true
			case j.refusals < loadCallerRetries:
				j.refusals++
				at := f.elapsedMs() + max(r.RetryAfterMs, 1000)
				at += (sched.TickMs - at%sched.TickMs) % sched.TickMs
				f.returns[at] = append(f.returns[at], j)
			default:
				j.refusals++
			}
		})
	f.log.commitAll()
}

// run ends the tasks of a VM that are done and sends its worker's heartbeat when it is due.
func (f *loadFleet) run(v *loadVM) {
	now := f.uptime.ms
	if v.State == sched.VMMoving && now >= v.upMs {
		v.life++
		v.State, v.Worker, v.sequence, v.ends, v.ended = sched.VMUp, fmt.Sprintf("%s-%d", v.Name, v.life), 0, 0, nil
		v.nextBeatMs = now
	}
	if v.State != sched.VMUp || v.Pool == "spare" {
		return
	}
	f.account(v)
	v.running = slices.DeleteFunc(v.running, func(r loadRun) bool {
		if r.endMs > now {
			return false
		}
		v.ends++
		v.ended = append(v.ended, batch.EndReport{Number: v.ends, Task: r.Task, Attempt: r.Attempt, Kind: batch.EndDone})
		v.nextBeatMs = min(v.nextBeatMs, now+loadEndMs)
		return true
	})
	if now >= v.nextBeatMs {
		f.beat(v)
	}
}

// account adds a step's processor time of a VM to what its pool has, and to what the jobs on it use.
func (f *loadFleet) account(v *loadVM) {
	second := f.elapsedMs() / 1000
	add(f.freeMs, v.Pool, second, float64(f.day.CPU)/1000*sched.TickMs)
	for _, r := range v.running {
		step := f.byID[r.Task.Job].spec.Steps[r.Task.Step]
		add(f.used, r.Task.Job, second, float64(step.Need.CPUMilli)/1000*sched.TickMs)
	}
}

func add(sums map[string]map[int64]float64, key string, second int64, amount float64) {
	if sums[key] == nil {
		sums[key] = map[int64]float64{}
	}
	sums[key][second] += amount
}

// beat sends a worker's heartbeat and obeys the reply.
func (f *loadFleet) beat(v *loadVM) {
	now := f.uptime.ms
	v.sequence++
	h := &batch.Heartbeat{
		Worker: v.Worker, Incarnation: int64(v.life) + 1, Sequence: v.sequence, Pool: v.Pool, Address: v.Worker, Capacity: v.Capacity,
		Labels: v.Labels, Ended: v.ended,
	}
	for _, r := range v.running {
		r.Percent = int(min(99, 100*(now-r.endMs+10_000)/10_000))
		h.Running = append(h.Running, r.Running)
	}
	f.scheduler.Call(&batch.Call{Heartbeat: h}, now, func(r batch.Reply) {
		o := r.Orders
		v.nextBeatMs = now + max(sched.TickMs, o.NextHeartbeatMs)
		v.ended = slices.DeleteFunc(v.ended, func(e batch.EndReport) bool { return e.Number <= o.Acknowledged })
		for _, s := range o.Start {
			f.started[fmt.Sprintf("%s.%d.%d.%d#%d", s.Task.Job, s.Task.Occurrence, s.Task.Step, s.Task.Index, s.Attempt)] = true
			step := f.byID[s.Task.Job].spec.Steps[s.Task.Step]
			v.running = append(v.running, loadRun{
				Running: batch.Running{Task: s.Task, Attempt: s.Attempt}, endMs: now + step.EstimateMs*(75+f.random.Int64N(56))/100,
			})
		}
		for _, s := range o.Stop {
			v.running = slices.DeleteFunc(v.running, func(r loadRun) bool { return r.Task == s.Task && r.Attempt == s.Attempt })
		}
	})
	f.log.commitAll()
	f.noteDone()
}

// noteDone records when jobs were completed.
func (f *loadFleet) noteDone() {
	for _, j := range f.jobs {
		if j.doneMs == 0 && j.accepted {
			if state := f.log.batch.Job(j.spec.ID); state != nil && state.Phase == batch.PhaseCompleted {
				j.doneMs = f.elapsedMs()
			}
		}
	}
}

// carryOutOrders answers reads of the VM list and carries out moves.
func (f *loadFleet) carryOutOrders() {
	orders := f.orders
	f.orders = nil
	for _, o := range orders {
		r := sched.OrderResult{Code: sched.OrderDone}
		for _, v := range f.vms {
			switch {
			case o.Kind == sched.OrderList:
				r.VMs = append(r.VMs, v.VM)
			case o.Kind == sched.OrderMove && v.Name == o.VM:
				f.moves++
				v.Pool, v.running, v.Worker, v.upMs, v.State = o.Pool, nil, "", f.uptime.ms+loadMoveMs, sched.VMMoving
				if o.Pool == "spare" {
					v.State = sched.VMUp
				}
			}
		}
		o.Done(r)
		f.log.commitAll()
	}
}
