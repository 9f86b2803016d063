package lead

import (
	"time"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/budget"
	"cowslipstack/internal/plan/spare"
)

const (
	// badTimeInterval is the time between counts of the services' bad time.
	badTimeInterval = 30 * time.Second
	// demandInterval is the time between records of a pool's demand; demand that has grown is recorded earlier.
	demandInterval = 5 * time.Minute
	// runnerSlots is the number of requests that one runner serves at a time; a VM has one runner.
	runnerSlots = 8
	// growthPercent is the level, in percent of the recorded value, above which a new value is recorded at once.
	growthPercent = 110
	percent       = 100
)

// reportsByService holds each service's report, summed over the entries.
type reportsByService map[string]fleet.ServiceReport

// samples holds earlier reports and the demands learned from them. The load is measured since the last step, bad
// time since it was last counted.
type samples struct {
	sampledAt      time.Time
	lastReports    reportsByService
	countedAt      time.Time
	countedReports reportsByService
	demands        map[string]fleet.Demand
}

// observe updates the pools' demands and counts the services' bad time. The first call of a term only takes the
// baseline.
func (l *Leader) observe(in Input) []record.Action {
	now, p := in.Now, &l.samples
	if p.sampledAt.IsZero() {
		sum := fleet.ReportsByService(l.options.Entries.Reports())
		*p = samples{sampledAt: now, countedAt: now, lastReports: sum, countedReports: sum, demands: map[string]fleet.Demand{}}
		for pool, d := range in.Demands {
			p.demands[pool] = d
		}
		return nil
	}
	sum := fleet.ReportsByService(l.options.Entries.Reports())
	actions := p.updateDemands(in, sum)
	p.sampledAt, p.lastReports = now, sum
	if now.Sub(p.countedAt) < badTimeInterval {
		return actions
	}
	for _, sv := range in.Environment.Services {
		name := string(sv.Name)
		bad := budget.BadMS(counts(p.countedReports[name]), counts(sum[name]), now.Sub(p.countedAt))
		if bad == 0 {
			continue
		}
		actions = append(actions, record.Action{
			Reason: record.Reason{Rule: "requests that were not answered count as bad time", Inputs: "service " + name},
			Command: record.Command{Budget: &record.BudgetChange{
				Service: name, From: p.countedAt, Until: now, BadMS: bad, WindowDays: sv.WindowDays,
			}},
		})
	}
	p.countedAt, p.countedReports = now, sum
	return actions
}

// updateDemands samples each pool's load. It records a demand that is new, that has grown above growthPercent of the
// recorded one, or that was last recorded demandInterval ago.
func (p *samples) updateDemands(in Input, sum reportsByService) []record.Action {
	interval := in.Now.Sub(p.sampledAt)
	loads := map[string]int64{}
	for _, sv := range in.Environment.Services {
		before, after := p.lastReports[string(sv.Name)], sum[string(sv.Name)]
		answered := int64(after.Answered) - int64(before.Answered)
		loads[string(sv.Pool)] += spare.OfferedMilli(int64(after.InProgress), int64(after.Queued-before.Queued), answered, runnerSlots)
	}
	var actions []record.Action
	for _, pool := range in.Environment.Pools {
		name := string(pool.Name)
		load, serves := loads[name]
		if !serves {
			continue
		}
		previous := p.demands[name]
		previous.Pool = name
		d := spare.UpdateDemand(previous, load, interval, in.Now)
		p.demands[name] = d
		old, recorded := in.Demands[name]
		if recorded && in.Now.Sub(old.Updated) < demandInterval && d.PeakMilli*percent <= old.PeakMilli*growthPercent {
			continue
		}
		actions = append(actions, record.Action{
			Reason:  record.Reason{Rule: "a pool's demand is recorded when it grows and from time to time", Inputs: "pool " + name},
			Command: record.Command{Demand: &record.DemandChange{Demand: d}},
		})
	}
	return actions
}

func counts(r fleet.ServiceReport) budget.Counts {
	return budget.Counts{Answered: r.Answered, Bad: r.NotRun + r.Unknown}
}
