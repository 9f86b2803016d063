package jobs

import (
	"cmp"
	"maps"
	"slices"

	"cowslipstack/internal/model/batch"
)

const (
	// tombstoneKeptMs is how long a tombstone is kept, in milliseconds of the time under leaders: longer than a submission can
	// be under way.
	tombstoneKeptMs = 180_000
	// tombstoneRenewMs is the age from which a repeated cancel renews a tombstone, in milliseconds.
	tombstoneRenewMs = 30_000
)

// tombstones are the tombstones of a state in the order in which they expire; derived from the state.
type tombstones struct {
	// queue are the tombstones by time, oldest first. One that was renewed since is in it again.
	queue []batch.Tombstone
	// times holds, for each entry of queue, when the tombstone was recorded, in milliseconds of the time under leaders.
	times []int64
	// byAccount counts the tombstones of each account.
	byAccount map[string]int
}

func newTombstones(recorded map[batch.Tombstone]int64) tombstones {
	t := tombstones{byAccount: map[string]int{}}
	t.queue = slices.SortedFunc(maps.Keys(recorded), func(a, b batch.Tombstone) int {
		return cmp.Or(cmp.Compare(recorded[a], recorded[b]), cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Account, b.Account))
	})
	for _, one := range t.queue {
		t.times = append(t.times, recorded[one])
		t.byAccount[one.Account]++
	}
	return t
}

// HasTombstone reports whether a tombstone is recorded.
func (m *StateMachine) HasTombstone(t batch.Tombstone) bool {
	_, recorded := m.state.Tombstones[t]
	return recorded
}

// CountTombstones returns the number of tombstones of an account, and of all.
func (m *StateMachine) CountTombstones(account string) (own, all int) {
	return m.tombstones.byAccount[account], len(m.state.Tombstones)
}

// TombstonesExpired reports whether a tombstone expires in the next change of a leader at an uptime in milliseconds.
func (m *StateMachine) TombstonesExpired(term uint64, uptimeMs int64) bool {
	l := m.state.Leader
	if len(m.tombstones.times) == 0 || l.Term != term {
		return false
	}
	return m.state.LeaderTimeMs+uptimeMs-l.UptimeMs-m.tombstones.times[0] > tombstoneKeptMs
}

// IsCancelledAhead reports whether a job was cancelled before it came.
func (m *StateMachine) IsCancelledAhead(j *batch.Job) bool {
	return m.HasTombstone(batch.Tombstone{JobID: j.ID, Account: j.Account}) || m.HasTombstone(batch.Tombstone{JobID: j.ID, AllAccounts: true})
}

// addTombstone records a tombstone, or renews it.
func (m *StateMachine) addTombstone(t batch.Tombstone) {
	now := m.state.LeaderTimeMs
	recordedMs, recorded := m.state.Tombstones[t]
	if recorded && now-recordedMs < tombstoneRenewMs {
		return
	}
	if !recorded {
		m.tombstones.byAccount[t.Account]++
	}
	m.state.Tombstones[t] = now
	m.tombstones.queue, m.tombstones.times = append(m.tombstones.queue, t), append(m.tombstones.times, now)
}

// expireTombstones removes the tombstones that were recorded more than tombstoneKeptMs ago.
func (m *StateMachine) expireTombstones() {
	q := &m.tombstones
	for len(q.queue) > 0 && m.state.LeaderTimeMs-q.times[0] > tombstoneKeptMs {
		t := q.queue[0]
		if m.state.Tombstones[t] == q.times[0] {
			delete(m.state.Tombstones, t)
			if q.byAccount[t.Account]--; q.byAccount[t.Account] == 0 {
				delete(q.byAccount, t.Account)
			}
		}
		q.queue, q.times = q.queue[1:], q.times[1:]
	}
}
