package slots

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

// Runner describes an endpoint to its home.
type Runner struct {
	// Key identifies the runner.
	Key Key
	// Service is the name of the service that the runner serves.
	Service string
	// Slots is the maximum number of requests in progress from all entries together.
	Slots int
	// MaxRequestTime is the longest that a request may be in progress.
	MaxRequestTime time.Duration
}

// Options configures a ledger; all fields are required.
type Options struct {
	// Self is the name of the entry that holds the ledger.
	Self string
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Peers are the names of all entries that may exist, this one included.
	Peers []string
	// GrantDuration is how long a grant lasts, counted from the sending of its report.
	GrantDuration time.Duration
	// MaxPerHolder is the maximum number of slots of one runner that one entry gets.
	MaxPerHolder int
}

// clockDriftDivisor is the part of a wait, as 1/clockDriftDivisor, that is added because clocks may run at
// different rates.
const clockDriftDivisor = 16

// Ledger is the home's side of the grants. Its methods must be called by one owner.
type Ledger struct {
	options     Options
	memberships []membership
	runners     map[Key]*runnerState
	holders     []*holderState
	// serviceSlots are the slots of all announced runners by service, including those with other homes.
	serviceSlots map[string]int
	// memberVersions are the newest versions of the members that the entries have reported, by entry.
	memberVersions map[string]uint64
}

// membership is a list of members and the time at which this entry adopted it.
type membership struct {
	members Members
	since   time.Time
}

// holderState is what the home knows of one incarnation of an entry.
type holderState struct {
	name        string
	incarnation uint64
	lastReport  uint64
	lastAnswer  uint64
	renewed     time.Time
	demands     map[string]*dampedDemand
}

// runnerState holds the grants of one runner.
type runnerState struct {
	runner Runner
	// removed means that the runner is no longer announced; it is kept while its grants may be in use.
	removed bool
	// roundingOffset is the offset that rounds the shares of this runner, in [0, 1).
	roundingOffset float64
	grants         map[*holderState]*holderGrant
}

// holderGrant is one holder's grant of one runner.
type holderGrant struct {
	// slots is the latest grant.
	slots int
	// bound is the most slots that the holder can have in use, whichever of its grants have reached it.
	bound int
	// answer is the number of the answer that carried the latest grant.
	answer uint64
}

// NewLedger returns a ledger without runners. Grants made before now, by another home or an earlier start of the
// process, are unknown to it: it changes no grant until all peers have reported or those grants must have ended.
func NewLedger(o Options, m Members, now time.Time) *Ledger {
	return &Ledger{
		options:        o,
		memberships:    []membership{{since: now}, {members: m.hashed(), since: now}},
		runners:        map[Key]*runnerState{},
		memberVersions: map[string]uint64{},
	}
}

// SetMembers replaces the members by a newer list; it ignores an older one.
func (l *Ledger) SetMembers(m Members, now time.Time) {
	if m.Version > l.currentMembers().Version {
		l.memberships = append(l.memberships, membership{members: m.hashed(), since: now})
	}
}

// SetRunners sets all announced runners; those whose home is another entry only count in their service's slots.
func (l *Ledger) SetRunners(runners []Runner) {
	for _, rs := range l.runners {
		rs.removed = true
	}
	totals := map[string]int{}
	for _, r := range slices.SortedFunc(slices.Values(runners), compareKeys) {
		rank := float64(totals[r.Service])
		totals[r.Service]++
		if l.currentMembers().Home(r.Key) != l.options.Self {
			continue
		}
		rs, ok := l.runners[r.Key]
		if !ok {
			rs = &runnerState{grants: map[*holderState]*holderGrant{}}
			l.runners[r.Key] = rs
		}
		// MaxRequestTime never falls, because requests under the longer one may still run.
		r.MaxRequestTime = max(r.MaxRequestTime, rs.runner.MaxRequestTime)
		_, rs.roundingOffset = math.Modf(rank * goldenRatio)
		rs.runner, rs.removed = r, false
	}
	for k, rs := range l.runners {
		if rs.removed && len(rs.grants) == 0 {
			delete(l.runners, k)
		}
	}
	l.serviceSlots = map[string]int{}
	for _, r := range runners {
		l.serviceSlots[r.Service] += r.Slots
	}
}

func compareKeys(a, b Runner) int {
	return cmp.Compare(a.Key, b.Key)
}

// HandleReport answers a report, and returns the names of the other entries that should report soon, because they
// hold slots that this one lacks or lack slots that are free.
func (l *Ledger) HandleReport(r Report, now time.Time) (Answer, []string) {
	l.expire(now)
	h := l.findHolder(r)
	if h == nil {
		return Answer{HomeIncarnation: l.options.Incarnation, NeedFull: true}, nil
	}
	if r.Number <= h.lastReport {
		// The report is a duplicate or was overtaken: the entry would ignore the answer.
		return Answer{HomeIncarnation: l.options.Incarnation, NeedFull: true}, nil
	}
	h.lastReport = r.Number
	h.updateDemands(r.Demands, now)
	l.memberVersions[h.name] = max(l.memberVersions[h.name], r.MembersVersion)
	l.applyClaims(h, r)
	h.renewed = now
	h.lastAnswer++
	a := Answer{HomeIncarnation: l.options.Incarnation, Number: h.lastAnswer, GrantDuration: l.options.GrantDuration}
	var wake []string
	if r.MembersVersion == l.currentMembers().Version {
		a.Grants, wake = l.updateGrants(h, r.LastAnswer, now)
	}
	return a, wake
}

// findHolder returns the state of the report's sender, or nil if a full report is needed first.
func (l *Ledger) findHolder(r Report) *holderState {
	for _, h := range l.holders {
		if h.name == r.Holder && h.incarnation == r.Incarnation {
			if r.Full || r.HomeIncarnation == l.options.Incarnation {
				return h
			}
			return nil
		}
	}
	if !r.Full {
		return nil
	}
	h := &holderState{name: r.Holder, incarnation: r.Incarnation, demands: map[string]*dampedDemand{}}
	l.holders = append(l.holders, h)
	return h
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

func (l *Ledger) currentMembers() Members {
	return l.memberships[len(l.memberships)-1].members
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

// elapsed returns the time between two readings, by the monotonic or the wall clock, whichever moved less: a home
// must not drop a grant too early.
func elapsed(from, to time.Time) time.Duration {
	return min(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
