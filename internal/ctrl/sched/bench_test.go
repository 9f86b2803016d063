package sched_test

import (
	"fmt"
	"testing"

	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
)

const (
	benchWorkers        = 61
	benchTasksPerWorker = 7
)

// TestBacklogOverloadsLeader checks that a heartbeat costs the leader no more where a long backlog waits.
func TestBacklogOverloadsLeader(t *testing.T) {
	allocations := func(backlog int) float64 {
		h := newBenchHarness(backlog)
		return testing.AllocsPerRun(1000, func() { h.beat(0) })
	}
	short, long := allocations(10), allocations(1000)
	if long > 2*short {
		t.Errorf("a heartbeat allocates %.0f times with 1000 jobs waiting, %.0f times with 10", long, short)
	}
}

// BenchmarkHeartbeat measures a heartbeat of a full worker that reports one end, while a backlog of jobs waits for its
// pool.
func BenchmarkHeartbeat(b *testing.B) {
	for _, backlog := range []int{10, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("backlog=%d", backlog), func(b *testing.B) {
			h := newBenchHarness(backlog)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h.beat(i % benchWorkers)
			}
		})
	}
}

// BenchmarkTick measures a tick while a backlog of jobs waits.
func BenchmarkTick(b *testing.B) {
	h := newBenchHarness(3000)
	for b.Loop() {
		h.uptime.ms += sched.TickMs
		h.scheduler.Tick()
		h.log.commitAll()
	}
}

// TestBacklogOfGangsOverloadsLeader checks that a tick costs the leader no more where many gangs wait for room.
func TestBacklogOfGangsOverloadsLeader(t *testing.T) {
	allocations := func(backlog int) float64 {
		h := newGangHarness(backlog)
		return testing.AllocsPerRun(100, h.tick)
	}
	short, long := allocations(10), allocations(300)
	if long > 2*short {
		t.Errorf("a tick allocates %.0f times with 300 gangs waiting, %.0f times with 10", long, short)
	}
}

// BenchmarkGangTick measures a tick while a backlog of gangs waits for room.
func BenchmarkGangTick(b *testing.B) {
	for _, backlog := range []int{10, 300, 1000} {
		b.Run(fmt.Sprintf("backlog=%d", backlog), func(b *testing.B) {
			h := newGangHarness(backlog)
			for b.Loop() {
				h.tick()
			}
		})
	}
}

// newGangHarness returns a scheduler with workers that have room for some members of a gang, but not for all.
func newGangHarness(backlog int) *benchHarness {
	h := newBenchHarness(0)
	for i := range backlog {
		h.scheduler.Call(&batch.Call{Submit: &batch.Submission{Host: "h", Path: fmt.Sprintf("/q/%016x", 1<<32+i), Job: batch.Job{
			Text: "text", Steps: []batch.Step{{
				Count: benchWorkers + 1, Gang: true, SameRack: true, Need: batch.Resources{CPUMilli: 33000, MemoryMB: 9000}, EstimateMs: 640,
			}},
		}}}, h.uptime.ms, func(batch.Reply) {})
		h.log.commitAll()
	}
	return h
}

// tick ticks the scheduler; the clock stands still, so that the workers stay known.
func (h *benchHarness) tick() {
	h.scheduler.Tick()
	h.log.commitAll()
}

// benchHarness drives a scheduler with workers that run what they are told and end their oldest task at each heartbeat.
type benchHarness struct {
	*harness
	running [benchWorkers][]batch.Running
	ended   [benchWorkers]uint64
	beats   [benchWorkers]uint64
	jobs    int
	started int
	backlog int
}

func newBenchHarness(backlog int) *benchHarness {
	h := &benchHarness{harness: newHarness(), backlog: backlog}
	h.call("configure", &batch.Call{Configure: &batch.Configuration{
		Version: 1, Text: []byte("text"),
		Queues: []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMs: 3000, TimeoutMs: 3000}},
		Pools:  []batch.Pool{{Name: "p", AdmissionCheck: true}},
	}})
	h.fill()
	for w := range benchWorkers {
		h.beat(w)
	}
	return h
}

// fill submits jobs until the backlog is as large as it should be.
func (h *benchHarness) fill() {
	for ; h.jobs*8-h.started < h.backlog*8; h.jobs++ {
		h.scheduler.Call(&batch.Call{Submit: &batch.Submission{Host: "h", Path: fmt.Sprintf("/q/%016x", h.jobs), Job: batch.Job{
			Text: "text", Steps: []batch.Step{{Count: 8, Need: batch.Resources{CPUMilli: 8100, MemoryMB: 9000}, EstimateMs: 640}},
		}}}, h.uptime.ms, func(batch.Reply) {})
		h.log.commitAll()
	}
}

// beat sends a worker's heartbeat: its oldest task has ended.
func (h *benchHarness) beat(w int) {
	h.beats[w]++
	report := &batch.Heartbeat{
		Worker: fmt.Sprintf("i-%010d", w), Incarnation: 1, Sequence: h.beats[w], Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", w),
		Capacity: batch.Resources{CPUMilli: 64000, MemoryMB: 128000}, Labels: []string{"a", "r1"},
	}
	if len(h.running[w]) >= benchTasksPerWorker {
		h.ended[w]++
		oldest := h.running[w][0]
		report.Ended = []batch.EndReport{{Number: h.ended[w], Task: oldest.Task, Attempt: oldest.Attempt, Kind: batch.EndDone}}
		h.running[w] = h.running[w][1:]
	}
	report.Running = h.running[w]
	h.scheduler.Call(&batch.Call{Heartbeat: report}, h.uptime.ms, func(r batch.Reply) {
		for _, s := range r.Orders.Start {
			h.running[w] = append(h.running[w], batch.Running{Task: s.Task, Attempt: s.Attempt, Percent: 10})
			h.started++
		}
	})
	h.log.commitAll()
	h.uptime.ms++
	h.fill()
}

// BenchmarkEndsAfterCut measures the heartbeats in which a worker that was cut off reports all that has ended there, 500 ends at a
// time.
func BenchmarkEndsAfterCut(b *testing.B) {
	for _, tasks := range []int{1000, 6000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				h, ends := newCutHarness(tasks)
				b.StartTimer()
				for len(ends) > 0 {
					listed := ends[:min(len(ends), endsPerHeartbeat)]
					ends = ends[len(listed):]
					h.heartbeat(&batch.Heartbeat{Ended: listed, MoreEnds: len(ends) > 0})
				}
			}
		})
	}
}

// endsPerHeartbeat is how many ends a worker lists at a time.
const endsPerHeartbeat = 500

// cutHarness is a scheduler with one worker, whose heartbeats are numbered.
type cutHarness struct {
	*harness
	number uint64
}

// newCutHarness returns a scheduler with a worker on which a number of tasks run, and their ends.
func newCutHarness(tasks int) (*cutHarness, []batch.EndReport) {
	h := &cutHarness{harness: newHarness()}
	h.call("", &batch.Call{Configure: &batch.Configuration{
		Version: 1, Queues: []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, TimeoutMs: 1000}}, Pools: []batch.Pool{{Name: "p"}},
	}})
	for i := range tasks / endsPerHeartbeat {
		h.call("", &batch.Call{Submit: &batch.Submission{Host: "h", Path: "/q/" + jobID(fmt.Sprint(i)), Job: batch.Job{
			Steps: []batch.Step{{Count: endsPerHeartbeat, Need: batch.Resources{CPUMilli: 1, MemoryMB: 1}, EstimateMs: 4000}},
		}}})
	}
	var running []batch.Running
	var ends []batch.EndReport
	for started := -1; started != len(running); {
		started = len(running)
		for _, o := range h.heartbeat(&batch.Heartbeat{Running: running}).Orders.Start {
			running = append(running, batch.Running{Task: o.Task, Attempt: o.Attempt, Percent: 1})
			ends = append(ends, batch.EndReport{Number: uint64(len(running)), Task: o.Task, Attempt: o.Attempt, Kind: batch.EndDone})
		}
	}
	return h, ends
}

// heartbeat sends the worker's next heartbeat with its lists, and returns the reply.
func (h *cutHarness) heartbeat(r *batch.Heartbeat) (reply batch.Reply) {
	h.number++
	r.Worker, r.Incarnation, r.Sequence, r.Pool, r.Address = "w1", 1, h.number, "p", "w1"
	r.Capacity = batch.Resources{CPUMilli: 1_000_000, MemoryMB: 1_000_000}
	h.scheduler.Call(&batch.Call{Heartbeat: r}, h.uptime.ms, func(given batch.Reply) { reply = given })
	h.log.commitAll()
	return reply
}
