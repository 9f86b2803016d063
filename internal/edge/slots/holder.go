package slots

import (
	"cmp"
	"slices"
	"time"

	"cowslipstack/internal/edge/route"
)

// Holder is an entry's side of the grants: its shares and what it has told each home.
// Its methods belong to one owner; the shares themselves are for traffic.
type Holder struct {
	name        string
	incarnation uint64
	members     Members
	shares      map[Key]*held
	pairs       map[string]*pair
	// homes are the homes of the shares; nil after a change.
	homes []string
}

// held is a share with the home that it is renewed by.
type held struct {
	share *Share
	home  string
}

// pair is what passed between the entry and one home.
type pair struct {
	number uint64
	home   uint64
	answer uint64
	full   bool
}

// NewHolder returns a holder without shares.
func NewHolder(name string, incarnation uint64, m Members) *Holder {
	return &Holder{name: name, incarnation: incarnation, members: m.hashed(), shares: map[Key]*held{}, pairs: map[string]*pair{}}
}

// Share returns the share of a runner, made with no slots where it is new.
func (h *Holder) Share(k Key) *Share {
	s, ok := h.shares[k]
	if !ok {
		s = &held{share: &Share{}, home: h.members.Home(k)}
		h.shares[k] = s
		h.homes = nil
	}
	return s.share
}

// Forget drops a runner that left once none of its slots are in use; it says whether it did.
func (h *Holder) Forget(k Key) bool {
	s, ok := h.shares[k]
	if !ok {
		return true
	}
	s.share.Grant(0)
	if _, inUse := s.share.Counts(); inUse > 0 {
		return false
	}
	// The home learns from a full report that nothing is held, should the runner come back.
	h.void(s.home)
	delete(h.shares, k)
	h.homes = nil
	return true
}

// SetMembers takes a newer list of members; shares whose home changes keep
// their grant and are told to the new home in a full report.
func (h *Holder) SetMembers(m Members) {
	if m.Version <= h.members.Version {
		return
	}
	m = m.hashed()
	h.members = m
	for k, s := range h.shares {
		if home := m.Home(k); home != s.home {
			s.home = home
			h.homes = nil
			h.void(home)
		}
	}
}

// Homes returns the entries that are home to any of the shares, by name.
func (h *Holder) Homes() []string {
	if h.homes == nil {
		for _, s := range h.shares {
			if !slices.Contains(h.homes, s.home) {
				h.homes = append(h.homes, s.home)
			}
		}
		slices.Sort(h.homes)
	}
	return h.homes
}

// Report returns the next report to a home; an answer to an earlier one is void from here on.
func (h *Holder) Report(home string, demands []Demand) Report {
	p := h.pair(home)
	p.number++
	r := Report{
		Holder: h.name, Incarnation: h.incarnation, Number: p.number, Version: h.members.Version,
		Home: p.home, Answer: p.answer, Full: p.full || p.home == 0, Demands: demands,
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

// Accept takes a home's answer to the report of the number, which was sent at the time. It returns
// whether the home should hear of it at once, because slots are given back or more is to be told.
func (h *Holder) Accept(home string, number uint64, sent time.Time, a Answer) bool {
	p := h.pair(home)
	if number != p.number {
		return false
	}
	if a.Resend {
		p.full = true
		return true
	}
	// An answer taken makes every earlier report void, so that a copy of one can't be taken again.
	p.number++
	p.home, p.answer, p.full = a.Home, a.Number, false
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
	lease := &route.Lease{Start: sent, Length: a.Valid}
	for _, s := range h.shares {
		if s.home == home {
			s.share.renew(lease)
		}
	}
	return lowered
}

// void makes answers under way void and the next report to a home a full one.
func (h *Holder) void(home string) {
	p := h.pair(home)
	p.number++
	p.full = true
}

func (h *Holder) pair(home string) *pair {
	p, ok := h.pairs[home]
	if !ok {
		p = &pair{}
		h.pairs[home] = p
	}
	return p
}
