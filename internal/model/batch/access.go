package batch

// AccessRequest asks for the access table.
type AccessRequest struct {
	// KnownVersion is the version of the table that the process has; 0 for none.
	KnownVersion uint64
}

// AccessTable is the part of a configuration that tells which callers may be let in.
type AccessTable struct {
	// Version is that of the configuration; 0 before the first.
	Version uint64
	// RequiresKeys means that callers of queues that aren't public need a key.
	RequiresKeys bool
	// Keys are the digests of all accounts' keys.
	Keys []KeyDigest
	// Public are the queues whose callers need no key.
	Public []QueueKey
	// Unchanged means that the process has this version; the lists are then empty.
	Unchanged bool
}

// AccessTable returns the configuration's access table for a process that has that of a known version.
func (c *Configuration) AccessTable(knownVersion uint64) *AccessTable {
	t := &AccessTable{Version: c.Version, RequiresKeys: c.RequiresKeys, Unchanged: c.Version == knownVersion}
	if t.Unchanged || !c.RequiresKeys {
		return t
	}
	for i := range c.Accounts {
		t.Keys = append(t.Keys, c.Accounts[i].Keys...)
	}
	for i := range c.Queues {
		if c.Queues[i].Public {
			t.Public = append(t.Public, c.Queues[i].Key())
		}
	}
	return t
}
