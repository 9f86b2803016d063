package acct

import (
	"cowslipstack/internal/model/batch"
)

// Accounts is the leader's view of the accounts of a configuration.
type Accounts struct {
	version uint64
	// names holds the account of each key.
	names map[batch.KeyDigest]string
}

// New returns a view without accounts.
func New() *Accounts {
	return &Accounts{}
}

// Configure takes over a configuration; it does nothing if that is known already.
func (a *Accounts) Configure(c *batch.Configuration) {
	if a.names != nil && a.version == c.Version {
		return
	}
	a.version, a.names = c.Version, make(map[batch.KeyDigest]string, len(c.Accounts))
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			a.names[key] = c.Accounts[i].Name
		}
	}
}

// HolderOf returns the account that has a key, and an empty string if there is none.
func (a *Accounts) HolderOf(key batch.KeyDigest) string {
	return a.names[key]
}
