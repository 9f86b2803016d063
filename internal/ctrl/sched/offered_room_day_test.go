package sched_test

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"cowslipstack/internal/model/batch"
)

const (
	// maintenanceMs is how long a machine is away for maintenance, as the harness tells the scheduler.
	maintenanceMs = 2000
	// roomTaskMs is how long a task that ends runs on average, and roomMemoryMB what each task needs.
	roomTaskMs   = 1500
	roomMemoryMB = 1000
	roomCPUMilli = 16_000
	// roomWide is the number of tasks of a wide step that lasts.
	roomWide = 24
)

// roomDay is a drawn day of machines that crash, fail and are maintained under jobs of all kinds.
type roomDay struct {
	*crashFleet

	watch   *roomWatch
	beganMs int64
	jobs    []roomJob
	byID    map[string]*roomJob
	// arrived is the number of jobs that were submitted so far.
	arrived int
	// failing holds, by machine, when all that starts there fails, in milliseconds of the day.
	failing []span
	// maintained holds the machines that are away for maintenance.
	maintained []bool
	wave       batch.Wave
	waveMs     int64
	// quiet is set on days on which few sound jobs arrive that end.
	quiet bool
	// taskCPUMilli is what a task that ends needs on average.
	taskCPUMilli int64
}

// span is a time of the day.
type span struct{ fromMs, toMs int64 }

// roomJob is a job of a day.
type roomJob struct {
	id     string
	sentMs int64
	steps  []batch.Step
	// fails is set if all its tasks fail; crashAfterMs is how long after its start the first task of its last step crashes its
	// worker, 0 for never.
	fails        bool
	crashAfterMs int64
	accepted     bool
	// starts counts the starts of its deadly task.
	starts int
}

// lasts reports whether a job ends only when it is cancelled.
func (j *roomJob) lasts() bool { return j.steps[len(j.steps)-1].LongRunning }

// isDeadly reports whether a task of the job crashes its worker.
func (j *roomJob) isDeadly(id batch.TaskID) bool {
	return j.crashAfterMs > 0 && id.Step == len(j.steps)-1 && id.Index == 0
}

func newRoomDay(seed uint64) *roomDay {
	random := rand.New(rand.NewPCG(seed, 0))
	capacity := batch.Resources{CPUMilli: roomCPUMilli, MemoryMB: 64_000}
	d := &roomDay{byID: map[string]*roomJob{}, crashFleet: newCrashFleet(random, 4+random.IntN(21), capacity)}
	d.load, d.beganMs, d.quiet, d.taskCPUMilli = d, d.uptime.ms, d.chance(25), []int64{700, 2000}[d.random.IntN(2)]
	d.failing, d.maintained = make([]span, len(d.machines)), make([]bool, len(d.machines))
	for i := range d.machines {
		d.restart(i, 0)
	}
	d.drawLasting()
	d.drawEnding()
	d.drawDeadly()
	d.drawFailures()
	d.drawWave()
	slices.SortStableFunc(d.jobs, func(a, b roomJob) int { return cmp.Compare(a.sentMs, b.sentMs) })
	for i := range d.jobs {
		j := &d.jobs[i]
		j.id = crashJobID(i + 1)
		d.byID[j.id] = j
	}
	d.watch = newRoomWatch(d)
	return d
}

// between draws a number from a range.
func (d *roomDay) between(least, most int64) int64 { return least + d.random.Int64N(most-least+1) }

// chance draws whether something of a probability in percent happens.
func (d *roomDay) chance(percent int64) bool { return d.random.Int64N(100) < percent }

// drawLasting draws a wide job that lasts, with one task a worker, and narrow ones, some of them behind a step that ends.
func (d *roomDay) drawLasting() {
	wide := d.lastingStep(roomWide)
	wide.MaxPerWorker = 1
	d.jobs = append(d.jobs, roomJob{sentMs: d.between(0, 5000), steps: []batch.Step{wide}})
	for range d.between(2, 4+int64(len(d.machines))/4) {
		steps := []batch.Step{d.lastingStep(int(d.between(1, 4)))}
		steps[0].MaxPerWorker = int(d.between(0, 2))
		if d.chance(30) {
			steps[0].After = []int{0}
			steps = append([]batch.Step{d.endingStep(3)}, steps...)
		}
		d.jobs = append(d.jobs, roomJob{sentMs: d.between(0, roomArrivalsMs), steps: steps})
	}
}

func (d *roomDay) lastingStep(count int) batch.Step {
	return batch.Step{
		Count: count, Need: batch.Resources{CPUMilli: d.between(500, 2000), MemoryMB: roomMemoryMB}, EstimateMs: roomTaskMs,
		LongRunning: true, MaxUnavailable: 1 + count/4,
	}
}

func (d *roomDay) endingStep(count int64) batch.Step {
	return batch.Step{
		Count: int(d.between(1, 2*count-1)), EstimateMs: roomTaskMs,
		Need: batch.Resources{CPUMilli: d.between(d.taskCPUMilli/2, 3*d.taskCPUMilli/2), MemoryMB: roomMemoryMB},
	}
}

// drawEnding draws jobs that end, at a rate that takes a part of the pool, with a surge on some days.
func (d *roomDay) drawEnding() {
	width := 16_000 / d.taskCPUMilli
	// At this rate jobs of so many tasks fill the pool.
	fullRate := float64(len(d.machines)) * roomCPUMilli / float64(width*d.taskCPUMilli*roomTaskMs)
	rate := fullRate * float64(d.between(10, 80)) / 100
	if d.quiet {
		rate /= 20
	}
	surge := span{}
	if !d.quiet && d.chance(50) {
		surge.fromMs = d.between(3000, 15_000)
		surge.toMs = surge.fromMs + d.between(1000, 5000)
	}
	due := 0.0
	for ms := range int64(roomArrivalsMs) {
		due += rate
		if ms >= surge.fromMs && ms < surge.toMs {
			due += 2 * fullRate
		}
		for ; due >= 1; due-- {
			steps := []batch.Step{d.endingStep(width)}
			if d.chance(20) {
				second := d.endingStep(4)
				second.After = []int{0}
				steps = append(steps, second)
			}
			d.jobs = append(d.jobs, roomJob{sentMs: ms, steps: steps})
		}
	}
}

// drawDeadly draws jobs whose first task is deadly: none, a few or many; half of them crash their worker at their start.
func (d *roomDay) drawDeadly() {
	machines := int64(len(d.machines))
	most, fromMs := []int64{0, 2, machines / 2, machines}[d.random.IntN(4)], d.between(0, 8000)
	for range d.between(most/2, most) {
		j := roomJob{sentMs: fromMs + d.between(0, 8000), steps: []batch.Step{d.endingStep(6)}, crashAfterMs: d.between(1, crashStartMs)}
		if d.chance(50) {
			j.crashAfterMs = d.between(crashStartMs, 8000)
		}
		if d.chance(15) {
			j.steps = []batch.Step{d.lastingStep(int(d.between(1, 4)))}
		}
		d.jobs = append(d.jobs, j)
	}
}

// drawFailures draws jobs whose tasks all fail, and when all that starts on some or all machines fails.
func (d *roomDay) drawFailures() {
	for range d.between(0, 3) {
		step := d.endingStep(int64(4 + len(d.machines)))
		d.jobs = append(d.jobs, roomJob{sentMs: d.between(0, roomArrivalsMs), steps: []batch.Step{step}, fails: true})
	}
	percent := []int64{0, 20, 100}[d.random.IntN(3)]
	fromMs := d.between(3000, 15_000)
	for i := range d.failing {
		if d.chance(percent) {
			d.failing[i].fromMs = fromMs + d.between(0, 2000)
			d.failing[i].toMs = d.failing[i].fromMs + d.between(2000, 6000)
		}
	}
}

// drawWave draws a wave over half of the machines on some days.
func (d *roomDay) drawWave() {
	if !d.chance(35) {
		return
	}
	d.waveMs = d.between(20, 150) * crashBeatMs
	d.wave = batch.Wave{ID: 1, DurationMs: d.between(20_000, 60_000), MaxConcurrent: int(d.between(1, 2))}
	for i := 0; i < len(d.machines); i += 2 {
		d.wave.VMs = append(d.wave.VMs, roomVM(i))
	}
}
