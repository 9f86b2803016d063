package fleet

import "time"

// Ledger records the bad time of one service over a rolling window.
// The bad time in an interval is its length times the share of requests that were not answered.
type Ledger struct {
	// Service is the name of the service.
	Service string
	// Counted is the time up to which bad time was counted.
	Counted time.Time
	// Days hold the bad time seen, oldest first; at most one for each day of the window.
	Days []LedgerDay
	// Reserved is the bad time that is set aside for work under way, at most one for each name of a piece of work.
	Reserved []Reservation
}

// LedgerDay is the bad time that was seen on one day.
type LedgerDay struct {
	// Day is the number of days since 1970-01-01 in UTC.
	Day int64
	// BadMS is the bad time in milliseconds.
	BadMS int64
}

// Reservation is bad time that is set aside for one piece of work under way.
type Reservation struct {
	// Work is the name of a wave, a move or an operator's drain.
	Work string
	// BadMS is the most bad time that the work may cause, in milliseconds.
	BadMS int64
	// Until is when the reservation expires if its owner is lost.
	Until time.Time
}
