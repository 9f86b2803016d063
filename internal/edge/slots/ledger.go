package slots

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

// Runner is what a home needs to know of an endpoint.
type Runner struct {
	// Key names the runner.
	Key Key
	// Service is the service that it runs.
	Service string
	// Slots is the most requests in progress over all entries.
	Slots int
	// Hold is the longest that a request may be in progress.
	Hold time.Duration
}

// Options says how a ledger grants; all fields are needed.
type Options struct {
	// Self is the name of the entry that holds the ledger.
	Self string
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Peers are all entries that there may be, this one included.
	Peers []string
	// Valid is how long a grant lasts, from when its report was sent.
	Valid time.Duration
	// PerHolder is the most slots of one runner that one entry gets.
	PerHolder int
}

// clockShare is the part of a wait that is added for clocks that run at different rates.
const clockShare = 16

// Ledger is a home's side of the grants; it belongs to one owner.
type Ledger struct {
	options Options
	members []tenure
	runners map[Key]*account
	holders []*holder
	// slots are all announced slots by service, those of other homes included.
	slots map[string]int
	heard map[string]uint64
}

// tenure is a list of members and when it came into force here.
type tenure struct {
	members Members
	since   time.Time
}

// holder is one start of an entry's process as the home knows it.
type holder struct {
	name        string
	incarnation uint64
	number      uint64
	answer      uint64
	renewed     time.Time
	levels      map[string]*level
}

// account is what the home has granted of one runner.
type account struct {
	runner Runner
	// gone means that the runner isn't announced any more; it is kept while grants may be in use.
	gone bool
	// offset is the runner's place in the rounding of its service's shares, from 0 to below 1.
	offset float64
	grants map[*holder]*granted
}

// granted is what one holder may have of one runner.
type granted struct {
	// last is the latest grant.
	last int
	// bound is the most that the holder can have in progress, whichever grants it took.
	bound int
	// sent is the answer that carried the latest grant.
	sent uint64
}

// NewLedger returns a ledger that knows no runner; what was granted before now is waited for.
func NewLedger(o Options, m Members, now time.Time) *Ledger {
	return &Ledger{
		options: o,
		members: []tenure{{since: now}, {members: m.hashed(), since: now}},
		runners: map[Key]*account{},
		heard:   map[string]uint64{},
	}
}

// SetMembers takes a newer list of members.
func (l *Ledger) SetMembers(m Members, now time.Time) {
	if m.Version > l.current().Version {
		l.members = append(l.members, tenure{members: m.hashed(), since: now})
	}
}

// SetRunners takes all announced runners; those with another home are left out.
func (l *Ledger) SetRunners(runners []Runner) {
	for _, a := range l.runners {
		a.gone = true
	}
	totals := map[string]int{}
	for _, r := range slices.SortedFunc(slices.Values(runners), byKey) {
		rank := float64(totals[r.Service])
		totals[r.Service]++
		if l.current().Home(r.Key) != l.options.Self {
			continue
		}
		a, ok := l.runners[r.Key]
		if !ok {
			a = &account{grants: map[*holder]*granted{}}
			l.runners[r.Key] = a
		}
		// A longer hold stays, as requests may run under it.
		r.Hold = max(r.Hold, a.runner.Hold)
		_, a.offset = math.Modf(rank * goldenRatio)
		a.runner, a.gone = r, false
	}
	for k, a := range l.runners {
		if a.gone && len(a.grants) == 0 {
			delete(l.runners, k)
		}
	}
	l.slots = map[string]int{}
	for _, r := range runners {
		l.slots[r.Service] += r.Slots
	}
}

func byKey(a, b Runner) int {
	return cmp.Compare(a.Key, b.Key)
}

// Take answers a report, and returns the names of the other entries that should report soon:
// those that hold what this one lacks.
func (l *Ledger) Take(r Report, now time.Time) (Answer, []string) {
	l.expire(now)
	h := l.find(r)
	if h == nil {
		return Answer{Home: l.options.Incarnation, Resend: true}, nil
	}
	if r.Number <= h.number {
		// A copy, or one that was overtaken: its answer would be void.
		return Answer{Home: l.options.Incarnation, Resend: true}, nil
	}
	h.number = r.Number
	h.demand(r.Demands, now)
	l.heard[h.name] = max(l.heard[h.name], r.Version)
	l.settle(h, r)
	h.renewed = now
	h.answer++
	a := Answer{Home: l.options.Incarnation, Number: h.answer, Valid: l.options.Valid}
	var wake []string
	if r.Version == l.current().Version {
		a.Grants, wake = l.grant(h, r.Answer, now)
	}
	return a, wake
}

// find returns the holder of a report, or nil where a full report is needed first.
func (l *Ledger) find(r Report) *holder {
	for _, h := range l.holders {
		if h.name == r.Holder && h.incarnation == r.Incarnation {
			if r.Full || r.Home == l.options.Incarnation {
				return h
			}
			return nil
		}
	}
	if !r.Full {
		return nil
	}
	h := &holder{name: r.Holder, incarnation: r.Incarnation, levels: map[string]*level{}}
	l.holders = append(l.holders, h)
	return h
}

// settle takes what a report says that the holder has: bounds fall only by what is acknowledged.
func (l *Ledger) settle(h *holder, r Report) {
	claims := map[Key]Claim{}
	for _, c := range r.Claims {
		claims[c.Key] = c
	}
	for k, a := range l.runners {
		g, ok := a.grants[h]
		if !ok {
			continue
		}
		c := claims[k]
		if r.Full {
			g.last, g.bound, g.sent = c.Granted, max(c.Granted, c.InUse), 0
		} else if g.sent <= r.Answer {
			g.bound = max(g.last, c.InUse)
		}
	}
	if !r.Full {
		return
	}
	for _, c := range r.Claims {
		l.adopt(h, c)
	}
}

// adopt takes over what an earlier home granted.
func (l *Ledger) adopt(h *holder, c Claim) {
	a, ok := l.runners[c.Key]
	if !ok {
		a = &account{runner: Runner{Key: c.Key}, gone: true, grants: map[*holder]*granted{}}
		l.runners[c.Key] = a
	}
	if _, ok := a.grants[h]; !ok {
		a.grants[h] = &granted{last: c.Granted, bound: max(c.Granted, c.InUse)}
	}
}

// expire drops what must have ended since its holder was last heard.
func (l *Ledger) expire(now time.Time) {
	for k, a := range l.runners {
		for h, g := range a.grants {
			if g.bound == 0 && g.last == 0 || elapsed(h.renewed, now) >= l.wait(a.runner.Hold) {
				delete(a.grants, h)
			}
		}
		if a.gone && len(a.grants) == 0 {
			delete(l.runners, k)
		}
	}
	l.holders = slices.DeleteFunc(l.holders, func(h *holder) bool {
		return elapsed(h.renewed, now) >= l.wait(l.longestHold())
	})
	for len(l.members) > 1 && elapsed(l.members[1].since, now) >= l.wait(l.longestHold()) {
		l.members = l.members[1:]
	}
}

// wait returns how long after a report all requests under its grants must have ended.
func (l *Ledger) wait(hold time.Duration) time.Duration {
	d := l.options.Valid + hold
	return d + d/clockShare
}

func (l *Ledger) longestHold() time.Duration {
	var longest time.Duration
	for _, a := range l.runners {
		longest = max(longest, a.runner.Hold)
	}
	return longest
}

// settled says whether all that any home ever granted of a runner is known here.
func (l *Ledger) settled(k Key) bool {
	known := true
	for _, t := range l.members {
		known = known && t.members.Home(k) == l.options.Self
	}
	if known {
		return true
	}
	for _, p := range l.options.Peers {
		if l.heard[p] < l.current().Version {
			return false
		}
	}
	return true
}

func (l *Ledger) current() Members {
	return l.members[len(l.members)-1].members
}

// grant sets the holder's slots on each runner, and returns what it doesn't know of yet.
func (l *Ledger) grant(h *holder, taken uint64, now time.Time) ([]Grant, []string) {
	var grants []Grant
	wake := map[string]bool{}
	for k, a := range l.runners {
		if a.gone {
			continue
		}
		g, ok := a.grants[h]
		if !ok {
			g = &granted{}
			a.grants[h] = g
		}
		if slots := l.target(a, h, now, wake); slots != g.last {
			raised := slots > g.bound
			g.last, g.sent, g.bound = slots, h.answer, max(g.bound, slots)
			check.That(!raised || a.bound() <= a.runner.Slots, "slots_within_runner",
				zap.Uint64("runner", uint64(k)), zap.Int("bound", a.bound()), zap.Int("slots", a.runner.Slots))
		}
		if g.sent > taken {
			grants = append(grants, Grant{Key: k, Slots: g.last})
		}
	}
	slices.SortFunc(grants, func(x, y Grant) int { return cmp.Compare(x.Key, y.Key) })
	return grants, l.names(wake, h, now)
}

// bound returns the most that all holders together can have in progress.
func (a *account) bound() int {
	sum := 0
	for _, g := range a.grants {
		sum += g.bound
	}
	return sum
}

// names returns the live entries to wake, without the one that reports.
func (l *Ledger) names(wake map[string]bool, h *holder, now time.Time) []string {
	var names []string
	for _, other := range l.holders {
		if other != h && wake[other.name] && elapsed(other.renewed, now) < l.options.Valid && !slices.Contains(names, other.name) {
			names = append(names, other.name)
		}
	}
	slices.Sort(names)
	return names
}

// elapsed returns the time between two readings by the clock that moved less: a home must not let go too early.
func elapsed(from, to time.Time) time.Duration {
	return min(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
