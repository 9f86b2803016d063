package bound

import (
	plan "cowslipstack/internal/plan/bound"
	"cowslipstack/internal/plan/order"
)

// day is the load of a day and what became of it.
type day struct {
	jobs     []plan.Job
	capacity []plan.Capacity
	// startMs and endMs are the times of the first submission and of the last line, in Unix milliseconds.
	startMs, endMs int64
	leftOut        leftOut
	// leaders is the number of times that a process took the leadership; jobs that end meanwhile have no end in the log.
	leaders int
	// lostLines is the number of lines that the logger left out, and unreadable that of lines that aren't lines of the log.
	lostLines, unreadable int
}

// leftOut counts the jobs that are neither in the bound nor in what was done.
type leftOut struct {
	// LongRunning are the jobs that run until they are cancelled, and Scheduled those whose steps run at set times.
	LongRunning int `json:"long_running"`
	Scheduled   int `json:"scheduled"`
	// Open are the jobs whose SLO is after the end of the log.
	Open int `json:"open"`
	// Unknown are the jobs whose submission isn't in the log, or without what it asks for.
	Unknown int `json:"unknown"`
}

// day returns the load that the lines tell.
func (r *reader) day() *day {
	records := r.records()
	d := &day{endMs: r.endMs, startMs: r.endMs, unreadable: r.unreadable}
	for i := range r.lines {
		l := &r.lines[i]
		d.lostLines += l.LeftOut
		switch l.Event {
		case eventCapacity:
			// A listed VM may have no worker, and a worker that is heard may be on a VM that isn't listed yet.
			d.capacity = append(d.capacity, plan.Capacity{FromMs: l.Time.UnixMilli(), Cores: max(l.Cores, l.ListedCores)})
		case eventLeader:
			d.leaders++
		}
	}
	for _, j := range records {
		if d.leaveOut(j) {
			continue
		}
		d.startMs = min(d.startMs, j.submittedMs)
		d.jobs = append(d.jobs, plan.Job{
			ID: j.id, Queue: j.queue, Account: j.account, SubmittedMs: j.submittedMs, SLOMs: j.objectiveMs, ChainMs: j.chainMs,
			WorkMs: j.workMs, Outcome: j.outcome(),
		})
	}
	d.setValues()
	return d
}

// leaveOut reports whether the report leaves a job out, and counts it.
func (d *day) leaveOut(j *record) bool {
	switch {
	case j.queue == "":
		d.leftOut.Unknown++
	case j.longRunning:
		d.leftOut.LongRunning++
	case j.scheduled:
		d.leftOut.Scheduled++
	case j.submittedMs+j.objectiveMs > d.endMs:
		d.leftOut.Open++
	default:
		return false
	}
	return true
}

func (j *record) outcome() plan.Outcome {
	switch {
	case !j.accepted:
		return plan.Refused
	case !j.completed:
		return plan.Never
	case j.endedMs-j.submittedMs <= j.objectiveMs:
		return plan.InTime
	default:
		return plan.Late
	}
}

// setValues sets the jobs' values, which callers don't tell, to those by which the leader orders jobs, with the mean work of
// the queue over the whole day. A job that was done in time could be, whatever the estimate of its longest chain.
func (d *day) setValues() {
	work, count := map[string]int64{}, map[string]int64{}
	for i := range d.jobs {
		work[d.jobs[i].Queue] += d.jobs[i].WorkMs
		count[d.jobs[i].Queue]++
	}
	for i := range d.jobs {
		j := &d.jobs[i]
		item := order.Item{TotalWorkMs: j.WorkMs, QueueMeanMs: work[j.Queue] / count[j.Queue]}
		j.Value = item.Value()
		if j.Outcome == plan.InTime {
			j.ChainMs = 0
		}
	}
}
