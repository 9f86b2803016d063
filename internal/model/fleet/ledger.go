package fleet

import "time"

// Ledger is the bad time of one service over a rolling window.
type Ledger struct {
	// Service is the service's name.
	Service string
	// Counted is the time up to which bad time was counted.
	Counted time.Time
	// Days hold the bad time seen, oldest first; at most one for each day of the window.
	Days []LedgerDay
	// Reserved is bad time promised to work under way, by the work's name.
	Reserved []Reservation
}

// LedgerDay is the bad time that was seen on one day.
type LedgerDay struct {
	// Day counts days since 1970 in UTC.
	Day int64
	// BadMS is bad time in milliseconds.
	BadMS int64
}

// Reservation is bad time promised to one piece of work under way.
type Reservation struct {
	// Work names the work.
	Work string
	// BadMS is the most bad time that the work may cost, in milliseconds.
	BadMS int64
	// Until is when the promise lapses, should its owner be lost.
	Until time.Time
}
