package slots

import (
	"slices"
	"time"
)

// clockDriftDivisor is the part of a wait, as 1/clockDriftDivisor, that is added because clocks may run at
// different rates.
const clockDriftDivisor = 16

// expire drops grants, holders and lists of members under which every request must have ended.
func (l *Ledger) expire(now time.Time) {
	for k, rs := range l.runners {
		for h, g := range rs.grants {
			if g.bound == 0 && g.slots == 0 || elapsed(h.renewed, now) >= l.expiryDelay(rs.runner.MaxRequestTime) {
				delete(rs.grants, h)
			}
		}
		if rs.removed && len(rs.grants) == 0 {
			delete(l.runners, k)
		}
	}
	l.holders = slices.DeleteFunc(l.holders, func(h *holderState) bool {
		return elapsed(h.renewed, now) >= l.expiryDelay(l.longestRequestTime())
	})
	for len(l.memberships) > 1 && elapsed(l.memberships[1].since, now) >= l.expiryDelay(l.longestRequestTime()) {
		l.memberships = l.memberships[1:]
	}
}

// expiryDelay returns how long after a report all requests under its grants must have ended.
func (l *Ledger) expiryDelay(maxRequestTime time.Duration) time.Duration {
	delay := l.options.GrantDuration + maxRequestTime
	return delay + delay/clockDriftDivisor
}

func (l *Ledger) longestRequestTime() time.Duration {
	var longest time.Duration
	for _, rs := range l.runners {
		longest = max(longest, rs.runner.MaxRequestTime)
	}
	return longest
}

// elapsed returns the time between two readings, by the monotonic or the wall clock, whichever moved less: a home
// must not drop a grant too early.
func elapsed(from, to time.Time) time.Duration {
	return min(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
