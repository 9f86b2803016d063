package slots

import (
	"cmp"
	"math"
	"slices"
	"time"
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

func (l *Ledger) currentMembers() Members {
	return l.memberships[len(l.memberships)-1].members
}
