package sched_test

import (
	"fmt"
	"strings"
	"testing"
)

// loadOutcome sums the work of jobs by what came of them, in core-milliseconds.
type loadOutcome struct {
	asked, inTime, late, accepted, refused int64
}

// outcome sums the jobs of a queue, or of all queues if it is nil.
func (f *loadFleet) outcome(q *loadQueue) loadOutcome {
	return f.outcomeOf(func(j *loadJob) bool { return q == nil || j.queue == q })
}

// outcomeOf sums the jobs that a function picks.
func (f *loadFleet) outcomeOf(picks func(*loadJob) bool) loadOutcome {
	var o loadOutcome
	for _, j := range f.jobs {
		if !picks(j) {
			continue
		}
		tookMs := j.doneMs - j.sentMs
		o.asked += j.workMs
		switch {
		case j.doneMs > 0 && tookMs <= j.objectiveMs:
			o.inTime += j.workMs
		case j.doneMs > 0 && tookMs <= lateObjectives*j.objectiveMs:
			o.late += j.workMs
		}
		if j.accepted {
			o.accepted += j.workMs
		}
		if j.refusals > 0 {
			o.refused += j.workMs
		}
	}
	return o
}

// verdicts returns a line for each bound of the load that is not kept.
func (f *loadFleet) verdicts() string {
	var lines []string
	for _, q := range f.day.Queues {
		o := f.outcome(q)
		if o.inTime*100 < q.MinInTime*o.asked {
			lines = append(lines, fmt.Sprintf("%s: %d%% of the work is done in time", q.Name, o.inTime*100/o.asked))
		}
		if o.refused*100 > q.MaxRefused*o.asked {
			lines = append(lines, fmt.Sprintf("%s: %d%% of the work is refused", q.Name, o.refused*100/o.asked))
		}
	}
	for _, a := range f.day.Accounts {
		if o := f.outcomeOf(func(j *loadJob) bool { return j.account == a }); o.inTime*100 < a.MinInTime*o.asked {
			lines = append(lines, fmt.Sprintf("account %s: %d%% of the work is done in time", a.Name, o.inTime*100/o.asked))
		}
	}
	if o := f.outcome(nil); (o.inTime+o.late)*100 < f.day.MinAccepted*o.accepted {
		lines = append(lines, fmt.Sprintf("%d%% of what is accepted is done in time to count", (o.inTime+o.late)*100/o.accepted))
	}
	if len(lines) == 0 {
		return "ok\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

// report reports the outcome of a load in percent.
func (f *loadFleet) report(b *testing.B) {
	b.Helper()
	o := f.outcome(nil)
	percent := func(part, whole int64) float64 { return float64(100*part) / float64(max(1, whole)) }
	b.ReportMetric(percent(o.inTime, o.asked), "%in_time")
	b.ReportMetric(percent(o.late, o.asked), "%late")
	b.ReportMetric(percent(o.refused, o.asked), "%refused")
	b.ReportMetric(percent(f.servableRefused(), o.refused), "%refused_servable")
	b.ReportMetric(percent(o.inTime+o.late, o.accepted), "%accepted_counts")
	b.ReportMetric(float64(f.moves), "moves")
	worst := 100.0
	for _, q := range f.day.Queues {
		of := f.outcome(q)
		worst = min(worst, percent(of.inTime, of.asked))
	}
	b.ReportMetric(worst, "%worst_queue")
}

// servableRefused returns the work of refused jobs that an oracle could have done in time with the processor time of their
// pool that no job used which ended in time.
func (f *loadFleet) servableRefused() int64 {
	for id, seconds := range f.used {
		j := f.byID[id]
		if j.doneMs == 0 || j.doneMs-j.sentMs > j.objectiveMs {
			continue
		}
		for second, ms := range seconds {
			add(f.freeMs, j.queue.Name, second, -ms)
		}
	}
	var servable int64
	for _, j := range f.jobs {
		if j.refusals == 0 || j.doneMs > 0 && j.doneMs-j.sentMs <= j.objectiveMs {
			continue
		}
		if f.takeFree(j) {
			servable += j.workMs
		}
	}
	return servable
}

// takeFree takes the work of a job from its pool's free processor time before its SLO, and reports whether there was enough.
func (f *loadFleet) takeFree(j *loadJob) bool {
	free, left := f.freeMs[j.queue.Name], float64(j.workMs)
	from, to := j.sentMs/1000+1, (j.sentMs+j.objectiveMs)/1000-1
	for second := from; second <= to; second++ {
		left -= max(0, free[second])
	}
	if left > 0 {
		return false
	}
	left = float64(j.workMs)
	for second := from; second <= to && left > 0; second++ {
		taken := min(left, max(0, free[second]))
		free[second] -= taken
		left -= taken
	}
	return true
}
