package member

import (
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/quorum"
)

// founderDelayMs is how long the arbiter waits for other processes before it names the founder, in milliseconds;
// processes start within a third of a second of each other.
const founderDelayMs = 600

// founding is the state of the bootstrap at the system's first start. All processes have the same seeds then: the process
// at the lowest seed, the arbiter, names one founder. Only the founder bootstraps a group, with itself as the only member;
// the others join it.
type founding struct {
	// arbiter is the address of the process that names the founder; empty unless this is the first start.
	arbiter string
	// sinceMs is the uptime at which the bootstrap began.
	sinceMs int64
	founder string
}

// BeginFounding begins the bootstrap at the system's first start; seeds are the addresses of the seed processes.
func (m *Membership) BeginFounding(seeds []string, now int64) {
	for _, s := range seeds {
		if m.founding.arbiter == "" || s < m.founding.arbiter {
			m.founding.arbiter = s
		}
	}
	m.founding.sinceMs = now
}

// chooseFounder names the founder, once, if this process is the arbiter and has waited long enough for others.
func (m *Membership) chooseFounder(now int64) {
	f := &m.founding
	replicas := m.ReplicaProcesses()
	if f.arbiter != m.self.Address || f.founder != "" || now-f.sinceMs < founderDelayMs || len(replicas) == 0 {
		return
	}
	f.founder = replicas[0].Name
	m.logger.Info("founder_named", zap.String("name", f.founder), zap.Int("with_disk", len(replicas)))
}

// hearFounder accepts the founder's name from the arbiter only.
func (m *Membership) hearFounder(h *Hello) {
	if m.founding.arbiter != "" && h.Self.Address == m.founding.arbiter && m.founding.founder == "" {
		m.founding.founder = h.Founder
	}
}

// Founders returns the initial members of the group, which is this process alone, if it is the founder, otherwise nil.
func (m *Membership) Founders(now int64) []quorum.Member {
	m.chooseFounder(now)
	if m.founding.founder != m.self.Name || m.self.Replica == 0 {
		return nil
	}
	return []quorum.Member{{ID: m.self.Replica, Name: m.self.Name, Voter: true}}
}

// Enough reports whether a new system has enough voters to accept work: those needed to tolerate losses, or all known
// replicas if there are fewer.
func (m *Membership) Enough(members []quorum.Member, losses int) bool {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	return voters >= min(len(m.ReplicaProcesses()), 2*losses+1)
}
