package accept

import (
	"cowslipstack/internal/plan/shares"
)

// Work is a job's work that is to be done in time.
type Work struct {
	// ID is the job's identity.
	ID string
	// Account is the client account of the job; empty for none.
	Account string
	// Pool is the pool that runs it.
	Pool string
	// Ms is its remaining work, in core-milliseconds.
	Ms float64
	// DueMs is by when the work has to be done on average, in milliseconds from now.
	DueMs int64
}

// Room is what there is to do work with.
type Room struct {
	// Fleet is the processor time of all VMs that may move, and Pools that which each pool can get.
	Fleet Rate
	Pools map[string]Rate
	// Limits are the cores that accounts with a limit may use.
	Limits map[string]float64
	// Weights are the weights of the accounts.
	Weights shares.Weights
}

// UsedPart is the part of the processor time that work gets: tasks fill VMs with gaps, some fail and run again, and estimates
// are rough.
const UsedPart = 0.85

// scaled returns the rate of which work can use the cores.
func (r Rate) scaled() Rate {
	return Rate{Now: r.Now * UsedPart, Soon: r.Soon * UsedPart, LagMs: r.LagMs}
}

// Book holds the work that was accepted, with the shares of the accounts.
type Book struct {
	room     Room
	fleet    *Ledger
	pools    map[string]*Ledger
	accounts map[string]*Ledger
	// names are the accounts with work, and claims what they ask for.
	names  []string
	claims map[string]shares.Claim
}

// NewBook returns a book with the accepted work.
func NewBook(room Room, all []Work) *Book {
	b := &Book{room: room, fleet: NewLedger(room.Fleet.scaled()), pools: map[string]*Ledger{}, accounts: map[string]*Ledger{}, claims: map[string]shares.Claim{}}
	for i := range all {
		b.Add(&all[i])
	}
	return b
}

// Add adds the work of a job that is accepted.
func (b *Book) Add(w *Work) {
	b.fleet.Add(w.DueMs, w.Ms)
	b.poolOf(w.Pool).Add(w.DueMs, w.Ms)
	if l := b.accountOf(w.Account); l != nil {
		l.Add(w.DueMs, w.Ms)
	}
	c, known := b.claims[w.Account]
	if !known {
		b.names = append(b.names, w.Account)
		c.Weight = b.room.Weights.Of(w.Account)
	}
	c.Demand += w.Ms
	b.claims[w.Account] = c
}

func (b *Book) poolOf(pool string) *Ledger {
	l := b.pools[pool]
	if l == nil {
		l = NewLedger(b.room.Pools[pool].scaled())
		b.pools[pool] = l
	}
	return l
}

// accountOf returns the ledger of an account with a limit, nil for one without.
func (b *Book) accountOf(account string) *Ledger {
	cores, limited := b.room.Limits[account]
	if !limited {
		return nil
	}
	l := b.accounts[account]
	if l == nil {
		l = NewLedger(Rate{Now: cores, Soon: cores}.scaled())
		b.accounts[account] = l
	}
	return l
}

// horizonMs is the time over which accounts share the processor time, in milliseconds: about that to the SLO of a new job.
const horizonMs = 8000

// shareOf returns the work of an account that is within its share over the horizon, if one account asks for more by extra.
func (b *Book) shareOf(account string, extra float64) float64 {
	claims := make([]shares.Claim, 0, len(b.names)+1)
	index := -1
	for _, name := range b.names {
		c := b.claims[name]
		if name == account {
			index = len(claims)
			c.Demand += extra
		}
		claims = append(claims, c)
	}
	if index < 0 {
		index = len(claims)
		claims = append(claims, shares.Claim{Weight: b.room.Weights.Of(account), Demand: extra})
	}
	return shares.Divide(claims, b.room.Fleet.scaled().By(horizonMs))[index]
}
