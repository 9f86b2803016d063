package member

import (
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/quorum"
)

// founderDelayMs is how long the arbiter waits for other processes before it names the founder, in milliseconds;
// processes start within a third of a second of each other.
const founderDelayMs = 600

// bootstrap is the state of the bootstrap at the system's first start. All processes have the same seeds then: the
// process at the lowest seed, the arbiter, names one founder. Only the founder bootstraps a group, with itself as the
// only member; the others join it.
type bootstrap struct {
	// arbiter is the address of the process that names the founder; empty unless this is the first start.
	arbiter string
	// sinceMs is the uptime at which the bootstrap began.
	sinceMs int64
	founder string
}

// BeginBootstrap begins the bootstrap at the system's first start; seeds are the addresses of the seed processes.
func (m *Membership) BeginBootstrap(seeds []string, now int64) {
	for _, s := range seeds {
		if m.bootstrap.arbiter == "" || s < m.bootstrap.arbiter {
			m.bootstrap.arbiter = s
		}
	}
	m.bootstrap.sinceMs = now
}

// chooseFounder names the founder, once, if this process is the arbiter and has waited long enough for others.
func (m *Membership) chooseFounder(now int64) {
	b := &m.bootstrap
	replicas := m.ReplicaProcesses()
	if b.arbiter != m.self.Address || b.founder != "" || now-b.sinceMs < founderDelayMs || len(replicas) == 0 {
		return
	}
	b.founder = replicas[0].Name
	m.logger.Info("founder_named", zap.String("name", b.founder), zap.Int("with_disk", len(replicas)))
}

// acceptFounder accepts the founder's name from the arbiter only.
func (m *Membership) acceptFounder(h *Hello) {
	if m.bootstrap.arbiter != "" && h.Self.Address == m.bootstrap.arbiter && m.bootstrap.founder == "" {
		m.bootstrap.founder = h.Founder
	}
}

// Founders returns the initial members of the group: on the founder its own replica alone, on any other process, or
// without a replica, nil.
func (m *Membership) Founders(now int64) []quorum.Member {
	m.chooseFounder(now)
	if m.bootstrap.founder != m.self.Name || m.self.Replica == 0 {
		return nil
	}
	return []quorum.Member{{ID: m.self.Replica, Name: m.self.Name, Voter: true}}
}

// HasEnoughVoters reports whether a new system has enough voters to accept work: those needed to tolerate losses, or
// all known replicas if there are fewer.
func (m *Membership) HasEnoughVoters(members []quorum.Member, losses int) bool {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	return voters >= min(len(m.ReplicaProcesses()), 2*losses+1)
}
