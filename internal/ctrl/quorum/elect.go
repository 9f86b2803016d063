package quorum

import (
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/check"
)

// maxTermStep is above the number of elections that a replica can have missed.
const maxTermStep = 1 << 32

// Plausible reports whether elections can have led from the replica's term to that of a message. Another writer's term
// near the largest number would wrap at the next candidacy.
func (r *Replica) Plausible(m Message) bool {
	return m.Term <= r.hard.Term || m.Term-r.hard.Term <= maxTermStep
}

// checkTerm compares the message's term with the replica's and reports whether the message is to be handled.
func (r *Replica) checkTerm(m Message) bool {
	switch {
	case !r.Plausible(m):
		return false
	case m.Term > r.hard.Term:
		return r.handleNewerTerm(m)
	case m.Term < r.hard.Term:
		r.rejectOlderTerm(m)
		return false
	default:
		return true
	}
}

func (r *Replica) handleNewerTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoted:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if !m.Transfer && r.hasRecentLeader() {
			return false
		}
	default:
	}
	r.becomeFollower(m.Term, 0)
	return true
}

// rejectOlderTerm answers a message of an older term, so that its sender learns the current one.
func (r *Replica) rejectOlderTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		r.send(Message{Kind: MessageAppended, To: m.From, Reject: true, LogIndex: m.LogIndex, Hint: r.commit})
	case MessagePreVote:
		r.send(Message{Kind: MessagePreVoted, To: m.From, Reject: true})
	default:
	}
}

// hasRecentLeader reports whether a leader was heard within the minimum election timeout.
func (r *Replica) hasRecentLeader() bool {
	return r.leader != 0 && r.elapsed < r.options.ElectionTicks
}

// becomeFollower makes the replica a follower in term; leader is 0 if unknown.
func (r *Replica) becomeFollower(term uint64, leader ReplicaID) {
	check.That(term >= r.hard.Term, "term_only_rises", r.logFields()...)
	if r.role == RoleLeader {
		r.out.Deposed = true
		r.out.Reads = nil
		r.peers = nil
	}
	if term > r.hard.Term {
		r.hard = HardState{Term: term}
		r.matched = 0
		r.leaderContext = 0
		r.partial = nil
	}
	r.role, r.leader = RoleFollower, leader
	r.resetElectionTimer()
}

// resetElectionTimer restarts the election timer with a new random timeout.
func (r *Replica) resetElectionTimer() {
	r.elapsed = 0
	r.electionTimeout = r.options.ElectionTicks + 1 + r.options.Random(r.options.ElectionTicks/2)
}

// resetRetryTimer restarts the election timer with a short timeout, for an election that is not won yet.
func (r *Replica) resetRetryTimer() {
	r.elapsed = 0
	r.electionTimeout = r.options.ElectionTicks/8 + 1 + r.options.Random(r.options.ElectionTicks/4+1)
}

// preCampaign requests pre-votes without starting a new term.
func (r *Replica) preCampaign() {
	r.role, r.leader = RolePreCandidate, 0
	r.grantedVotes = map[ReplicaID]bool{}
	r.resetRetryTimer()
	r.requestVotes(Message{Kind: MessagePreVote, Term: r.hard.Term + 1})
	r.recordVote(r.id, true)
}

// campaign starts an election in a new term; the replica's own vote counts once it is synced.
func (r *Replica) campaign(transfer bool) {
	r.role, r.leader = RoleCandidate, 0
	r.hard = HardState{Term: r.hard.Term + 1, Vote: r.id}
	r.matched, r.leaderContext, r.partial = 0, 0, nil
	r.grantedVotes = map[ReplicaID]bool{}
	r.resetRetryTimer()
	r.requestVotes(Message{Kind: MessageVote, Transfer: transfer})
}

func (r *Replica) requestVotes(m Message) {
	m.LogIndex, m.LogTerm = r.log.last(), r.log.lastTerm()
	for _, id := range r.voters() {
		if id != r.id {
			m.To = id
			r.send(m)
		}
	}
}

// stepVote answers a vote or pre-vote request.
func (r *Replica) stepVote(m Message) {
	current := m.LogTerm > r.log.lastTerm() || (m.LogTerm == r.log.lastTerm() && m.LogIndex >= r.log.last())
	if m.Kind == MessagePreVote {
		granted := current && m.Term > r.hard.Term && !r.hasRecentLeader() && r.role != RoleLeader && !r.hasPriorityOver(m)
		answer := Message{Kind: MessagePreVoted, To: m.From, Reject: !granted}
		if granted {
			answer.Term = m.Term
		}
		r.send(answer)
		return
	}
	granted := current && (r.hard.Vote == m.From || (r.hard.Vote == 0 && r.leader == 0))
	if granted {
		r.hard.Vote = m.From
		r.resetElectionTimer()
	}
	r.send(Message{Kind: MessageVoted, To: m.From, Reject: !granted})
}

// hasPriorityOver reports whether this replica is a pre-candidate too and takes precedence over the sender.
// Of two pre-candidates with equal logs only the one with the higher ID does, so that one alone starts an election.
func (r *Replica) hasPriorityOver(m Message) bool {
	equal := m.LogTerm == r.log.lastTerm() && m.LogIndex == r.log.last()
	return r.role == RolePreCandidate && equal && r.id > m.From
}

func (r *Replica) stepVoted(m Message) {
	pre := m.Kind == MessagePreVoted && r.role == RolePreCandidate && (m.Reject || m.Term == r.hard.Term+1)
	if pre || (m.Kind == MessageVoted && r.role == RoleCandidate) {
		r.recordVote(m.From, !m.Reject)
	}
}

// Votes returns the voters, and those of them that have granted their votes in the election that this replica has begun; none if it has
// begun none.
func (r *Replica) Votes() (voters, granted []ReplicaID) {
	voters = r.voters()
	if r.role == RoleFollower || r.role == RoleLeader {
		return voters, nil
	}
	for _, id := range voters {
		if r.grantedVotes[id] {
			granted = append(granted, id)
		}
	}
	return voters, granted
}

// recordVote records an answer and, once a quorum has granted its votes, starts the election or becomes leader.
func (r *Replica) recordVote(id ReplicaID, granted bool) {
	if granted {
		r.grantedVotes[id] = true
	}
	voters := r.voters()
	won := 0
	for _, v := range voters {
		if r.grantedVotes[v] {
			won++
		}
	}
	if won <= len(voters)/2 {
		return
	}
	if r.role == RolePreCandidate {
		r.campaign(false)
		return
	}
	r.becomeLeader()
}

// becomeLeader makes the replica the leader of its term. Its first, empty entry commits the entries of earlier terms.
func (r *Replica) becomeLeader() {
	check.That(r.hard.Vote == r.id && r.hard == r.syncedHard, "leader_synced_its_own_vote", r.logFields()...)
	r.role, r.leader = RoleLeader, r.id
	r.elapsed = 0
	r.uncommitted = 0
	r.readsRequested, r.readsSent, r.readsConfirmed = 0, 0, 0
	r.transferee = 0
	r.peers = map[ReplicaID]*progress{}
	r.updatePeers(r.log.last() + 1)
	r.propose(Entry{Kind: EntryEmpty})
	r.broadcastHeartbeat()
}

// Transfer starts a leadership transfer to another voter, which takes over once it has caught up. It returns
// ErrNotLeader, or ErrInvalidMembers if to is not another voter.
func (r *Replica) Transfer(to ReplicaID) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if !r.isVoter(to) || to == r.id {
		return errors.Wrap(ErrInvalidMembers, "the leadership goes to another voter only")
	}
	r.transferee, r.transferTicks = to, 0
	r.continueTransfer()
	return nil
}

// continueTransfer tells the transferee to start an election once it has the whole log.
func (r *Replica) continueTransfer() {
	if r.transferee != 0 && r.peers[r.transferee] != nil && r.peers[r.transferee].match == r.log.last() {
		r.send(Message{Kind: MessageElect, To: r.transferee})
	}
}

func (r *Replica) stepElect(m Message) {
	if r.role == RoleFollower && m.From == r.leader && r.isVoter(r.id) {
		r.campaign(true)
	}
}

// resign steps down and announces it, so that members that still hear this replica can elect another leader at once.
func (r *Replica) resign() {
	for _, id := range r.peerIDs() {
		r.send(Message{Kind: MessageResigned, To: id})
	}
	r.becomeFollower(r.hard.Term, 0)
}

func (r *Replica) stepResigned(m Message) {
	if r.role == RoleFollower && m.From == r.leader {
		r.leader = 0
		r.resetRetryTimer()
	}
}
