package roster

import (
	"cmp"
	"slices"

	"cowslipstack/internal/ctrl/quorum"
)

// settleMs is how long no process with a replica may have been added before the first members are agreed on, in milliseconds:
// processes start within a third of a second of each other.
const settleMs = 700

// Founders returns the first members of a group, where this process is the one to form it: all processes with a replica,
// once all of them are empty, none was added of late, and this one comes first by name.
func (r *Roster) Founders(now int64) []quorum.Member {
	core := r.Core()
	if len(core) == 0 || core[0].Name != r.self.Name || now-r.settledMs < settleMs || r.settledMs == 0 && len(core) > 1 {
		return nil
	}
	members := make([]quorum.Member, 0, len(core))
	for _, p := range core {
		if e := r.entries[p.Name]; e != nil && (e.state || !e.alive(now)) {
			return nil
		}
		members = append(members, quorum.Member{ID: p.Replica, Name: p.Name, Voter: true})
	}
	slices.SortFunc(members, func(a, b quorum.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}
