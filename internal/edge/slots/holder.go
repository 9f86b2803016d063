package slots

import (
	"cmp"
	"slices"
	"time"

	"cowslipstack/internal/edge/route"
)

// Holder is the side of an entry that receives grants: it holds its shares and the state of its reports to each
// home. Its methods must be called by one owner; the shares may be used concurrently.
type Holder struct {
	name        string
	incarnation uint64
	members     Members
	shares      map[Key]*heldShare
	homeStates  map[string]*homeState
	// homeNames caches the homes of the shares; nil after a change.
	homeNames []string
}

// heldShare is a share and the home that renews it.
type heldShare struct {
	share *Share
	home  string
}

// homeState is the state of the exchange between the entry and one home.
type homeState struct {
	reportNumber    uint64
	homeIncarnation uint64
	lastAnswer      uint64
	needFull        bool
}

// NewHolder returns a holder without shares.
func NewHolder(name string, incarnation uint64, m Members) *Holder {
	return &Holder{name: name, incarnation: incarnation, members: m.hashed(), shares: map[Key]*heldShare{}, homeStates: map[string]*homeState{}}
}

// Share returns the share of a runner; a new one has no slots.
func (h *Holder) Share(k Key) *Share {
	s, ok := h.shares[k]
	if !ok {
		s = &heldShare{share: &Share{}, home: h.members.Home(k)}
		h.shares[k] = s
		h.homeNames = nil
	}
	return s.share
}

// Forget drops the share of a runner once none of its slots are in use, and reports whether it is dropped.
func (h *Holder) Forget(k Key) bool {
	s, ok := h.shares[k]
	if !ok {
		return true
	}
	s.share.Grant(0)
	if _, inUse := s.share.Counts(); inUse > 0 {
		return false
	}
	// The full report tells the home that nothing is held, in case the runner comes back.
	h.invalidate(s.home)
	delete(h.shares, k)
	h.homeNames = nil
	return true
}

// SetMembers replaces the members by a newer list; it ignores an older one. A share whose home changes keeps its
// grant, which is in the next full report to the new home.
func (h *Holder) SetMembers(m Members) {
	if m.Version <= h.members.Version {
		return
	}
	m = m.hashed()
	h.members = m
	for k, s := range h.shares {
		if home := m.Home(k); home != s.home {
			s.home = home
			h.homeNames = nil
			h.invalidate(home)
		}
	}
}

// Homes returns the sorted names of the entries that are home to any of the shares.
func (h *Holder) Homes() []string {
	if h.homeNames == nil {
		for _, s := range h.shares {
			if !slices.Contains(h.homeNames, s.home) {
				h.homeNames = append(h.homeNames, s.home)
			}
		}
		slices.Sort(h.homeNames)
	}
	return h.homeNames
}

// Report returns the next report to a home; answers to earlier reports are ignored from now on.
func (h *Holder) Report(home string, demands []Demand) Report {
	state := h.homeState(home)
	state.reportNumber++
	r := Report{
		Holder: h.name, Incarnation: h.incarnation, Number: state.reportNumber, MembersVersion: h.members.Version,
		HomeIncarnation: state.homeIncarnation, LastAnswer: state.lastAnswer, Full: state.needFull || state.homeIncarnation == 0, Demands: demands,
	}
	for k, s := range h.shares {
		granted, inUse := s.share.Counts()
		if s.home == home && (inUse > granted || r.Full && granted+inUse > 0) {
			r.Claims = append(r.Claims, Claim{Key: k, Granted: granted, InUse: inUse})
		}
	}
	slices.SortFunc(r.Claims, func(a, b Claim) int { return cmp.Compare(a.Key, b.Key) })
	return r
}

// HandleAnswer applies a home's answer to the report with the given number, which was sent at the given time. It
// returns whether the home should get another report at once, because slots are given back or a full report is
// needed.
func (h *Holder) HandleAnswer(home string, number uint64, sent time.Time, a Answer) bool {
	state := h.homeState(home)
	if number != state.reportNumber {
		return false
	}
	if a.NeedFull {
		state.needFull = true
		return true
	}
	// Once an answer is applied, all earlier reports are invalid, so that a copy of their answers is ignored.
	state.reportNumber++
	state.homeIncarnation, state.lastAnswer, state.needFull = a.HomeIncarnation, a.Number, false
	lowered := false
	for _, g := range a.Grants {
		s, ok := h.shares[g.Key]
		if !ok || s.home != home {
			continue
		}
		granted, _ := s.share.Counts()
		lowered = lowered || g.Slots < granted
		s.share.Grant(g.Slots)
	}
	lease := &route.Lease{Start: sent, Length: a.GrantDuration}
	for _, s := range h.shares {
		if s.home == home {
			s.share.renew(lease)
		}
	}
	return lowered
}

// invalidate makes the holder ignore answers in transit from the home, and the next report to it a full one.
func (h *Holder) invalidate(home string) {
	state := h.homeState(home)
	state.reportNumber++
	state.needFull = true
}

func (h *Holder) homeState(home string) *homeState {
	state, ok := h.homeStates[home]
	if !ok {
		state = &homeState{}
		h.homeStates[home] = state
	}
	return state
}
