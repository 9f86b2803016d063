package sched

import (
	"cmp"
	"maps"
	"slices"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/batch"
)

// candidate is a VM that a wave may take next.
type candidate struct {
	vm      *vm
	empty   bool
	lasting bool
	load    int64
}

// steerWaves takes down VMs of waves that are due.
func (e *Scheduler) steerWaves(now int64) {
	for _, v := range e.fleet.vms {
		v.maintain, v.due = false, false
	}
	book := e.options.Log.Book()
	for i := range book.State().Waves {
		if w := &book.State().Waves[i]; len(w.Begun) < len(w.VMs) {
			e.steerWave(w, now)
		}
	}
}

func (e *Scheduler) steerWave(w *batch.Wave, now int64) {
	down := e.downOf(w, now)
	left := e.leftOf(w)
	remaining := w.AcceptedMs + w.DurationMs - e.wall()
	for _, c := range left {
		if down >= w.MostAtOnce {
			break
		}
		if c.empty && c.vm.orderable(now) {
			if e.maintain(w, c.vm, now) {
				down++
			}
			continue
		}
		press := remaining < waveMarginMs+int64(len(left)/w.MostAtOnce)*(e.options.Bounds.UpkeepMs+milli)
		if c.vm.orderable(now) && c.onlyLasting(e) && e.missesAllowed(c.vm, now) || press && c.vm.orderable(now) && e.missesAllowed(c.vm, now) {
			if e.maintain(w, c.vm, now) {
				down++
			}
		}
	}
	e.prepare(w, left, now)
}

// evacuate moves lasting tasks off a VM, a few at a time, where others can take them and enough of their step are at work.
func (e *Scheduler) evacuate(v *vm, now int64) {
	source := e.workers[v.Worker]
	if source == nil || e.stopsOpen(now) {
		return
	}
	moved := map[gangKey]int{}
	for _, id := range e.sortedRuns(v.Worker) {
		j, t := e.find(id)
		if t == nil || !j.Job.Steps[id.Step].LongRunning || e.stopping[id] > 0 {
			continue
		}
		key := gangOf(id)
		one := &work{job: j, ready: []batch.TaskID{id}}
		if e.away(j, key)+moved[key] >= j.Job.Steps[id.Step].AllowedMisses || !e.elsewhere(source, one, now) {
			continue
		}
		a := source.running[id]
		if a == nil {
			continue
		}
		moved[key]++
		e.stopping[id] = a.number
		e.options.Logger.Info("task_moving", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("index", id.Index),
			zap.Int("attempt", a.number), zap.String("vm", v.Name))
	}
}

// stopsOpen says whether a stop that a former leader ordered may still end a lasting task that counts as at work: stops
// aren't recorded.
func (e *Scheduler) stopsOpen(now int64) bool {
	return now < e.stopsMs
}

// sortedRuns returns the tasks with attempts on a worker in a fixed order.
func (e *Scheduler) sortedRuns(worker string) []batch.TaskID {
	return slices.SortedFunc(maps.Keys(e.options.Log.Book().RunsOn(worker)), func(a, b batch.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

// away returns how many tasks of a lasting step are not at work, or are about to stop.
func (e *Scheduler) away(j *jobs.Job, key gangKey) int {
	count, at := 0, j.Place(key.occurrence, key.step)
	for i := range j.Job.Steps[key.step].Count {
		id := batch.TaskID{Job: key.job, Occurrence: key.occurrence, Step: key.step, Index: i}
		if e.stopping[id] > 0 || !e.atWork(&j.Tasks[at+i], id) {
			count++
		}
	}
	return count
}

// downOf returns how many VMs of a wave are down for it.
func (e *Scheduler) downOf(w *batch.Wave, now int64) int {
	down := map[string]bool{}
	for name, until := range e.fleet.downFor[w.ID] {
		if until > now {
			down[name] = true
		} else {
			delete(e.fleet.downFor[w.ID], name)
		}
	}
	for _, name := range w.VMs {
		v := e.fleet.vms[name]
		if v != nil && (v.State == VMMaintained || v.ordered) || e.fleet.maybeDown[name] > now {
			down[name] = true
		}
	}
	return len(down)
}

// leftOf returns the VMs that a wave has still to take, those first that cost least; VMs that are gone are recorded.
func (e *Scheduler) leftOf(w *batch.Wave) []candidate {
	var left []candidate
	for _, name := range w.VMs {
		if slices.Contains(w.Begun, name) {
			continue
		}
		v := e.fleet.vms[name]
		if v == nil {
			if !e.fleet.reading && e.fleet.listedMs > e.activeMs {
				e.begun(w, name, "vm_not_listed")
			}
			continue
		}
		v.due = true
		load, empty, lasting := e.load(v)
		left = append(left, candidate{vm: v, empty: empty, lasting: lasting, load: load})
	}
	slices.SortStableFunc(left, func(a, b candidate) int {
		switch {
		case a.empty != b.empty:
			return boolInt(b.empty) - boolInt(a.empty)
		case a.lasting != b.lasting:
			return boolInt(a.lasting) - boolInt(b.lasting)
		case a.load < b.load:
			return -1
		default:
			return boolInt(a.load > b.load)
		}
	})
	return left
}

// begun records that a VM has begun its maintenance, or is gone.
func (e *Scheduler) begun(w *batch.Wave, name, cause string) {
	u := batch.Upkeep{Wave: w.ID, VM: name}
	if !slices.Contains(e.commits.next.Upkeeps, u) {
		e.options.Logger.Info("wave_vm_done", zap.Uint64("wave", w.ID), zap.String("vm", name), zap.String("cause", cause),
			zap.Int("begun", len(w.Begun)+1), zap.Int("of", len(w.VMs)))
		e.commits.next.Upkeeps = append(e.commits.next.Upkeeps, u)
	}
}

// prepare keeps tasks from the VMs that come next, so that they run empty.
func (e *Scheduler) prepare(w *batch.Wave, left []candidate, now int64) {
	ahead := w.MostAtOnce
	for _, c := range left {
		if ahead == 0 {
			return
		}
		if c.vm.orderable(now) {
			c.vm.maintain = true
			ahead--
			if c.lasting {
				e.evacuate(c.vm, now)
			}
		}
	}
}

// onlyLasting says whether all that runs on the VM is lasting.
func (c *candidate) onlyLasting(e *Scheduler) bool {
	for id := range e.options.Log.Book().RunsOn(c.vm.Worker) {
		if j, t := e.find(id); t == nil || !j.Job.Steps[id.Step].LongRunning {
			return false
		}
	}
	return true
}

// missesAllowed says whether the lasting tasks on a VM may be away at once.
func (e *Scheduler) missesAllowed(v *vm, now int64) bool {
	ending := map[gangKey]int{}
	for id := range e.options.Log.Book().RunsOn(v.Worker) {
		if j, t := e.find(id); t != nil && j.Job.Steps[id.Step].LongRunning {
			ending[gangOf(id)]++
		}
	}
	if len(ending) > 0 && e.stopsOpen(now) {
		return false
	}
	for key, count := range ending {
		j := e.options.Log.Book().Job(key.job)
		if count+e.away(j, key) > j.Job.Steps[key.step].AllowedMisses {
			return false
		}
	}
	return true
}

// maintain orders a VM down for a wave.
func (e *Scheduler) maintain(w *batch.Wave, v *vm, now int64) bool {
	if !e.spend(now) {
		return false
	}
	wave, name := w.ID, v.Name
	e.options.Logger.Info("vm_maintaining", zap.String("vm", name), zap.String("pool", v.Pool), zap.Uint64("wave", wave),
		zap.Int("running", len(e.options.Log.Book().RunsOn(v.Worker))), zap.Uint64("term", e.term))
	if e.fleet.downFor[wave] == nil {
		e.fleet.downFor[wave] = map[string]int64{}
	}
	upkeepTotal.Inc()
	// Until an answer comes, the VM counts as down.
	e.fleet.downFor[wave][name] = now + e.options.Bounds.UpkeepMs + milli
	e.order(v, Order{Kind: OrderMaintain, VM: name, Wave: wave}, now, func() {
		v.State, v.awayMs = VMMaintained, e.now()+e.options.Bounds.UpkeepMs
		e.fleet.downFor[wave][name] = e.now() + e.options.Bounds.UpkeepMs + downMarginMs
		e.done(v)
		if held := e.options.Log.Book().Wave(wave); held != nil {
			e.begun(held, name, "maintenance_begun")
			e.flush()
		}
	})
	return true
}

// downMarginMs is how long after its maintenance a VM still counts as down, in milliseconds.
const downMarginMs = 300

// boolInt returns 1 for true.
func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
