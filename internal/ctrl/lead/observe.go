package lead

import (
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/budget"
	"cowslipstack/internal/plan/spare"
)

const (
	// countEvery is the time between counts of bad time.
	countEvery = 30 * time.Second
	// recordEvery is the time between records of a pool's demand, unless it has grown.
	recordEvery = 5 * time.Minute
	// runnerSlots is the requests that one runner works on at a time; a VM has one runner.
	runnerSlots = 8
	// grown is how much a peak rises, in percent, before it is recorded at once.
	grown   = 110
	percent = 100
)

// totals are a service's reports added up over the entries.
type totals map[string]fleet.Report

// samples are what the next reports are compared with.
type samples struct {
	at      time.Time
	last    totals
	counted time.Time
	base    totals
	demands map[string]fleet.Demand
}

// observe learns the pools' demands and counts the services' bad time.
func (l *Leader) observe(s Situation) []record.Action {
	now, p := s.Now, &l.samples
	if p.at.IsZero() {
		sum := byService(l.options.Entries.Reports())
		*p = samples{at: now, counted: now, last: sum, base: sum, demands: map[string]fleet.Demand{}}
		for pool, d := range s.Demands {
			p.demands[pool] = d
		}
		return nil
	}
	sum := byService(l.options.Entries.Reports())
	actions := p.learn(s, sum)
	p.at, p.last = now, sum
	if now.Sub(p.counted) < countEvery {
		return actions
	}
	for _, sv := range s.Environment.Services {
		name := string(sv.Name)
		bad := budget.BadMS(counts(p.base[name]), counts(sum[name]), now.Sub(p.counted))
		if bad == 0 {
			continue
		}
		actions = append(actions, record.Action{
			Reason: record.Reason{Rule: "requests that were not answered count as bad time", Inputs: "service " + name},
			Command: record.Command{Budget: &record.BudgetChange{
				Service: name, From: p.counted, Until: now, BadMS: bad, WindowDays: sv.WindowDays,
			}},
		})
	}
	p.counted, p.base = now, sum
	return actions
}

// learn samples each pool's load, and records a demand that grew or wasn't recorded for a while.
func (p *samples) learn(s Situation, sum totals) []record.Action {
	interval := s.Now.Sub(p.at)
	loads := map[string]int64{}
	for _, sv := range s.Environment.Services {
		before, after := p.last[string(sv.Name)], sum[string(sv.Name)]
		answered := int64(after.Answered) - int64(before.Answered)
		loads[string(sv.Pool)] += spare.OfferedMilli(int64(after.InProgress), int64(after.Queued-before.Queued), answered, runnerSlots)
	}
	var actions []record.Action
	for _, pool := range s.Environment.Pools {
		name := string(pool.Name)
		load, serves := loads[name]
		if !serves {
			continue
		}
		known := p.demands[name]
		known.Pool = name
		d := spare.Learn(known, load, interval, s.Now)
		p.demands[name] = d
		old, recorded := s.Demands[name]
		if recorded && s.Now.Sub(old.Updated) < recordEvery && d.PeakMilli*percent <= old.PeakMilli*grown {
			continue
		}
		actions = append(actions, record.Action{
			Reason:  record.Reason{Rule: "a pool's demand is recorded when it grows and from time to time", Inputs: "pool " + name},
			Command: record.Command{Demand: &record.DemandChange{Demand: d}},
		})
	}
	return actions
}

// byService sorts reports by their service.
func byService(reports []fleet.Report) totals {
	sum := make(totals, len(reports))
	for _, r := range reports {
		sum[r.Service] = r
	}
	return sum
}

func counts(r fleet.Report) budget.Counts {
	return budget.Counts{Answered: r.Answered, Bad: r.NotRun + r.Unknown}
}
