package sched

import (
	"slices"
)

// vm is what the leader knows of one VM.
type vm struct {
	VM
	// ordered says that an order for it is under way.
	ordered bool
	// awayMs is until when it is on its way or down by our own order, by uptime.
	awayMs int64
	// doneMs is when an order was answered as done, by uptime, until a list shows whether it was done just then; 0 for none.
	doneMs int64
	// retryMs is when it may be ordered again, by uptime.
	retryMs int64
	// fenced means that a higher token was used on it: this leader orders it no more.
	fenced bool
	// leaving means that it gets no tasks, so that it can be moved; maintain means the same for maintenance.
	leaving  bool
	maintain bool
	// due means that a wave has still to take it.
	due bool
	// listedMs is when it was last listed, by uptime.
	listedMs int64
}

// fleetView is what the leader knows of the VMs.
type fleetView struct {
	vms map[string]*vm
	// byWorker are the names of the VMs on which workers run.
	byWorker map[string]string
	reading  bool
	listedMs int64
	// wanted means that the list is needed before its time.
	wanted bool
	// whole says that the list was read to its end since this process leads.
	whole bool
	// maybeDown are VMs that a former leader ordered of late: until when they may be down for it, by uptime.
	maybeDown map[string]int64
	// found are the VMs of the reading under way.
	found     map[string]bool
	plannedMs int64
	// idleSince is when a pool last had no VM too many, by uptime.
	idleSince map[string]int64
	// ordersMs are when orders went out in the last second.
	ordersMs []int64
	// notBefore is when VMs may be ordered that a former leader ordered of late, by uptime.
	notBefore map[string]int64
	// downFor are the VMs that each wave has taken down, until when, by uptime.
	downFor map[uint64]map[string]int64
}

func newFleetView() fleetView {
	return fleetView{
		vms: map[string]*vm{}, byWorker: map[string]string{}, idleSince: map[string]int64{},
		downFor: map[uint64]map[string]int64{}, notBefore: map[string]int64{},
		maybeDown: map[string]int64{},
	}
}

// held says whether a worker gets no tasks since its VM is to leave.
func (f *fleetView) held(w *worker) bool {
	v := f.vms[f.byWorker[w.id]]
	return v != nil && (v.leaving || v.maintain || v.ordered || v.doneMs > 0)
}

// doomed says whether a worker's VM is to be maintained before long.
func (f *fleetView) doomed(w *worker) bool {
	v := f.vms[f.byWorker[w.id]]
	return v != nil && (v.due || v.ordered || v.doneMs > 0)
}

// steerFleet reads the list and orders moves and maintenance.
func (e *Scheduler) steerFleet(now int64) {
	f := &e.fleet
	if !f.reading && (now-f.listedMs >= listMs || f.wanted && now-f.listedMs >= listAgainMs) {
		f.reading, f.wanted, f.listedMs, f.found = true, false, now, map[string]bool{}
		e.readList("", now)
	}
	if now-f.plannedMs < poolsMs || !f.whole {
		return
	}
	f.plannedMs = now
	e.steerWaves(now)
	e.steerPools(now)
}

// sortedVMs returns the VMs in the order of their names.
func (f *fleetView) sortedVMs() []*vm {
	names := make([]string, 0, len(f.vms))
	for name := range f.vms {
		names = append(names, name)
	}
	slices.Sort(names)
	all := make([]*vm, 0, len(names))
	for _, name := range names {
		all = append(all, f.vms[name])
	}
	return all
}

// load returns what runs on a VM: the processor time held, whether nothing runs, and whether something lasting does.
func (e *Scheduler) load(v *vm) (milli int64, empty, lasting bool) {
	w := e.workers[v.Worker]
	if w == nil {
		return 0, true, false
	}
	empty = len(w.running) == 0
	for id := range e.options.Log.Book().RunsOn(v.Worker) {
		empty = false
		if j, t := e.find(id); t != nil {
			step := &j.Job.Steps[id.Step]
			milli += step.Need.CPUMilli
			lasting = lasting || step.LongRunning
		}
	}
	return milli, empty && w.starting == 0, lasting
}

// orderable says whether a VM may be ordered now.
func (v *vm) orderable(now int64) bool {
	return !v.ordered && v.doneMs == 0 && !v.fenced && v.State == VMUp && now >= v.awayMs && now >= v.retryMs
}
