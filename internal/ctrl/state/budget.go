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
	// maxWindowDays is the longest budget window in days; the schema of the environment document has the same limit.
	maxWindowDays = 366
	// maxReservations bounds the number of reservations in one ledger.
	maxReservations = 64
)

// applyBudget adds bad time to a service's ledger and updates the reservation of a piece of work. Bad time is counted
// only once for any period, and each piece of work has at most one reservation.
func (m *Machine) applyBudget(c record.BudgetChange) record.Result {
	l := m.state.Ledgers[c.Service]
	l.Service = c.Service
	switch {
	case c.Service == "" || c.BadMS < 0 || c.ReserveMS < 0 || c.WindowDays < 1 || c.WindowDays > maxWindowDays:
		return record.Result{Code: record.CodeInvalid, Message: "the change names no service, or its amounts or window are out of range"}
	case c.Until.Before(c.From) || c.BadMS > c.Until.Sub(c.From).Milliseconds():
		return record.Result{Code: record.CodeInvalid, Message: fmt.Sprintf("%d ms of bad time don't fit into the time counted", c.BadMS)}
	case c.From.Before(l.Counted) && c.Until.After(c.From):
		return record.Result{Code: record.CodeConflict, Message: fmt.Sprintf("bad time was counted up to %s already", l.Counted.Format(time.RFC3339))}
	}
	if c.Until.After(c.From) {
		l.Counted = c.Until
		l.Days = addBadTime(slices.Clone(l.Days), c)
	}
	if c.Work != "" {
		l.Reserved = updateReservations(l.Reserved, c, m.state.Time)
	}
	check.That(len(l.Days) <= c.WindowDays+1 && len(l.Reserved) <= maxReservations, "ledger_is_bounded", zap.Any("ledger", l))
	m.state.Ledgers[c.Service] = l
	return record.Result{Code: record.CodeOK}
}

// addBadTime adds the bad time to the day on which the counted period ended, and drops the days that have left the
// window.
func addBadTime(days []fleet.LedgerDay, c record.BudgetChange) []fleet.LedgerDay {
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

// updateReservations replaces the reservation of the work that c names and drops reservations that have lapsed. A
// reservation of 0 ms only removes the old one.
func updateReservations(reserved []fleet.Reservation, c record.BudgetChange, now time.Time) []fleet.Reservation {
	kept := slices.DeleteFunc(slices.Clone(reserved), func(r fleet.Reservation) bool {
		return r.Work == c.Work || r.Until.Before(now)
	})
	if c.ReserveMS > 0 && len(kept) < maxReservations {
		kept = append(kept, fleet.Reservation{Work: c.Work, BadMS: c.ReserveMS, Until: c.ReserveUntil})
	}
	return kept
}

// applyDemand replaces a pool's demand unless a later one is recorded.
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
