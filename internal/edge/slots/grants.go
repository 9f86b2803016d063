package slots

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

// holderGrant is one holder's grant of one runner.
type holderGrant struct {
	// slots is the latest grant.
	slots int
	// bound is the most slots that the holder can have in use, whichever of its grants have reached it.
	bound int
	// answer is the number of the answer that carried the latest grant.
	answer uint64
}

// applyClaims updates the holder's grants from its report; a bound falls only to what the holder has acknowledged.
func (l *Ledger) applyClaims(h *holderState, r Report) {
	claims := map[Key]Claim{}
	for _, c := range r.Claims {
		claims[c.Key] = c
	}
	for k, rs := range l.runners {
		g, ok := rs.grants[h]
		if !ok {
			continue
		}
		c := claims[k]
		if r.Full {
			g.slots, g.bound, g.answer = c.Granted, max(c.Granted, c.InUse), 0
		} else if g.answer <= r.LastAnswer {
			g.bound = max(g.slots, c.InUse)
		}
	}
	if !r.Full {
		return
	}
	for _, c := range r.Claims {
		l.adoptClaim(h, c)
	}
}

// adoptClaim records a grant that an earlier home made.
func (l *Ledger) adoptClaim(h *holderState, c Claim) {
	rs, ok := l.runners[c.Key]
	if !ok {
		rs = &runnerState{runner: Runner{Key: c.Key}, removed: true, grants: map[*holderState]*holderGrant{}}
		l.runners[c.Key] = rs
	}
	if _, ok := rs.grants[h]; !ok {
		rs.grants[h] = &holderGrant{slots: c.Granted, bound: max(c.Granted, c.InUse)}
	}
}

// allGrantsKnown reports whether this home knows all grants of a runner, including those of earlier homes.
func (l *Ledger) allGrantsKnown(k Key) bool {
	known := true
	for _, ms := range l.memberships {
		known = known && ms.members.Home(k) == l.options.Self
	}
	if known {
		return true
	}
	for _, p := range l.options.Peers {
		if l.memberVersions[p] < l.currentMembers().Version {
			return false
		}
	}
	return true
}

// updateGrants sets the holder's slots of each runner, and returns the grants that the holder has not acknowledged
// and the entries to wake. The argument lastApplied is the number of the last answer that the holder applied.
func (l *Ledger) updateGrants(h *holderState, lastApplied uint64, now time.Time) ([]Grant, []string) {
	var grants []Grant
	wake := map[string]bool{}
	for k, rs := range l.runners {
		if rs.removed {
			continue
		}
		g, ok := rs.grants[h]
		if !ok {
			g = &holderGrant{}
			rs.grants[h] = g
		}
		if slots := l.targetSlots(rs, h, now, wake); slots != g.slots {
			raised := slots > g.bound
			g.slots, g.answer, g.bound = slots, h.lastAnswer, max(g.bound, slots)
			check.That(!raised || rs.bound() <= rs.runner.Slots, "slots_within_runner",
				zap.Uint64("runner", uint64(k)), zap.Int("bound", rs.bound()), zap.Int("slots", rs.runner.Slots))
		}
		if g.answer > lastApplied {
			grants = append(grants, Grant{Key: k, Slots: g.slots})
		}
	}
	slices.SortFunc(grants, func(x, y Grant) int { return cmp.Compare(x.Key, y.Key) })
	return grants, l.entriesToWake(wake, h, now)
}

// bound returns the most slots that all holders together can have in use.
func (rs *runnerState) bound() int {
	sum := 0
	for _, g := range rs.grants {
		sum += g.bound
	}
	return sum
}

// entriesToWake returns the sorted names of the live entries in wake, without the reporting one.
func (l *Ledger) entriesToWake(wake map[string]bool, h *holderState, now time.Time) []string {
	var names []string
	for _, other := range l.holders {
		if other != h && wake[other.name] && elapsed(other.renewed, now) < l.options.GrantDuration && !slices.Contains(names, other.name) {
			names = append(names, other.name)
		}
	}
	slices.Sort(names)
	return names
}
