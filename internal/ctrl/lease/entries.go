package lease

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// versionShift leaves room for 2^16 versions of the list between two log entries.
const versionShift = 16

// firstVersion is above the version of the list that an entry starts with, which comes from its settings.
const firstVersion = 2

// liveEntries are the entries that hold a lease, as far as this replica knows. The version increases across leaders:
// each starts above a version made from its applied log index, and a later leader has applied more of the log.
type liveEntries struct {
	version uint64
	names   []string
	// grantingSince is when this replica began to grant leases, after a lease length or more without a grant.
	grantingSince time.Time
	lastGrant     time.Time
	// renumber requests a new version, because another replica may have issued versions in the meantime.
	renumber bool
}

// noteGrant notes that this replica grants a lease.
func (e *liveEntries) noteGrant(now time.Time, lease time.Duration) {
	if now.Sub(e.lastGrant) >= lease {
		e.grantingSince, e.renumber = now, true
	}
	e.lastGrant = now
}

// updateLiveEntries removes entries whose lease has lapsed. Until this replica has granted for a lease length, all
// entries count as live, since another replica may have granted their leases.
func (k *Keeper) updateLiveEntries(applied uint64) {
	now, lapse := k.options.Clock.Now(), k.options.Lease+clockRateMargin
	if k.live.lastGrant.IsZero() || now.Sub(k.live.lastGrant) >= lapse {
		return
	}
	var names []string
	for _, name := range k.options.Entries {
		if now.Sub(k.live.grantingSince) < lapse || now.Sub(k.holders[name].Renewed) < lapse {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if !k.live.renumber && slices.Equal(names, k.live.names) {
		return
	}
	k.live.renumber = false
	k.live.version = max(k.live.version+1, applied<<versionShift, firstVersion)
	k.options.Logger.Info("entries_changed", zap.Strings("entries", names), zap.Uint64("version", k.live.version))
	k.live.names = names
}
