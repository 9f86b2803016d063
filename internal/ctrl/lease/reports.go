package lease

import (
	"maps"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
)

// reportTotals sums the counts of one entry across its restarts. Its maps are replaced, never changed in place, since a
// published snapshot shares them.
type reportTotals struct {
	// complete is true once the current run has reported all its counts to this replica.
	complete bool
	// last are the latest counts of the current run, by service.
	last map[string]fleet.ServiceReport
	// total is the increase of the counts since they were first reported to this replica, over all runs, by service.
	total map[string]fleet.ServiceReport
}

// startIncarnation discards the counts of the previous run; the totals stay.
func (t *reportTotals) startIncarnation() {
	t.complete, t.last = false, nil
}

// update adds the increase since the previous renewal to the totals. The first complete report of a run only sets the
// baseline; reports before it are ignored.
func (t *reportTotals) update(r grant.Renewal) {
	if r.AllReports && !t.complete {
		t.complete = true
		t.last = fleet.ReportsByService(r.Reports)
		return
	}
	if !t.complete || len(r.Reports) == 0 {
		return
	}
	last, total := maps.Clone(t.last), maps.Clone(t.total)
	if total == nil {
		total = make(map[string]fleet.ServiceReport, len(r.Reports))
	}
	for _, next := range r.Reports {
		before, sum := last[next.Service], total[next.Service]
		if next.Answered < before.Answered || next.NotRun < before.NotRun || next.Unknown < before.Unknown {
			// The renewal arrived after a later one.
			continue
		}
		sum.Answered += next.Answered - before.Answered
		sum.NotRun += next.NotRun - before.NotRun
		sum.Unknown += next.Unknown - before.Unknown
		last[next.Service], total[next.Service] = next, sum
	}
	t.last, t.total = last, total
}

// addTo adds the counts to a sum by service; requests in progress and queued requests count only if the entry is live.
func (t *reportTotals) addTo(sum map[string]fleet.ServiceReport, live bool) {
	add := func(service string, r fleet.ServiceReport) {
		s := sum[service]
		s.Service = service
		s.Answered += r.Answered
		s.NotRun += r.NotRun
		s.Unknown += r.Unknown
		s.InProgress += r.InProgress
		s.Queued += r.Queued
		sum[service] = s
	}
	for service, r := range t.total {
		add(service, r)
	}
	for service, r := range t.last {
		if live {
			add(service, fleet.ServiceReport{InProgress: r.InProgress, Queued: r.Queued})
		}
	}
}
