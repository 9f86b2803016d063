package slots

import "time"

const (
	// reportEvery is the time between reports to a home that nothing else causes.
	reportEvery = time.Second
	// restEvery is that time where there is no demand; two such times are within a grant's 3 s, so
	// that one report may be lost.
	restEvery = 1400 * time.Millisecond
	// hungryGap is the least time between reports because requests wait.
	hungryGap = 50 * time.Millisecond
	// wakeGap is the least time between reports because a home asked for one.
	wakeGap = 20 * time.Millisecond
	// demandChange is the part by which demand must differ for a report before its time.
	demandChange = 4
)

// Cause is why a report may be due before its time; the zero value is a tick of the owner's timer.
type Cause int

const (
	// CauseHungry means that requests wait for a slot.
	CauseHungry Cause = iota + 1 // hungry
	// CauseWoken means that the home asked for a report.
	CauseWoken // woken
	// CauseFollow means that the home should hear at once what its answer changed.
	CauseFollow // follow
)

// Pacer says when a report to one home is due, so that reports stay few.
type Pacer struct {
	// Sent is when the last report was sent.
	Sent time.Time
	// Told is the demand that it gave.
	Told int
	// Open means that no answer to the last report has come, nor was it given up.
	Open bool
	// Again is a cause that came while the last report was open.
	Again Cause
}

// Due says whether a report is due at a time for a cause and the demand of the moment.
func (p *Pacer) Due(now time.Time, cause Cause, demand int) bool {
	gap := now.Sub(p.Sent)
	if p.Open {
		p.Again = max(p.Again, cause)
		return false
	}
	cause = max(cause, p.Again)
	due := gap >= reportEvery && (demand > 0 || p.Told > 0) || gap >= restEvery
	switch cause {
	case CauseFollow:
		due = true
	case CauseWoken:
		due = due || gap >= wakeGap
	case CauseHungry:
		due = due || gap >= hungryGap && demand > p.Told+p.Told/demandChange
	}
	if !due {
		p.Again = cause
	}
	return due
}

// Reported notes a report. One with more in use than granted is followed by another, as the home waits for the excess to end.
func (p *Pacer) Reported(now time.Time, demand int, excess bool) {
	p.Sent, p.Told, p.Open, p.Again = now, demand, true, 0
	if excess {
		p.Again = CauseWoken
	}
}

// Ended notes that the report was answered or given up, and returns the cause that came meanwhile, or zero.
func (p *Pacer) Ended() Cause {
	p.Open = false
	return p.Again
}
