package batch

import (
	"crypto/sha256"
	"fmt"
	"math"
)

// Account is a client account: who submits jobs.
type Account struct {
	// Name is unique and never empty.
	Name string
	// Keys are the digests of the keys that its callers present; without any, nobody can call for the account.
	Keys []KeyDigest
	// Weight is the account's share when there is too little room for all, in jobs per second.
	Weight float64
	// Limit bounds what the account's attempts reserve over all workers; 0 in a dimension means no limit there.
	Limit Resources
}

// KeyDigest is the SHA-256 digest of an account's key; the zero value stands for no key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key; that of an empty key is the zero value.
func DigestOf(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// maxWeight bounds the weight of an account, in jobs per second.
const maxWeight = 1e9

// Account returns the account with a name, or nil if there is none.
func (c *Configuration) Account(name string) *Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// accountFaults appends the faults of the accounts. They contain no key.
func (c *Configuration) accountFaults(faults []Fault) []Fault {
	names, holders := make(map[string]bool, len(c.Accounts)), map[KeyDigest]string{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		report := func(format string, values ...any) {
			faults = append(faults, Fault{Subject: SubjectAccount, Name: a.Name, Text: fmt.Sprintf(format, values...)})
		}
		switch {
		case a.Name == "":
			report("account %d has no name", i)
		case names[a.Name]:
			report("two accounts have the name %q", a.Name)
		case math.IsNaN(a.Weight) || a.Weight < 0 || a.Weight > maxWeight:
			report("the account %q has the weight %g; 0 to %g are allowed", a.Name, a.Weight, maxWeight)
		case !a.Limit.InRange():
			report("the account %q has the limit %+v; 0 to %d are allowed", a.Name, a.Limit, maxAmount)
		}
		names[a.Name] = true
		for n, key := range a.Keys {
			if key == (KeyDigest{}) {
				report("key %d of the account %q is empty", n, a.Name)
				continue
			}
			if holder, taken := holders[key]; taken && holder != a.Name {
				report("the accounts %q and %q have a key in common", holder, a.Name)
			}
			holders[key] = a.Name
		}
	}
	return faults
}
