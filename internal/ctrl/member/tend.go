package member

import (
	"slices"

	"cowslipstack/internal/ctrl/quorum"
)

const (
	// votersAtMost bounds the replicas that vote; others follow.
	votersAtMost = 9
	// goneMs is how long a voter must be silent before a newcomer takes its place, in milliseconds.
	goneMs = 1500
	// staleMs is how long a voter must be silent before it is taken out where more vote than are needed, in milliseconds.
	staleMs = 8000
)

// Tend returns the next change that brings the members in step with the processes that are there; ok is false for none.
// losses is how many voters may be lost at once.
func (r *Membership) Tend(standings []quorum.Standing, losses int, now int64) (quorum.Change, bool) {
	for _, p := range r.Core() {
		if p.Name == r.self.Name || !r.entries[p.Name].alive(now) {
			continue
		}
		if !slices.ContainsFunc(standings, func(s quorum.Standing) bool { return s.Member.ID == p.Replica }) {
			return quorum.Change{Kind: quorum.ChangeAdd, Member: quorum.Member{ID: p.Replica, Name: p.Name}}, true
		}
	}
	learners := r.learners(standings, now)
	if len(learners) > 0 {
		if change, ok := r.admit(learners, standings, losses, now); ok {
			return change, true
		}
	}
	return r.retire(standings, losses, now)
}

// learners returns the learners that could vote.
func (r *Membership) learners(standings []quorum.Standing, now int64) []quorum.Standing {
	var all []quorum.Standing
	for _, s := range standings {
		if !s.Member.Voter && s.CaughtUp && r.present(s.Member, now) {
			all = append(all, s)
		}
	}
	return all
}

// present says whether a member's process is alive under the same identity.
func (r *Membership) present(m quorum.Member, now int64) bool {
	e := r.entries[m.Name]
	return m.Name == r.self.Name || e != nil && e.alive(now) && e.process.Replica == m.ID
}

// admit makes a learner a voter, after the old identity of its process, or a voter that is gone, is out. Of an even count of
// replicas one stays a learner, and takes the place of the next voter that is gone: an odd count of voters has a majority in
// one of any two halves, an even count may have none.
func (r *Membership) admit(learners, standings []quorum.Standing, losses int, now int64) (quorum.Change, bool) {
	s := learners[0]
	voters, gone := 0, quorum.Member{}
	for _, o := range standings {
		if !o.Member.Voter {
			continue
		}
		voters++
		if slices.ContainsFunc(learners, func(l quorum.Standing) bool { return l.Member.Name == o.Member.Name }) {
			return quorum.Change{Kind: quorum.ChangeRemove, Member: o.Member}, true
		}
		if !o.Leader && !o.Heard && r.silentMs(o.Member, now) > goneMs {
			gone = o.Member
		}
	}
	if gone.ID != 0 {
		return quorum.Change{Kind: quorum.ChangeRemove, Member: gone}, true
	}
	last := len(learners) == 1 && voters%2 == 1 && voters >= 2*losses+1
	return quorum.Change{Kind: quorum.ChangePromote, Member: s.Member}, voters < votersAtMost && !last
}

// retire takes out members that are gone and that nobody needs.
func (r *Membership) retire(standings []quorum.Standing, losses int, now int64) (quorum.Change, bool) {
	voters := 0
	for _, s := range standings {
		if s.Member.Voter {
			voters++
		}
	}
	for _, s := range standings {
		silent := r.silentMs(s.Member, now)
		switch {
		case s.Leader || s.Heard || silent < staleMs:
		case !s.Member.Voter, voters > 2*losses+1:
			return quorum.Change{Kind: quorum.ChangeRemove, Member: s.Member}, true
		}
	}
	return quorum.Change{}, false
}

// silentMs returns how long a member's process, under the member's identity, has not spoken.
func (r *Membership) silentMs(m quorum.Member, now int64) int64 {
	if m.Name == r.self.Name {
		return 0
	}
	e := r.entries[m.Name]
	if e == nil || e.process.Replica != m.ID {
		return forgetMs
	}
	return now - e.heardMs
}
