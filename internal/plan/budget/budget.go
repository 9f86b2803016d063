package budget

import (
	"math"
	"time"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

const (
	day = 24 * time.Hour
	// million is the unit of shares, so that they are whole numbers.
	million = 1_000_000
)

// Policy is what a service's budget is worked out from.
type Policy struct {
	// Service is the service's name.
	Service string
	// Pool is the pool that the service runs on.
	Pool string
	// WindowDays is the length of the rolling window.
	WindowDays int
	// AllowedMS is the bad time that the window allows, in milliseconds.
	AllowedMS int64
	// DeadlineMS is how long a request may wait, in milliseconds.
	DeadlineMS int64
}

// Status is where a service's budget stands.
type Status struct {
	// Policy is what the budget is worked out from.
	Policy Policy
	// SeenMS is the bad time in the window.
	SeenMS int64
	// ReservedMS is what is promised to work under way.
	ReservedMS int64
	// LossMS is what the loss of the largest failure domain would cost.
	LossMS int64
	// Domain is that failure domain; empty where no loss would cost anything.
	Domain string
}

// FromService returns a service's policy.
func FromService(s docs.Service) Policy {
	window := time.Duration(s.WindowDays) * day
	bad := int64(math.Round((1 - s.Availability) * million))
	return Policy{
		Service: string(s.Name), Pool: string(s.Pool), WindowDays: s.WindowDays,
		AllowedMS: window.Milliseconds() / million * bad, DeadlineMS: int64(s.DeadlineMs),
	}
}

// Read returns where a ledger stands now.
func Read(p Policy, l fleet.Ledger, now time.Time) Status {
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

// LeftMS returns what is left to spend on planned work; below zero the budget is broken or would be by the loss of a domain.
func (s Status) LeftMS() int64 {
	return s.Policy.AllowedMS - s.SeenMS - s.ReservedMS - s.LossMS
}

// Broken says whether the bad time seen is more than the window allows.
func (s Status) Broken() bool {
	return s.SeenMS > s.Policy.AllowedMS
}

// Counts are a service's requests over all entries; they only rise.
type Counts struct {
	// Answered counts requests that were answered.
	Answered uint64
	// Bad counts requests that were not.
	Bad uint64
}

// BadMS returns the bad time in an interval: the share of its requests that were not answered.
func BadMS(before, after Counts, interval time.Duration) int64 {
	if after.Answered < before.Answered || after.Bad < before.Bad {
		// An entry restarted and counts from zero.
		before = Counts{}
	}
	bad, all := after.Bad-before.Bad, after.Bad-before.Bad+after.Answered-before.Answered
	if all == 0 {
		return 0
	}
	ms := uint64(max(interval.Milliseconds(), 0))
	return int64((ms*bad + all - 1) / all)
}

// ShortMS returns the bad time in an interval in which a pool has less capacity than its demand.
func ShortMS(need, have int, interval time.Duration) int64 {
	if need <= have || need <= 0 {
		return 0
	}
	return interval.Milliseconds() * int64(need-max(have, 0)) / int64(need)
}
