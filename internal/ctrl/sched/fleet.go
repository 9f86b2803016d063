package sched

import (
	"slices"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/vmlist"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/accept"
	"cowslipstack/internal/plan/refuse"
)

// vm is the scheduler's view of one VM.
type vm struct {
	VM
	// orderPending is set while an order for it is in flight.
	orderPending bool
	// awayUntilMs is the uptime until which it is moving or in maintenance by this leader's order.
	awayUntilMs int64
	// unverifiedMs is the uptime at which an order was answered as done, until a VM list that was requested then or later shows
	// whether it was carried out just then; 0 for none. unanswered is set if it had no answer: then unverifiedMs is later.
	unverifiedMs int64
	unanswered   bool
	// retryAtMs is the uptime from which it may be ordered again.
	retryAtMs int64
	// fenced is set when a higher fencing token was used on it: this leader orders it no more.
	fenced bool
	// drainForMove is set while it gets no tasks so that it can be moved; drainForWave is the same for maintenance.
	drainForMove bool
	drainForWave bool
	// waveDue is set while a maintenance wave has still to take it.
	waveDue bool
	// listedMs is the uptime of the request whose list last contained it.
	listedMs int64
}

// fleetView is the scheduler's view of the VMs.
type fleetView struct {
	vms map[string]*vm
	// byWorker holds the name of the VM on which each worker runs.
	byWorker map[string]string
	// reads are the reads of the list under this leadership, and listRequestedMs is the uptime at which the last of them began.
	reads           *vmlist.Reads
	listRequestedMs int64
	// listWanted is set when a new list is needed before the usual interval ends.
	listWanted bool
	// maybeDownUntilMs holds the VMs that a former leader ordered recently, and the uptime until which they may be
	// down for it.
	maybeDownUntilMs map[string]int64
	// reported holds the unread rows that were logged, by VM.
	reported  map[string]bool
	plannedMs int64
	// loads holds, by pool, what a new job would wait for while there are too few VMs for the work that can still be in time;
	// nil otherwise.
	loads map[string]refuse.Load
	// book is the work that is accepted and to be done in time, with the shares of the client accounts, while there is too little
	// room and the configuration has accounts; nil otherwise.
	book *accept.Book
	// nextRanks holds, by pool and account, the rank of a job that comes before the jobs are ranked again; nil like the book.
	nextRanks map[string]map[string]float64
	// sharesLoggedMs is the uptime at which the shares were last logged.
	sharesLoggedMs int64
	// draining is set while VMs are drained to be moved.
	draining bool
	// surplusSinceMs holds, by pool, the uptime at which it last had no surplus VM.
	surplusSinceMs map[string]int64
	// recentOrdersMs are the uptimes of the orders of the last second.
	recentOrdersMs []int64
	// orderNotBeforeMs holds the uptimes from which VMs may be ordered that a former leader ordered recently.
	orderNotBeforeMs map[string]int64
	// waveKnownMs holds, by wave, the uptime by which it was stored as far as this leader knows.
	waveKnownMs map[uint64]int64
	// downUntilMs holds, by wave, the VMs that it has taken down and the uptime until which they count as down.
	downUntilMs map[uint64]map[string]int64
}

func newFleetView() fleetView {
	return fleetView{
		vms: map[string]*vm{}, byWorker: map[string]string{}, surplusSinceMs: map[string]int64{},
		waveKnownMs: map[uint64]int64{}, downUntilMs: map[uint64]map[string]int64{}, orderNotBeforeMs: map[string]int64{},
		maybeDownUntilMs: map[string]int64{}, reads: vmlist.NewReads(), reported: map[string]bool{},
	}
}

// isOrdered reports whether an order for a VM is in flight, or was answered as done and isn't verified yet. One without an answer may
// never have come: the worker there goes on.
func (v *vm) isOrdered() bool {
	return v.orderPending || v.unverifiedMs > 0 && !v.unanswered
}

// leaving reports whether a worker gets no tasks because its VM is to be moved or maintained.
func (f *fleetView) leaving(w *worker) bool {
	v := f.vms[f.byWorker[w.id]]
	return v != nil && (v.drainForMove || v.drainForWave || v.isOrdered())
}

// maintenanceDue reports whether a worker's VM is to be maintained soon.
func (f *fleetView) maintenanceDue(w *worker) bool {
	v := f.vms[f.byWorker[w.id]]
	return v != nil && (v.waveDue || v.isOrdered())
}

// manageFleet reads the VM list and orders moves and maintenance.
func (s *Scheduler) manageFleet(now int64) {
	f := &s.fleet
	s.noteWaves(now)
	if !f.reads.InProgress() && (now-f.listRequestedMs >= listIntervalMs || f.listWanted && now-f.listRequestedMs >= minListIntervalMs) {
		s.readList(now)
	}
	interval := int64(planIntervalMs)
	if f.draining {
		interval = drainingPlanIntervalMs
	}
	if now-f.plannedMs < interval || !f.reads.HaveWhole() {
		return
	}
	f.plannedMs = now
	s.runWaves(now)
	s.balancePools(now)
}

// sortedVMs returns the VMs sorted by name.
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

// vmLoad is what runs on a VM.
type vmLoad struct {
	// cpuMilli is the processor time that its tasks need, including best-effort tasks, in thousandths of a core.
	cpuMilli int64
	// busyMs is how long they are expected to run, in milliseconds.
	busyMs int64
	// empty means that nothing runs there, and longRunning that a long-running task does.
	empty, longRunning bool
}

// loadOf returns what runs on a VM.
func (s *Scheduler) loadOf(v *vm, now int64) vmLoad {
	w := s.workers[v.Worker]
	if w == nil {
		return vmLoad{empty: true}
	}
	l := vmLoad{empty: len(w.running)+w.starting == 0}
	for id := range s.options.Log.Batch().TasksOn(v.Worker) {
		l.empty = false
		if j, t := s.findTask(id); t != nil {
			step := &j.Spec.Steps[id.Step]
			l.cpuMilli += step.Need.CPUMilli
			l.busyMs = max(l.busyMs, s.remainingMs(w, j, id, now))
			l.longRunning = l.longRunning || step.LongRunning
		}
	}
	return l
}

// remainingMs returns how long a task on a worker is expected to run: by its progress if it has shown some, else by its
// estimate.
func (s *Scheduler) remainingMs(w *worker, j *jobs.Job, id batch.TaskID, now int64) int64 {
	estimateMs := int64(float64(j.Spec.Steps[id.Step].EstimateMs) * s.estimates.scaleOf(j.Spec.Queue))
	a := w.running[id]
	switch {
	case a == nil:
		return estimateMs
	case a.percent > 0 && a.progressMs > a.sinceMs:
		return max(0, (a.progressMs-a.sinceMs)*int64(percentDone-a.percent)/int64(a.percent)-(now-a.progressMs))
	default:
		return max(0, estimateMs-(now-a.sinceMs))
	}
}

// orderable reports whether a VM may be ordered now.
func (v *vm) orderable(now int64) bool {
	return !v.orderPending && v.unverifiedMs == 0 && !v.fenced && v.State == VMUp && now >= v.awayUntilMs && now >= v.retryAtMs
}
