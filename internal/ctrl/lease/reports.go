package lease

import (
	"maps"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
)

// reports follows the counts of one entry over its restarts. Its maps are replaced, never changed,
// since a published snapshot holds them too.
type reports struct {
	// whole means that the present run has told all its counts here.
	whole bool
	// last are the counts that the present run told last.
	last map[string]fleet.Report
	// total is how far the counts have risen since they were first told here, over all runs.
	total map[string]fleet.Report
}

// restart begins with another run of the entry.
func (p *reports) restart() {
	p.whole, p.last = false, nil
}

// take notes what a renewal tells; until a run has told all its counts, none is compared.
func (p *reports) take(r grant.Renewal) {
	if r.AllReports && !p.whole {
		p.whole = true
		p.last = byService(r.Reports)
		return
	}
	if !p.whole || len(r.Reports) == 0 {
		return
	}
	last, total := maps.Clone(p.last), maps.Clone(p.total)
	if total == nil {
		total = make(map[string]fleet.Report, len(r.Reports))
	}
	for _, next := range r.Reports {
		before, sum := last[next.Service], total[next.Service]
		if next.Answered < before.Answered || next.NotRun < before.NotRun || next.Unknown < before.Unknown {
			// A renewal that was overtaken by a later one.
			continue
		}
		sum.Answered += next.Answered - before.Answered
		sum.NotRun += next.NotRun - before.NotRun
		sum.Unknown += next.Unknown - before.Unknown
		last[next.Service], total[next.Service] = next, sum
	}
	p.last, p.total = last, total
}

// addTo adds the counts to a sum; what is in progress or waits counts only where the entry is live.
func (p *reports) addTo(sum map[string]fleet.Report, live bool) {
	add := func(service string, r fleet.Report) {
		s := sum[service]
		s.Service = service
		s.Answered += r.Answered
		s.NotRun += r.NotRun
		s.Unknown += r.Unknown
		s.InProgress += r.InProgress
		s.Queued += r.Queued
		sum[service] = s
	}
	for service, r := range p.total {
		add(service, r)
	}
	for service, r := range p.last {
		if live {
			add(service, fleet.Report{InProgress: r.InProgress, Queued: r.Queued})
		}
	}
}

func byService(all []fleet.Report) map[string]fleet.Report {
	m := make(map[string]fleet.Report, len(all))
	for _, r := range all {
		m[r.Service] = r
	}
	return m
}
