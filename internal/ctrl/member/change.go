package member

import (
	"cmp"
	"slices"

	"cowslipstack/internal/ctrl/quorum"
)

const (
	// maxVoters limits the number of voters, unless the losses to tolerate need more; further replicas stay learners.
	maxVoters = 9
	// replaceAfterMs is how long a voter must be silent before a learner takes its place, in milliseconds.
	replaceAfterMs = 1500
	// ambiguousAfterMs is how long all silent voters must be silent if there are several, in milliseconds: those that only stand still may be
	// back by then.
	ambiguousAfterMs = 4000
	// removeAfterMs is how long a voter must be silent before it is removed in any case while there are more than needed, and a learner before it
	// is removed, in milliseconds.
	removeAfterMs = 8000
)

// NextChange returns the next membership change that aligns the members with the processes that are alive, and false if
// none is needed. losses is the number of disks that may be lost at the same time.
//
// A voter that is silent may still hold its disk, and with it the only copies that are left of what was acknowledged. So it is removed
// only while there are more voters than 2 x losses + 1: a learner is made a voter first. What is removed at once is the old identity of a
// process that has come back without its disk.
func (m *Membership) NextChange(statuses []quorum.MemberStatus, losses int, now int64) (quorum.Change, bool) {
	for _, p := range m.ReplicaProcesses() {
		if p.Name == m.self.Name || !m.processes[p.Name].alive(now) {
			continue
		}
		if !slices.ContainsFunc(statuses, func(s quorum.MemberStatus) bool { return s.Member.ID == p.Replica }) {
			return quorum.Change{Kind: quorum.ChangeAdd, Member: quorum.Member{ID: p.Replica, Name: p.Name}}, true
		}
	}
	v := m.viewOf(statuses, now)
	if old, ok := v.supersededVoter(); ok {
		return quorum.Change{Kind: quorum.ChangeRemove, Member: old}, true
	}
	if surplus, ok := v.surplusVoter(losses); ok {
		return quorum.Change{Kind: quorum.ChangeRemove, Member: surplus}, true
	}
	if learner, ok := v.learnerToPromote(votersFor(losses)); ok {
		return quorum.Change{Kind: quorum.ChangePromote, Member: learner}, true
	}
	return v.silentLearner()
}

// votersFor returns the number of voters of which so many may be lost.
func votersFor(losses int) int { return 2*losses + 1 }

// view is what the leader sees of the members.
type view struct {
	// voters are all voters, the leader included.
	voters []quorum.MemberStatus
	// lost are the voters that have been silent for replaceAfterMs, the one that was silent for longest first.
	lost []silentMember
	// learners are those that have caught up and whose processes are alive, others the learners that aren't.
	learners []quorum.Member
	others   []silentMember
}

// silentMember is a member and how long its process has been silent, in milliseconds.
type silentMember struct {
	status quorum.MemberStatus
	ms     int64
}

func (m *Membership) viewOf(statuses []quorum.MemberStatus, now int64) *view {
	v := &view{}
	for _, s := range statuses {
		silent := silentMember{status: s, ms: m.silentMs(s.Member, now)}
		switch {
		case s.Member.Voter:
			v.voters = append(v.voters, s)
			if !s.Leader && !s.Heard && silent.ms > replaceAfterMs {
				v.lost = append(v.lost, silent)
			}
		case s.CaughtUp && m.isPresent(s.Member, now):
			v.learners = append(v.learners, s.Member)
		default:
			v.others = append(v.others, silent)
		}
	}
	slices.SortStableFunc(v.lost, func(a, b silentMember) int { return cmp.Compare(b.ms, a.ms) })
	return v
}

// isPresent reports whether a member's process is alive with the same replica identity.
func (m *Membership) isPresent(member quorum.Member, now int64) bool {
	k := m.processes[member.Name]
	return member.Name == m.self.Name || k != nil && k.alive(now) && k.process.Replica == member.ID
}

// supersededVoter returns the old identity of a process whose disk was lost, once its new identity has caught up.
func (v *view) supersededVoter() (quorum.Member, bool) {
	for _, s := range v.voters {
		if slices.ContainsFunc(v.learners, func(l quorum.Member) bool { return l.Name == s.Member.Name }) {
			return s.Member, true
		}
	}
	return quorum.Member{}, false
}

// surplusVoter returns the voter to remove while there are more than needed: one that is lost, or one that is heard if the voters are even in
// number, none is lost, and no learner will make them odd. If the voters are partitioned in two, an odd number has a majority on one side, an
// even number may have none.
func (v *view) surplusVoter(losses int) (quorum.Member, bool) {
	even := len(v.voters)%2 == 0
	switch {
	case len(v.voters) <= votersFor(losses):
		return quorum.Member{}, false
	case len(v.lost) > 0:
		longest, shortest := v.lost[0], v.lost[len(v.lost)-1]
		return longest.status.Member, longest.ms > removeAfterMs || shortest.ms > v.patienceMs(losses)
	case even && len(v.learners)+len(v.others) == 0:
		return v.lastHeardVoter()
	default:
		return quorum.Member{}, false
	}
}

// patienceMs returns how long all lost voters must be silent before one of them is removed, in milliseconds.
func (v *view) patienceMs(losses int) int64 {
	voters := len(v.voters)
	bearsLosses := voters-len(v.lost)-losses > voters/2
	switch {
	case bearsLosses && voters%2 == 1 && len(v.learners) == 0:
		return removeAfterMs
	case len(v.lost) > 1:
		return ambiguousAfterMs
	default:
		return replaceAfterMs
	}
}

// lastHeardVoter returns the last voter that doesn't lead, if all are heard.
func (v *view) lastHeardVoter() (last quorum.Member, ok bool) {
	for _, s := range v.voters {
		switch {
		case s.Leader:
		case !s.Heard:
			return quorum.Member{}, false
		default:
			last, ok = s.Member, true
		}
	}
	return last, ok
}

// learnerToPromote returns the learner to make a voter. With an odd number of voters, of which none is lost and as many as needed, the last
// learner stays one.
func (v *view) learnerToPromote(needed int) (quorum.Member, bool) {
	voters, most := len(v.voters), max(maxVoters, needed)
	if len(v.lost) > 0 {
		// The lost one goes afterwards.
		most = max(most, needed+1)
	}
	if len(v.learners) == 0 || voters >= most {
		return quorum.Member{}, false
	}
	keep := len(v.learners) == 1 && voters%2 == 1 && voters >= needed && len(v.lost) == 0
	return v.learners[0], !keep
}

// silentLearner returns the removal of a learner that has been silent for long.
func (v *view) silentLearner() (quorum.Change, bool) {
	for _, o := range v.others {
		if !o.status.Heard && o.ms >= removeAfterMs {
			return quorum.Change{Kind: quorum.ChangeRemove, Member: o.status.Member}, true
		}
	}
	return quorum.Change{}, false
}

// silentMs returns how long a member's process has been silent under the member's replica identity; forgetMs if it is
// unknown under that identity.
func (m *Membership) silentMs(member quorum.Member, now int64) int64 {
	if member.Name == m.self.Name {
		return 0
	}
	k := m.processes[member.Name]
	if k == nil || k.process.Replica != member.ID {
		return forgetMs
	}
	return now - k.heardMs
}
