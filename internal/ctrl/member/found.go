package member

import (
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/quorum"
)

// gatherMs is how long the process that names the founder waits for others, in milliseconds: processes start within a
// third of a second of each other.
const gatherMs = 600

// founding is what is known of who forms the group at the system's first start. All processes have the same seeds then:
// the process at the lowest seed names one founder, and only that one forms a group, of itself alone; the others join it.
type founding struct {
	// arbiter is the address of the process that names the founder; empty after the first start.
	arbiter string
	// sinceMs is when this process began, by uptime.
	sinceMs int64
	founder string
}

// BeginFounding takes notice that this is the system's first start; seeds are the addresses of the seeds' processes.
func (r *Membership) BeginFounding(seeds []string, now int64) {
	for _, s := range seeds {
		if r.founding.arbiter == "" || s < r.founding.arbiter {
			r.founding.arbiter = s
		}
	}
	r.founding.sinceMs = now
}

// nameFounder names the process that forms the group, where this one is to do so and has not yet.
func (r *Membership) nameFounder(now int64) {
	f := &r.founding
	core := r.Core()
	if f.arbiter != r.self.Address || f.founder != "" || now-f.sinceMs < gatherMs || len(core) == 0 {
		return
	}
	f.founder = core[0].Name
	r.logger.Info("founder_named", zap.String("name", f.founder), zap.Int("with_disk", len(core)))
}

// hearFounder takes the founder's name from the process that names it, and from no other.
func (r *Membership) hearFounder(h *Hello) {
	if r.founding.arbiter != "" && h.Self.Address == r.founding.arbiter && r.founding.founder == "" {
		r.founding.founder = h.Founder
	}
}

// Founders returns the first members of a group, where this process is the one to form it: itself.
func (r *Membership) Founders(now int64) []quorum.Member {
	r.nameFounder(now)
	if r.founding.founder != r.self.Name || r.self.Replica == 0 {
		return nil
	}
	return []quorum.Member{{ID: r.self.Replica, Name: r.self.Name, Voter: true}}
}

// Enough says whether as many replicas vote as a new system needs before it takes anything on.
func (r *Membership) Enough(members []quorum.Member, losses int) bool {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	return voters >= min(len(r.Core()), 2*losses+1)
}
