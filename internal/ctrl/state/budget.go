package state

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

const (
	day = 24 * time.Hour
	// windowLimit is the longest window in days, as the document's schema has it.
	windowLimit = 366
	// reservationLimit bounds the reservations of one ledger.
	reservationLimit = 64
)

// applyBudget counts bad time once, and keeps one reservation for each piece of work.
func (m *Machine) applyBudget(c record.BudgetChange) record.Result {
	l := m.state.Ledgers[c.Service]
	l.Service = c.Service
	switch {
	case c.Service == "" || c.BadMS < 0 || c.ReserveMS < 0 || c.WindowDays < 1 || c.WindowDays > windowLimit:
		return record.Result{Code: record.CodeInvalid, Message: "the change names no service, or its amounts or window are out of range"}
	case c.Until.Before(c.From) || c.BadMS > c.Until.Sub(c.From).Milliseconds():
		return record.Result{Code: record.CodeInvalid, Message: fmt.Sprintf("%d ms of bad time don't fit into the time counted", c.BadMS)}
	case c.From.Before(l.Counted) && c.Until.After(c.From):
		return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("bad time was counted up to %s already", l.Counted.Format(time.RFC3339))}
	}
	if c.Until.After(c.From) {
		l.Counted = c.Until
		l.Days = countDay(slices.Clone(l.Days), c)
	}
	if c.Work != "" {
		l.Reserved = reserve(l.Reserved, c, m.state.Time)
	}
	check.That(len(l.Days) <= c.WindowDays+1 && len(l.Reserved) <= reservationLimit, "ledger_is_bounded", zap.Any("ledger", l))
	m.state.Ledgers[c.Service] = l
	return record.Result{Code: record.CodeOK}
}

// countDay adds to the day on which the counted time ended and drops what has left the window.
func countDay(days []fleet.LedgerDay, c record.BudgetChange) []fleet.LedgerDay {
	today := c.Until.Unix() / int64(day/time.Second)
	days = slices.DeleteFunc(days, func(d fleet.LedgerDay) bool { return d.Day < today-int64(c.WindowDays) })
	if c.BadMS == 0 {
		return days
	}
	if len(days) > 0 && days[len(days)-1].Day == today {
		days[len(days)-1].BadMS += c.BadMS
		return days
	}
	return append(days, fleet.LedgerDay{Day: today, BadMS: c.BadMS})
}

func reserve(reserved []fleet.Reservation, c record.BudgetChange, now time.Time) []fleet.Reservation {
	kept := slices.DeleteFunc(slices.Clone(reserved), func(r fleet.Reservation) bool {
		return r.Work == c.Work || r.Until.Before(now)
	})
	if c.ReserveMS > 0 && len(kept) < reservationLimit {
		kept = append(kept, fleet.Reservation{Work: c.Work, BadMS: c.ReserveMS, Until: c.ReserveUntil})
	}
	return kept
}

// applyDemand replaces a pool's demand by a later one.
func (m *Machine) applyDemand(d fleet.Demand) record.Result {
	switch {
	case d.Pool == "":
		return record.Result{Code: record.CodeInvalid, Message: "the change names no pool"}
	case d.Updated.Before(m.state.Demands[d.Pool].Updated):
		return record.Result{Code: record.CodeConflict, Message: "a later demand is known"}
	}
	m.state.Demands[d.Pool] = d
	return record.Result{Code: record.CodeOK}
}
