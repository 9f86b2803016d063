package budget

import (
	"math"
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

const (
	day = 24 * time.Hour
	// million scales the unavailable share to an integer, so that budgets are computed in whole numbers.
	million = 1_000_000
)

// Policy holds the parameters of a service's availability budget.
type Policy struct {
	// Service is the service's name.
	Service string
	// Pool is the pool that the service runs on.
	Pool string
	// WindowDays is the length of the rolling window, in days.
	WindowDays int
	// AllowedMS is the bad time allowed within the window, in milliseconds.
	AllowedMS int64
	// DeadlineMS is how long a request may wait, in milliseconds.
	DeadlineMS int64
}

// Status is the state of a service's budget at one time.
type Status struct {
	// Policy holds the parameters of the budget.
	Policy Policy
	// SeenMS is the bad time measured within the window, in milliseconds.
	SeenMS int64
	// ReservedMS is the bad time reserved for work in progress, in milliseconds.
	ReservedMS int64
	// LossMS is the bad time that the costliest loss of one failure domain would cause, in milliseconds.
	LossMS int64
	// Domain is the name of that failure domain; empty if no loss would cause bad time.
	Domain string
}

// PolicyFor returns the budget policy of a service.
func PolicyFor(s docs.Service) Policy {
	window := time.Duration(s.WindowDays) * day
	bad := int64(math.Round((1 - s.Availability) * million))
	return Policy{
		Service: string(s.Name), Pool: string(s.Pool), WindowDays: s.WindowDays,
		AllowedMS: window.Milliseconds() / million * bad, DeadlineMS: int64(s.DeadlineMs),
	}
}

// StatusAt returns the status of a budget at the time now, computed from its ledger. LossMS and Domain stay zero.
func StatusAt(p Policy, l fleet.Ledger, now time.Time) Status {
	s := Status{Policy: p}
	first := now.Add(-time.Duration(p.WindowDays)*day).Unix() / int64(day/time.Second)
	for _, d := range l.Days {
		if d.Day >= first {
			s.SeenMS += d.BadMS
		}
	}
	for _, r := range l.Reserved {
		if now.Before(r.Until) {
			s.ReservedMS += r.BadMS
		}
	}
	return s
}

// LeftMS returns the bad time left for planned work, in milliseconds. A negative value means that the budget is exceeded
// or would be after the loss of a failure domain.
func (s Status) LeftMS() int64 {
	return s.Policy.AllowedMS - s.SeenMS - s.ReservedMS - s.LossMS
}

// Exceeded reports whether the measured bad time exceeds what the window allows.
func (s Status) Exceeded() bool {
	return s.SeenMS > s.Policy.AllowedMS
}

// Counts holds the request counters of a service, summed over all entries. They only rise until an entry restarts.
type Counts struct {
	// Answered counts requests that were answered.
	Answered uint64
	// Bad counts requests that were not answered.
	Bad uint64
}

// BadMS returns the bad time of an interval in milliseconds: the interval times the share of its requests that were not
// answered, rounded up.
func BadMS(before, after Counts, interval time.Duration) int64 {
	if after.Answered < before.Answered || after.Bad < before.Bad {
		// A lower counter means that an entry restarted and counts from zero.
		before = Counts{}
	}
	bad, all := after.Bad-before.Bad, after.Bad-before.Bad+after.Answered-before.Answered
	if all == 0 {
		return 0
	}
	ms := uint64(max(interval.Milliseconds(), 0))
	return int64((ms*bad + all - 1) / all)
}

// ShortfallMS returns the bad time, in milliseconds, of an interval in which a pool has fewer VMs than its demand needs:
// the interval times the missing share of the needed VMs.
func ShortfallMS(need, have int, interval time.Duration) int64 {
	if need <= have || need <= 0 {
		return 0
	}
	return interval.Milliseconds() * int64(need-max(have, 0)) / int64(need)
}
