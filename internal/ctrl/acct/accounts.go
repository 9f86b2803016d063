package acct

import (
	"cowslipstack/internal/model/batch"
)

// Accounts is the leader's view of the accounts of a configuration.
type Accounts struct {
	version uint64
	// names holds the account of each key.
	names map[batch.KeyDigest]string
	// accounts holds the accounts by name.
	accounts  map[string]*batch.Account
	committed Committed
	// proposed are the starts that aren't applied yet, by task.
	proposed map[batch.TaskID]charge
	// abandoned are the attempts that were given up and that a worker still lists.
	abandoned map[attemptOn]charge
	// beside sums what an account holds besides its committed attempts: these two, and the members of planned gangs.
	beside map[string]batch.Resources
}

// Committed tells what the attempts in the replicated state need.
type Committed interface {
	// Reserved returns what the attempts of an account's jobs that may be running need, over all workers.
	Reserved(account string) batch.Resources
}

// New returns a view without accounts, on a replicated state.
func New(committed Committed) *Accounts {
	return &Accounts{
		committed: committed, proposed: map[batch.TaskID]charge{}, abandoned: map[attemptOn]charge{}, beside: map[string]batch.Resources{},
	}
}

// Configure takes over a configuration; it does nothing if that is known already.
func (a *Accounts) Configure(c *batch.Configuration) {
	if a.names != nil && a.version == c.Version {
		return
	}
	a.version, a.names = c.Version, make(map[batch.KeyDigest]string, len(c.Accounts))
	a.accounts = make(map[string]*batch.Account, len(c.Accounts))
	for i := range c.Accounts {
		a.accounts[c.Accounts[i].Name] = &c.Accounts[i]
		for _, key := range c.Accounts[i].Keys {
			a.names[key] = c.Accounts[i].Name
		}
	}
}

// Has reports whether the configuration has an account of a name.
func (a *Accounts) Has(name string) bool {
	return a.accounts[name] != nil
}

// HolderOf returns the account that has a key, and an empty string if there is none.
func (a *Accounts) HolderOf(key batch.KeyDigest) string {
	return a.names[key]
}
