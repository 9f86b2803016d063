package access

import (
	"strings"

	"cowslipstack/internal/model/batch"
)

// table is an immutable access table, indexed for lookups.
type table struct {
	version      uint64
	requiresKeys bool
	keys         map[batch.KeyDigest]struct{}
	// public holds the prefixes of the public queues by host.
	public map[string][]string
}

func newTable(t *batch.AccessTable) *table {
	index := &table{
		version: t.Version, requiresKeys: t.RequiresKeys, keys: make(map[batch.KeyDigest]struct{}, len(t.Keys)), public: map[string][]string{},
	}
	for _, key := range t.Keys {
		index.keys[key] = struct{}{}
	}
	for _, q := range t.Public {
		index.public[q.Host] = append(index.public[q.Host], q.Prefix)
	}
	return index
}

// admits reports whether a call may be valid. A queue with a longer prefix that isn't public may refuse it still.
func (t *table) admits(credential batch.KeyDigest, target *batch.RequestTarget) bool {
	if !t.requiresKeys {
		return true
	}
	if _, known := t.keys[credential]; known {
		return true
	}
	for _, prefix := range t.public[target.Host] {
		if strings.HasPrefix(target.Path, prefix) {
			return true
		}
	}
	return false
}
