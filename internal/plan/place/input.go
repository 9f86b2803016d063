package place

import (
	"time"

	"cowslipstack/internal/model/fleet"
)

// Input is what the plan decides from.
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
	// Reserved are the VMs that take no jobs, such as those that hold spare runners.
	Reserved map[string]bool
	// Held are jobs that this step holds already.
	Held map[string]bool
	// Lease is how long a started job goes on without renewal.
	Lease time.Duration
}

// worker is the plan's working view of one VM.
type worker struct {
	fleet.VM

	free fleet.Size
	jobs []fleet.Job
}

// view is the input sorted for the plan.
type view struct {
	Input

	workers []*worker
	byName  map[string]*worker
	// pools are the workers by pool.
	pools map[string][]*worker
	// ratios are the teams' use over what they declared, in thousandths.
	ratios map[string]int64
	// usage is what the teams' running jobs use.
	usage  map[string]fleet.Size
	quotas map[string]fleet.Size
	// avoid holds the workers that a job failed on, as job and VM.
	avoid map[[2]string]bool
	// crowd counts a team's jobs in one rack.
	crowd map[crowdKey]int
}

// crowdKey is one team in one rack.
type crowdKey struct {
	team   string
	domain fleet.Domain
}

const (
	thousand = 1000
	// avoidTime is how long a job stays away from a worker that it failed on.
	avoidTime = time.Hour
	// headroom is kept above the use that was reported, in thousandths of it.
	headroom = 1100
	// leastRatio and mostRatio bound what is made of a team's declarations, in thousandths.
	leastRatio = 250
	mostRatio  = 4000
)

func newView(in Input) *view {
	v := &view{
		Input: in, byName: map[string]*worker{}, pools: map[string][]*worker{}, ratios: ratios(in.Jobs),
		usage: map[string]fleet.Size{}, quotas: map[string]fleet.Size{}, avoid: map[[2]string]bool{}, crowd: map[crowdKey]int{},
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
			v.put(w, j)
		}
	}
	return v
}

// put counts a job on a worker.
func (v *view) put(w *worker, j fleet.Job) {
	w.jobs = append(w.jobs, j)
	w.free = minus(w.free, v.holds(j))
	v.usage[j.Team] = plus(v.usage[j.Team], v.holds(j))
	v.crowd[crowdKey{j.Team, w.Domain}]++
}

// holds returns what a placed job takes of its worker; a throttled one keeps its memory and accelerators only.
func (v *view) holds(j fleet.Job) fleet.Size {
	s := v.estimate(j)
	if j.Phase == fleet.JobThrottled {
		s.Cores = 0
	}
	return s
}

// estimate returns a job's size: what it was seen to use, or what its team's declarations were worth.
func (v *view) estimate(j fleet.Job) fleet.Size {
	if j.Used != (fleet.Size{}) {
		return fleet.Size{
			Cores: scale(j.Used.Cores, headroom), MemoryMB: scale(j.Used.MemoryMB, headroom),
			Accelerators: max(j.Used.Accelerators, j.Declared.Accelerators),
		}
	}
	ratio, ok := v.ratios[j.Team]
	if !ok {
		ratio = thousand
	}
	return fleet.Size{Cores: scale(j.Declared.Cores, ratio), MemoryMB: scale(j.Declared.MemoryMB, ratio), Accelerators: j.Declared.Accelerators}
}

// ratios returns each team's cores in use over the cores declared, from jobs whose use is known.
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
		r[team] = min(mostRatio, max(leastRatio, used[team]*headroom/declared[team]))
	}
	return r
}

// scale rounds up, so that nothing becomes free.
func scale(amount, thousandths int64) int64 {
	return (amount*thousandths + thousand - 1) / thousand
}

func plus(a, b fleet.Size) fleet.Size {
	return fleet.Size{Cores: a.Cores + b.Cores, MemoryMB: a.MemoryMB + b.MemoryMB, Accelerators: a.Accelerators + b.Accelerators}
}

func minus(a, b fleet.Size) fleet.Size {
	return fleet.Size{Cores: a.Cores - b.Cores, MemoryMB: a.MemoryMB - b.MemoryMB, Accelerators: a.Accelerators - b.Accelerators}
}

// fits says whether a size goes into what is free.
func fits(s, free fleet.Size) bool {
	return s.Cores <= free.Cores && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// withinQuota says whether a team may use so much by right; memory has no quota.
func (v *view) withinQuota(team string, more fleet.Size) bool {
	q, u := v.quotas[team], plus(v.usage[team], more)
	return u.Cores <= q.Cores && u.Accelerators <= q.Accelerators
}
