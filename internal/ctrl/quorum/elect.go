package quorum

import (
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/check"
)

// admit compares a message's term with the replica's and says whether the message is to be handled.
func (r *Replica) admit(m Message) bool {
	switch {
	case m.Term > r.hard.Term:
		return r.admitNewer(m)
	case m.Term < r.hard.Term:
		r.answerOlder(m)
		return false
	default:
		return true
	}
}

func (r *Replica) admitNewer(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoted:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if !m.Transfer && r.hearsLeader() {
			return false
		}
	default:
	}
	r.follow(m.Term, 0)
	return true
}

// answerOlder lets the sender of an older term learn the present one.
func (r *Replica) answerOlder(m Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		r.send(Message{Kind: MessageAppended, To: m.From, Reject: true, LogIndex: m.LogIndex, Hint: r.commit})
	case MessagePreVote:
		r.send(Message{Kind: MessagePreVoted, To: m.From, Reject: true})
	default:
	}
}

// hearsLeader says whether a leader was heard within the least election time.
func (r *Replica) hearsLeader() bool {
	return r.leader != 0 && r.elapsed < r.options.ElectionTicks
}

// follow makes the replica a follower of a term, under a leader where one is known.
func (r *Replica) follow(term uint64, leader ReplicaID) {
	check.That(term >= r.hard.Term, "term_only_rises", r.fields()...)
	if r.role == RoleLeader {
		r.out.Deposed = true
		r.out.Reads = nil
		r.peers = nil
	}
	if term > r.hard.Term {
		r.hard = HardState{Term: term}
		r.matched = 0
		r.echo = 0
		r.partial = nil
	}
	r.role, r.leader = RoleFollower, leader
	r.rest()
}

// rest starts the wait for a leader anew.
func (r *Replica) rest() {
	r.elapsed = 0
	r.timeout = r.options.ElectionTicks + 1 + r.options.Random(r.options.ElectionTicks/2)
}

// retry starts a short wait, after an election that nobody won yet.
func (r *Replica) retry() {
	r.elapsed = 0
	r.timeout = r.options.ElectionTicks/8 + 1 + r.options.Random(r.options.ElectionTicks/4+1)
}

// preCampaign asks whether an election would be won, without a new term.
func (r *Replica) preCampaign() {
	r.role, r.leader = RolePreCandidate, 0
	r.granted = map[ReplicaID]bool{}
	r.retry()
	r.canvass(Message{Kind: MessagePreVote, Term: r.hard.Term + 1})
	r.count(r.id, true)
}

// campaign stands for election; the replica's own vote counts once it is synced.
func (r *Replica) campaign(transfer bool) {
	r.role, r.leader = RoleCandidate, 0
	r.hard = HardState{Term: r.hard.Term + 1, Vote: r.id}
	r.matched, r.echo, r.partial = 0, 0, nil
	r.granted = map[ReplicaID]bool{}
	r.retry()
	r.canvass(Message{Kind: MessageVote, Transfer: transfer})
}

func (r *Replica) canvass(m Message) {
	m.LogIndex, m.LogTerm = r.log.last(), r.log.lastTerm()
	for _, id := range r.voters() {
		if id != r.id {
			m.To = id
			r.send(m)
		}
	}
}

// stepVote answers a request for a vote or a pre-vote.
func (r *Replica) stepVote(m Message) {
	current := m.LogTerm > r.log.lastTerm() || (m.LogTerm == r.log.lastTerm() && m.LogIndex >= r.log.last())
	if m.Kind == MessagePreVote {
		granted := current && m.Term > r.hard.Term && !r.hearsLeader() && r.role != RoleLeader && !r.precedes(m)
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
		r.rest()
	}
	r.send(Message{Kind: MessageVoted, To: m.From, Reject: !granted})
}

// precedes says whether this replica asks for pre-votes too and goes first: of two with equal logs, one alone does.
func (r *Replica) precedes(m Message) bool {
	equal := m.LogTerm == r.log.lastTerm() && m.LogIndex == r.log.last()
	return r.role == RolePreCandidate && equal && r.id > m.From
}

func (r *Replica) stepVoted(m Message) {
	pre := m.Kind == MessagePreVoted && r.role == RolePreCandidate && (m.Reject || m.Term == r.hard.Term+1)
	if pre || (m.Kind == MessageVoted && r.role == RoleCandidate) {
		r.count(m.From, !m.Reject)
	}
}

// count takes a vote, and goes on where a quorum has granted its votes.
func (r *Replica) count(id ReplicaID, granted bool) {
	if granted {
		r.granted[id] = true
	}
	voters := r.voters()
	won := 0
	for _, v := range voters {
		if r.granted[v] {
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
	r.lead()
}

// lead makes the replica the leader of its term; its first entry commits those of earlier terms.
func (r *Replica) lead() {
	check.That(r.hard.Vote == r.id && r.hard == r.syncedHard, "leader_synced_its_own_vote", r.fields()...)
	r.role, r.leader = RoleLeader, r.id
	r.elapsed = 0
	r.uncommitted = 0
	r.reads, r.readsSent, r.readsDone = 0, 0, 0
	r.transferee = 0
	r.peers = map[ReplicaID]*progress{}
	r.enlist(r.log.last() + 1)
	r.propose(Entry{Kind: EntryEmpty})
	r.broadcast()
}

// Transfer hands the leadership to another voter once that one has caught up.
func (r *Replica) Transfer(to ReplicaID) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if !r.votes(to) || to == r.id {
		return errors.Wrap(ErrMembers, "the leadership goes to another voter only")
	}
	r.transferee, r.transferFor = to, 0
	r.handOver()
	return nil
}

// handOver tells the transferee to stand for election once it holds the whole log.
func (r *Replica) handOver() {
	if r.transferee != 0 && r.peers[r.transferee] != nil && r.peers[r.transferee].match == r.log.last() {
		r.send(Message{Kind: MessageElect, To: r.transferee})
	}
}

func (r *Replica) stepElect(m Message) {
	if r.role == RoleFollower && m.From == r.leader && r.votes(r.id) {
		r.campaign(true)
	}
}

// resign ends the leadership and lets those who still hear this replica elect another at once.
func (r *Replica) resign() {
	for _, id := range r.others() {
		r.send(Message{Kind: MessageResigned, To: id})
	}
	r.follow(r.hard.Term, 0)
}

func (r *Replica) stepResigned(m Message) {
	if r.role == RoleFollower && m.From == r.leader {
		r.leader = 0
		r.retry()
	}
}
