package slots

import "time"

const (
	// reportInterval is the time between reports to a home that have no other cause.
	reportInterval = time.Second
	// idleReportInterval is that time without demand. Two such intervals fit into a grant of 3 s, so that one
	// report may be lost.
	idleReportInterval = 1400 * time.Millisecond
	// minWaitingGap is the minimum time between two reports if the later one is sent because requests wait.
	minWaitingGap = 50 * time.Millisecond
	// minWakeGap is the minimum time between two reports if the later one is sent because the home asked for it.
	minWakeGap = 20 * time.Millisecond
	// demandChangeDivisor sets the relative rise of demand, 1/demandChangeDivisor, above which a report is sent
	// early.
	demandChangeDivisor = 4
)

// Cause is why a report may be due early; the zero value is a tick of the owner's timer. A higher cause takes
// precedence.
type Cause int

const (
	// CauseWaiting means that requests wait for a slot.
	CauseWaiting Cause = iota + 1 // hungry
	// CauseWoken means that the home asked for a report.
	CauseWoken // woken
	// CauseFollowUp means that the home needs a report at once about what its answer changed.
	CauseFollowUp // follow
)

// Pacer decides when a report to one home is due, so that reports stay few.
type Pacer struct {
	// SentAt is when the last report was sent.
	SentAt time.Time
	// ReportedDemand is the demand that it reported.
	ReportedDemand int
	// Outstanding means that the last report was neither answered nor given up.
	Outstanding bool
	// Pending is a cause that could not be served yet, or zero.
	Pending Cause
}

// Due reports whether a report is due now, for the cause and the current demand. Otherwise it keeps the cause
// pending.
func (p *Pacer) Due(now time.Time, cause Cause, demand int) bool {
	gap := now.Sub(p.SentAt)
	if p.Outstanding {
		p.Pending = max(p.Pending, cause)
		return false
	}
	cause = max(cause, p.Pending)
	due := gap >= reportInterval && (demand > 0 || p.ReportedDemand > 0) || gap >= idleReportInterval
	switch cause {
	case CauseFollowUp:
		due = true
	case CauseWoken:
		due = due || gap >= minWakeGap
	case CauseWaiting:
		due = due || gap >= minWaitingGap && demand > p.ReportedDemand+p.ReportedDemand/demandChangeDivisor
	}
	if !due {
		p.Pending = cause
	}
	return due
}

// ReportSent records the sending of a report. If more is in use than granted, another report follows, because the
// home waits for the excess to end.
func (p *Pacer) ReportSent(now time.Time, demand int, excess bool) {
	p.SentAt, p.ReportedDemand, p.Outstanding, p.Pending = now, demand, true, 0
	if excess {
		p.Pending = CauseWoken
	}
}

// ReportEnded records that the report was answered or given up, and returns the pending cause, or zero.
func (p *Pacer) ReportEnded() Cause {
	p.Outstanding = false
	return p.Pending
}
