package lease

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/state"
)

// Node is what the keeper asks of the replicated state.
type Node interface {
	// Confirm returns once a quorum has confirmed this replica as the leader.
	Confirm(context.Context) error
	// View runs a function with the state for reading.
	View(context.Context, func(*state.State)) error
}

// Renewal is an entry's wish to renew its lease.
type Renewal struct {
	// Entry is the entry's name.
	Entry string
	// Revision is the revision in force on the entry.
	Revision uint64
}

// Grant is the answer to a renewal.
type Grant struct {
	// Revision is the revision that is to be in force.
	Revision uint64
	// Document is its text, nil where the entry has it.
	Document []byte
}

// Holder is what the leader knows of one entry.
type Holder struct {
	// Name is the entry's name.
	Name string
	// Revision is the revision in force on the entry.
	Revision uint64
	// Renewed is when the entry was last granted a lease.
	Renewed time.Time
}

// Keeper grants leases; it is safe for concurrent use.
type Keeper struct {
	node    Node
	clock   clock.Clock
	mu      sync.Mutex
	holders map[string]Holder
}

// NewKeeper returns a keeper that knows no entry.
func NewKeeper(node Node, c clock.Clock) *Keeper {
	return &Keeper{node: node, clock: c, holders: map[string]Holder{}}
}

// Renew grants a lease, or fails where this replica can't prove that it leads.
func (k *Keeper) Renew(ctx context.Context, r Renewal) (Grant, error) {
	if err := k.node.Confirm(ctx); err != nil {
		return Grant{}, err
	}
	var g Grant
	read := func(s *state.State) {
		g.Revision = s.Document.Revision
		if g.Revision > r.Revision {
			g.Document = s.Document.Text
		}
	}
	if err := k.node.View(ctx, read); err != nil {
		return Grant{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holders[r.Entry] = Holder{Name: r.Entry, Revision: r.Revision, Renewed: k.clock.Now()}
	return g, nil
}

// Holders returns what is known of each entry, by name.
func (k *Keeper) Holders() []Holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	holders := make([]Holder, 0, len(k.holders))
	for _, h := range k.holders {
		holders = append(holders, h)
	}
	slices.SortFunc(holders, func(a, b Holder) int { return strings.Compare(a.Name, b.Name) })
	return holders
}
