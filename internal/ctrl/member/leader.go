package member

import (
	"math"

	"go.uber.org/zap"
)

const (
	// maxTermStep is above the number of elections between any two hellos.
	maxTermStep = 1 << 32
	// neverMs is an uptime that is never recent.
	neverMs = math.MinInt32
)

// updateLeader follows, or forgets, a leader as a hello says.
func (m *Membership) updateLeader(h *Hello, now int64) {
	firstHand, far := h.Leader == h.Self.Name, h.Leader != "" && farApart(h.Term, m.term)
	switch {
	case far && firstHand && !m.confirmed(now):
		m.SetLeader(h.Leader, h.Term)
	case !far && h.Leader != "" && h.Term > m.term:
		m.SetLeader(h.Leader, h.Term)
	case h.Term == m.term && m.leader == "" && firstHand:
		// The lost leader itself says that it still leads.
		m.SetLeader(h.Leader, h.Term)
	case h.Self.Name == m.leader && !firstHand:
		// The supposed leader itself says that it doesn't lead.
		m.LoseLeader(m.term)
	case far && h.Term != m.ignoredTerm:
		m.ignoredTerm = h.Term
		m.logger.Warn("leader_term_ignored", zap.String("from", h.Self.Name), zap.String("leader", h.Leader), zap.Uint64("term", h.Term),
			zap.String("known_leader", m.leader), zap.Uint64("known_term", m.term))
	}
}

// farApart reports whether no series of elections leads from one of the terms to the other, so that the higher one needn't
// be the later. A far term is believed from its leader only, and while no other leader says that it leads.
func farApart(a, b uint64) bool {
	return max(a, b)-min(a, b) > maxTermStep
}

// confirmed reports whether this process leads or the leader itself said recently that it does.
func (m *Membership) confirmed(now int64) bool {
	return m.leader != "" && (m.leader == m.self.Name || now-m.confirmedMs <= aliveMs)
}

// SetLeader records the leader of a term, as this process's replica knows it; earlier terms are ignored.
func (m *Membership) SetLeader(leader string, term uint64) {
	earlier := term < m.term && !farApart(term, m.term)
	if earlier || (term == m.term && (leader == m.leader || leader == "")) {
		return
	}
	m.leader, m.term, m.confirmedMs = leader, term, neverMs
	m.publishRoute()
}

// LoseLeader forgets the leader of term because it can't be reached; it does nothing if another term is known by now or
// this process leads.
func (m *Membership) LoseLeader(term uint64) {
	if term == m.term && m.leader != m.self.Name {
		m.leader = ""
		m.publishRoute()
	}
}
