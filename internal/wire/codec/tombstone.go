package codec

import (
	"cmp"
	"slices"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/peer"
)

func tombstoneToWire(t batch.Tombstone, atMs int64) *peer.BatchTombstone {
	return &peer.BatchTombstone{Job: t.JobID, Account: t.Account, AllAccounts: t.AllAccounts, AtMs: atMs}
}

func tombstoneFromWire(w *peer.BatchTombstone) batch.Tombstone {
	return batch.Tombstone{JobID: w.GetJob(), Account: w.GetAccount(), AllAccounts: w.GetAllAccounts()}
}

// tombstonesToWire encodes the tombstones of a state; equal states have equal encodings.
func tombstonesToWire(recorded map[batch.Tombstone]int64) []*peer.BatchTombstone {
	var all []*peer.BatchTombstone
	for t, atMs := range recorded {
		all = append(all, tombstoneToWire(t, atMs))
	}
	slices.SortFunc(all, func(a, b *peer.BatchTombstone) int {
		return cmp.Or(cmp.Compare(a.GetAtMs(), b.GetAtMs()), cmp.Compare(a.GetJob(), b.GetJob()), cmp.Compare(a.GetAccount(), b.GetAccount()),
			boolOrder(a.GetAllAccounts(), b.GetAllAccounts()))
	})
	return all
}

// boolOrder orders false before true.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
