package member

import (
	"slices"

	"cowslipstack/internal/ctrl/quorum"
)

const (
	// maxVoters limits the number of voters; further replicas stay learners.
	maxVoters = 9
	// replaceAfterMs is how long a voter must be silent before a learner replaces it, in milliseconds.
	replaceAfterMs = 1500
	// removeAfterMs is how long a surplus voter or a learner must be silent before it is removed, in milliseconds.
	removeAfterMs = 8000
)

// NextChange returns the next membership change that aligns the members with the processes that are alive, and false if
// none is needed. losses is the number of simultaneous voter losses to tolerate.
func (m *Membership) NextChange(statuses []quorum.MemberStatus, losses int, now int64) (quorum.Change, bool) {
	for _, p := range m.ReplicaProcesses() {
		if p.Name == m.self.Name || !m.processes[p.Name].alive(now) {
			continue
		}
		if !slices.ContainsFunc(statuses, func(s quorum.MemberStatus) bool { return s.Member.ID == p.Replica }) {
			return quorum.Change{Kind: quorum.ChangeAdd, Member: quorum.Member{ID: p.Replica, Name: p.Name}}, true
		}
	}
	learners := m.promotableLearners(statuses, now)
	if len(learners) > 0 {
		if change, ok := m.changeForLearner(learners, statuses, losses, now); ok {
			return change, true
		}
	}
	return m.changeForSilentMember(statuses, losses, now)
}

// promotableLearners returns the learners that have caught up and whose processes are alive.
func (m *Membership) promotableLearners(statuses []quorum.MemberStatus, now int64) []quorum.MemberStatus {
	var all []quorum.MemberStatus
	for _, s := range statuses {
		if !s.Member.Voter && s.CaughtUp && m.isPresent(s.Member, now) {
			all = append(all, s)
		}
	}
	return all
}

// isPresent reports whether a member's process is alive with the same replica identity.
func (m *Membership) isPresent(member quorum.Member, now int64) bool {
	k := m.processes[member.Name]
	return member.Name == m.self.Name || k != nil && k.alive(now) && k.process.Replica == member.ID
}

// changeForLearner returns the next step towards making a learner a voter: first the old identity of its process, or a
// voter that is lost, is removed. With an even number of replicas one stays a learner and replaces the next voter that is
// lost: if the voters are partitioned in two, an odd number has a majority on one side, an even number may have none.
func (m *Membership) changeForLearner(learners, statuses []quorum.MemberStatus, losses int, now int64) (quorum.Change, bool) {
	s := learners[0]
	voters, lost := 0, quorum.Member{}
	for _, o := range statuses {
		if !o.Member.Voter {
			continue
		}
		voters++
		if slices.ContainsFunc(learners, func(l quorum.MemberStatus) bool { return l.Member.Name == o.Member.Name }) {
			return quorum.Change{Kind: quorum.ChangeRemove, Member: o.Member}, true
		}
		if !o.Leader && !o.Heard && m.silentMs(o.Member, now) > replaceAfterMs {
			lost = o.Member
		}
	}
	if lost.ID != 0 {
		return quorum.Change{Kind: quorum.ChangeRemove, Member: lost}, true
	}
	keepAsLearner := len(learners) == 1 && voters%2 == 1 && voters >= 2*losses+1
	return quorum.Change{Kind: quorum.ChangePromote, Member: s.Member}, voters < maxVoters && !keepAsLearner
}

// changeForSilentMember returns the removal of a silent learner, or of a silent voter that is not needed to tolerate
// losses; false if there is none.
func (m *Membership) changeForSilentMember(statuses []quorum.MemberStatus, losses int, now int64) (quorum.Change, bool) {
	voters := 0
	for _, s := range statuses {
		if s.Member.Voter {
			voters++
		}
	}
	for _, s := range statuses {
		silent := m.silentMs(s.Member, now)
		switch {
		case s.Leader || s.Heard || silent < removeAfterMs:
		case !s.Member.Voter, voters > 2*losses+1:
			return quorum.Change{Kind: quorum.ChangeRemove, Member: s.Member}, true
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
