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
	vmLoad

	vm *vm
}

// noteWaves notes the waves that this leader sees for the first time. A list that was requested before may lack VMs of a wave that
// have come since; another one is wanted then.
func (s *Scheduler) noteWaves(now int64) {
	f, waves := &s.fleet, s.options.Log.Batch().State().Waves
	for i := range waves {
		w := &waves[i]
		if _, noted := f.waveKnownMs[w.ID]; !noted {
			f.waveKnownMs[w.ID] = now
			f.listWanted = f.listWanted || slices.ContainsFunc(w.VMs, func(name string) bool { return f.vms[name] == nil })
		}
	}
	if len(f.waveKnownMs) > len(waves) {
		maps.DeleteFunc(f.waveKnownMs, func(id uint64, _ int64) bool { return s.options.Log.Batch().Wave(id) == nil })
	}
}

// runWaves advances the maintenance waves that aren't complete.
func (s *Scheduler) runWaves(now int64) {
	for _, v := range s.fleet.vms {
		v.drainForWave, v.waveDue = false, false
	}
	machine := s.options.Log.Batch()
	for i := range machine.State().Waves {
		w := &machine.State().Waves[i]
		for _, name := range s.returnedVMs(w) {
			s.recordVM(&s.proposals.pending.ReturnedVMs, w, name, "vm_returned")
		}
		if !w.IsComplete() {
			s.runWave(w, now)
		}
	}
}

func (s *Scheduler) runWave(w *batch.Wave, now int64) {
	down := s.countDown(w, now)
	left := s.remainingVMs(w, now)
	remainingMs := w.AcceptedMs + w.DurationMs - s.wallMs()
	for _, c := range left {
		if down >= w.MaxConcurrent {
			break
		}
		if c.empty && c.vm.orderable(now) {
			if s.maintainVM(w, c.vm, now) {
				down++
			}
			continue
		}
		urgent := remainingMs < waveMarginMs+int64(len(left)/w.MaxConcurrent)*(s.options.PlatformLimits.MaintenanceMs+milli)
		if c.vm.orderable(now) && c.onlyLongRunning(s) && s.withinMaxUnavailable(c.vm, now) ||
			urgent && c.vm.orderable(now) && s.withinMaxUnavailable(c.vm, now) {
			if s.maintainVM(w, c.vm, now) {
				down++
			}
		}
	}
	s.drainNext(w, left, now)
}

// evacuate stops long-running tasks on a VM so that they restart elsewhere, a few at a time, if other workers can
// take them and their step stays within its maximum unavailable.
func (s *Scheduler) evacuate(v *vm, now int64) {
	source := s.workers[v.Worker]
	if source == nil || s.formerStopsPending(now) {
		return
	}
	moved := map[stepKey]int{}
	for _, id := range s.sortedTasksOn(v.Worker) {
		j, t := s.findTask(id)
		if t == nil || !j.Spec.Steps[id.Step].LongRunning || s.stopping[id] > 0 {
			continue
		}
		key := stepOf(id)
		if s.countUnavailable(j, key)+moved[key] >= j.Spec.Steps[id.Step].MaxUnavailable || !s.fitsElsewhere(source, &activeJob{state: j}, id, now) {
			continue
		}
		a := source.running[id]
		if a == nil {
			continue
		}
		moved[key]++
		s.stopping[id] = a.number
		s.options.Logger.Info("task_moving", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("index", id.Index),
			zap.Int("attempt", a.number), zap.String("vm", v.Name))
	}
}

// formerStopsPending reports whether a stop ordered by a former leader may still end a long-running task that
// counts as available: stops aren't recorded in the log.
func (s *Scheduler) formerStopsPending(now int64) bool {
	return now < s.formerStopsUntilMs
}

// sortedTasksOn returns the tasks with attempts on a worker in a fixed order.
func (s *Scheduler) sortedTasksOn(worker string) []batch.TaskID {
	return slices.SortedFunc(maps.Keys(s.options.Log.Batch().TasksOn(worker)), func(a, b batch.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

// countUnavailable returns how many tasks of a long-running step are unavailable or about to stop.
func (s *Scheduler) countUnavailable(j *jobs.Job, key stepKey) int {
	count, first := 0, j.FirstTask(key.occurrence, key.step)
	for i := range j.Spec.Steps[key.step].Count {
		id := batch.TaskID{Job: key.job, Occurrence: key.occurrence, Step: key.step, Index: i}
		if s.stopping[id] > 0 || !s.available(&j.Tasks[first+i], id) {
			count++
		}
	}
	return count
}

// countDown returns how many VMs of a wave are down for it.
func (s *Scheduler) countDown(w *batch.Wave, now int64) int {
	down := map[string]bool{}
	for name, until := range s.fleet.downUntilMs[w.ID] {
		if until > now {
			down[name] = true
		} else {
			delete(s.fleet.downUntilMs[w.ID], name)
		}
	}
	for _, name := range w.VMs {
		v := s.fleet.vms[name]
		if v != nil && (v.State == VMMaintained || v.orderPending || v.unanswered) || s.fleet.maybeDownUntilMs[name] > now {
			down[name] = true
		}
	}
	return len(down)
}

// remainingVMs returns the VMs that a wave has still to take, those that cost least first: empty ones, then those
// without long-running tasks, then by load. VMs that the list shows to be gone are recorded as gone.
func (s *Scheduler) remainingVMs(w *batch.Wave, now int64) []candidate {
	var left []candidate
	taken := make(map[string]bool, len(w.Begun)+len(w.Gone))
	for _, name := range slices.Concat(w.Begun, w.Gone) {
		taken[name] = true
	}
	for _, name := range w.VMs {
		if taken[name] {
			continue
		}
		v := s.fleet.vms[name]
		if v == nil {
			if s.fleet.reads.GoneSince(name, s.fleet.waveKnownMs[w.ID]) {
				s.recordVM(&s.proposals.pending.GoneVMs, w, name, "vm_gone")
			}
			continue
		}
		v.waveDue = true
		left = append(left, candidate{vm: v, vmLoad: s.loadOf(v, now)})
	}
	slices.SortStableFunc(left, func(a, b candidate) int {
		switch {
		case a.empty != b.empty:
			return boolInt(b.empty) - boolInt(a.empty)
		case a.longRunning != b.longRunning:
			return boolInt(a.longRunning) - boolInt(b.longRunning)
		case a.cpuMilli < b.cpuMilli:
			return -1
		default:
			return boolInt(a.cpuMilli > b.cpuMilli)
		}
	})
	return left
}

// maxRecordedVMs bounds the VMs of waves in one change, but for those whose maintenance has begun.
const maxRecordedVMs = 512

// recordVM adds a VM of a wave to a list of the pending change, unless it is there or the list is full: the next plan adds it then.
func (s *Scheduler) recordVM(list *[]batch.WaveVM, w *batch.Wave, name, cause string) {
	v := batch.WaveVM{Wave: w.ID, VM: name}
	if slices.Contains(*list, v) || len(*list) >= maxRecordedVMs && list != &s.proposals.pending.MaintenanceStarts {
		return
	}
	*list = append(*list, v)
	s.options.Logger.Info("wave_vm_recorded", zap.Uint64("wave", w.ID), zap.String("vm", name), zap.String("cause", cause),
		zap.Int("begun", len(w.Begun)), zap.Int("gone", len(w.Gone)), zap.Int("of", len(w.VMs)),
		zap.Int64("wave_age_ms", s.wallMs()-w.AcceptedMs), zap.Int64("list_began_ms_ago", s.now()-s.fleet.reads.BeganMs()),
		zap.Uint64("term", s.term))
}

// drainNext drains the VMs that the wave takes next, so that they become empty, and evacuates their long-running
// tasks.
func (s *Scheduler) drainNext(w *batch.Wave, left []candidate, now int64) {
	toDrain := w.MaxConcurrent
	for _, c := range left {
		if toDrain == 0 {
			return
		}
		if c.vm.orderable(now) {
			c.vm.drainForWave = true
			toDrain--
			if c.longRunning {
				s.evacuate(c.vm, now)
			}
		}
	}
}

// onlyLongRunning reports whether all attempts on the VM belong to long-running steps.
func (c *candidate) onlyLongRunning(s *Scheduler) bool {
	for id := range s.options.Log.Batch().TasksOn(c.vm.Worker) {
		if j, t := s.findTask(id); t == nil || !j.Spec.Steps[id.Step].LongRunning {
			return false
		}
	}
	return true
}

// withinMaxUnavailable reports whether the long-running tasks on a VM may be unavailable at once.
func (s *Scheduler) withinMaxUnavailable(v *vm, now int64) bool {
	ending := map[stepKey]int{}
	for id := range s.options.Log.Batch().TasksOn(v.Worker) {
		if j, t := s.findTask(id); t != nil && j.Spec.Steps[id.Step].LongRunning {
			ending[stepOf(id)]++
		}
	}
	if len(ending) > 0 && s.formerStopsPending(now) {
		return false
	}
	for key, count := range ending {
		j := s.options.Log.Batch().Job(key.job)
		if count+s.countUnavailable(j, key) > j.Spec.Steps[key.step].MaxUnavailable {
			return false
		}
	}
	return true
}

// maintainVM orders a VM down for a wave and reports whether the order rate allowed it.
func (s *Scheduler) maintainVM(w *batch.Wave, v *vm, now int64) bool {
	if !s.takeOrderSlot(now) {
		return false
	}
	wave, name := w.ID, v.Name
	s.options.Logger.Info("vm_maintaining", zap.String("vm", name), zap.String("pool", v.Pool), zap.Uint64("wave", wave),
		zap.Int("running", len(s.options.Log.Batch().TasksOn(v.Worker))), zap.Uint64("term", s.term))
	if s.fleet.downUntilMs[wave] == nil {
		s.fleet.downUntilMs[wave] = map[string]int64{}
	}
	maintainedTotal.Inc()
	// The VM counts as down until an answer arrives.
	s.fleet.downUntilMs[wave][name] = now + s.options.PlatformLimits.MaintenanceMs + milli
	s.orderVM(v, Order{Kind: OrderMaintain, VM: name, Wave: wave}, now, func() {
		v.State, v.awayUntilMs = VMMaintained, s.now()+s.options.PlatformLimits.MaintenanceMs
		s.fleet.downUntilMs[wave][name] = s.now() + s.options.PlatformLimits.MaintenanceMs + downMarginMs
		s.awaitVerification(v)
		if recorded := s.options.Log.Batch().Wave(wave); recorded != nil {
			s.recordVM(&s.proposals.pending.MaintenanceStarts, recorded, name, "maintenance_begun")
			s.flush()
		}
	})
	return true
}

// downMarginMs is how long after its maintenance a VM still counts as down, in milliseconds.
const downMarginMs = 300

// boolInt returns 1 for true and 0 for false.
func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
