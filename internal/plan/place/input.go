package place

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// Input is the state of the workers and jobs that a plan is made from.
type Input struct {
	// Now is the time of the decision.
	Now time.Time
	// VMs are all VMs, by name.
	VMs []fleet.VM
	// Jobs are the jobs, by name.
	Jobs []fleet.Job
	// Teams are the teams with their quotas.
	Teams []fleet.Team
	// Failures are the latest failures of jobs.
	Failures []fleet.JobFailure
	// Reserved holds the names of the VMs that take no jobs, such as those that hold spare runners.
	Reserved map[string]bool
	// Held holds the names of the jobs that the current planning step already holds.
	Held map[string]bool
	// Lease is how long a started job runs without a renewal of its lease.
	Lease time.Duration
}

// worker is the working state of one VM while a plan is made.
type worker struct {
	fleet.VM

	free fleet.Size
	jobs []fleet.Job
}

// view is the input indexed for planning. It is updated as jobs are placed and preempted.
type view struct {
	Input

	workers []*worker
	byName  map[string]*worker
	// pools holds the workers of each pool.
	pools map[string][]*worker
	// ratios holds each team's measured core use, with headroom, divided by its declared use, in thousandths.
	ratios map[string]int64
	// usage holds the resources that each team's placed jobs hold.
	usage  map[string]fleet.Size
	quotas map[string]fleet.Size
	// avoid holds the workers that a job failed on recently, as job and VM.
	avoid map[[2]string]bool
	// rackJobs counts each team's jobs in each rack.
	rackJobs map[teamRack]int
}

// teamRack identifies the jobs of one team in one rack.
type teamRack struct {
	team   string
	domain fleet.Domain
}

const (
	thousand = 1000
	// avoidTime is how long a job is not placed on a worker that it failed on.
	avoidTime = time.Hour
	// headroomMilli is the size allowed for a job, in thousandths of its reported use.
	headroomMilli = 1100
	// minRatio and maxRatio limit the ratio of a team's use to its declarations, in thousandths.
	minRatio = 250
	maxRatio = 4000
)

func newView(in Input) *view {
	v := &view{
		Input: in, byName: map[string]*worker{}, pools: map[string][]*worker{}, ratios: ratios(in.Jobs),
		usage: map[string]fleet.Size{}, quotas: map[string]fleet.Size{}, avoid: map[[2]string]bool{}, rackJobs: map[teamRack]int{},
	}
	for _, t := range in.Teams {
		v.quotas[t.Name] = t.Quota
	}
	for _, f := range in.Failures {
		if in.Now.Sub(f.Time) < avoidTime {
			v.avoid[[2]string{f.Job, f.VM}] = true
		}
	}
	for _, m := range in.VMs {
		w := &worker{VM: m, free: m.Size}
		v.workers = append(v.workers, w)
		v.byName[m.Name] = w
		v.pools[m.Pool] = append(v.pools[m.Pool], w)
	}
	for _, j := range in.Jobs {
		if w := v.byName[j.VM]; w != nil {
			v.assign(w, j)
		}
	}
	return v
}

// assign counts a job on a worker.
func (v *view) assign(w *worker, j fleet.Job) {
	w.jobs = append(w.jobs, j)
	w.free = subtract(w.free, v.allocation(j))
	v.usage[j.Team] = add(v.usage[j.Team], v.allocation(j))
	v.rackJobs[teamRack{j.Team, w.Domain}]++
}

// allocation returns what a placed job holds of its worker; a throttled job holds only memory and accelerators.
func (v *view) allocation(j fleet.Job) fleet.Size {
	s := v.estimate(j)
	if j.Phase == fleet.JobThrottled {
		s.Cores = 0
	}
	return s
}

// estimate returns a job's expected size: its reported use with headroom, or its declared size scaled by its team's ratio.
func (v *view) estimate(j fleet.Job) fleet.Size {
	if j.Used != (fleet.Size{}) {
		return fleet.Size{
			Cores: scale(j.Used.Cores, headroomMilli), MemoryMB: scale(j.Used.MemoryMB, headroomMilli),
			Accelerators: max(j.Used.Accelerators, j.Declared.Accelerators),
		}
	}
	ratio, ok := v.ratios[j.Team]
	if !ok {
		ratio = thousand
	}
	return fleet.Size{Cores: scale(j.Declared.Cores, ratio), MemoryMB: scale(j.Declared.MemoryMB, ratio), Accelerators: j.Declared.Accelerators}
}

// ratios returns each team's cores in use, with headroom, divided by the cores declared, from jobs whose use is known.
func ratios(jobs []fleet.Job) map[string]int64 {
	used, declared := map[string]int64{}, map[string]int64{}
	for _, j := range jobs {
		if j.Used.Cores > 0 && j.Declared.Cores > 0 {
			used[j.Team] += j.Used.Cores
			declared[j.Team] += j.Declared.Cores
		}
	}
	r := make(map[string]int64, len(used))
	for team := range used {
		r[team] = min(maxRatio, max(minRatio, used[team]*headroomMilli/declared[team]))
	}
	return r
}

// scale multiplies an amount by thousandths, and rounds up so that no positive amount becomes zero.
func scale(amount, thousandths int64) int64 {
	return (amount*thousandths + thousand - 1) / thousand
}

func add(a, b fleet.Size) fleet.Size {
	return fleet.Size{Cores: a.Cores + b.Cores, MemoryMB: a.MemoryMB + b.MemoryMB, Accelerators: a.Accelerators + b.Accelerators}
}

func subtract(a, b fleet.Size) fleet.Size {
	return fleet.Size{Cores: a.Cores - b.Cores, MemoryMB: a.MemoryMB - b.MemoryMB, Accelerators: a.Accelerators - b.Accelerators}
}

// fits reports whether a size fits into the free resources.
func fits(s, free fleet.Size) bool {
	return s.Cores <= free.Cores && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// withinQuota reports whether a team stays within its quota if it uses that much more; memory has no quota.
func (v *view) withinQuota(team string, more fleet.Size) bool {
	q, u := v.quotas[team], add(v.usage[team], more)
	return u.Cores <= q.Cores && u.Accelerators <= q.Accelerators
}
