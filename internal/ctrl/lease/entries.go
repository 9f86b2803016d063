package lease

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// versionStep leaves room for changes of the members between two log records.
const versionStep = 16

// firstVersion is above that of the list that entries begin with, which is of their settings.
const firstVersion = 2

// members are the entries that hold a lease, as this replica knows them. The version rises over all
// leaders: each begins above the log index that it has applied, and a later leader has applied more.
type members struct {
	version uint64
	names   []string
	// since is when this replica began to grant, after a time without.
	since time.Time
	last  time.Time
	// begun asks for a new version, since another replica may have made some meanwhile.
	begun bool
}

// granting notes that a lease is granted by this replica.
func (m *members) granting(now time.Time, lease time.Duration) {
	if now.Sub(m.last) >= lease {
		m.since, m.begun = now, true
	}
	m.last = now
}

// updateMembers takes out entries whose lease has lapsed; before a lease has gone by, all count as live.
func (k *Keeper) updateMembers(applied uint64) {
	now, lapse := k.options.Clock.Now(), k.options.Lease+rateMargin
	if k.members.last.IsZero() || now.Sub(k.members.last) >= lapse {
		return
	}
	var names []string
	for _, name := range k.options.Entries {
		if now.Sub(k.members.since) < lapse || now.Sub(k.holders[name].Renewed) < lapse {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if !k.members.begun && slices.Equal(names, k.members.names) {
		return
	}
	k.members.begun = false
	k.members.version = max(k.members.version+1, applied<<versionStep, firstVersion)
	k.options.Logger.Info("entries_changed", zap.Strings("entries", names), zap.Uint64("version", k.members.version))
	k.members.names = names
}
