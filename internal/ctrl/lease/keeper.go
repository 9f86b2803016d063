package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/grant"
)

const (
	// refreshInterval is the time between reads of the state while no renewal arrives.
	refreshInterval = 250 * time.Millisecond
	// clockRateMargin allows for clocks that run at slightly different rates.
	clockRateMargin = 50 * time.Millisecond
	// MaxDeadline is the longest deadline that a caller may set for a request.
	MaxDeadline = 10 * time.Minute
)

// ErrUnknownEntry is returned for a renewal by an entry that is not in the settings.
var ErrUnknownEntry = errors.New("the entry is not among the peers of the control role's settings")

// ErrLeaseTooLong is returned for a renewal by an entry that assumes a longer lease than the leader grants.
var ErrLeaseTooLong = errors.New("the entry's lease_ms is above that of the control role's settings")

// Node gives the keeper access to the replicated state.
type Node interface {
	Quorum
	// View runs a function on the loop that owns the state; the function only reads the state.
	View(context.Context, func(*state.State)) error
}

// Options holds the dependencies and limits of a Keeper; all fields are required.
type Options struct {
	// Node holds the replicated state.
	Node Node
	// Clock gives the time.
	Clock clock.Clock
	// Logger logs changes of the live entries and revisions that are in force everywhere.
	Logger *zap.Logger
	// Entries are the names of all entries that may hold a lease.
	Entries []string
	// Lease is the length of the longest lease that is granted.
	Lease time.Duration
}

// Keeper grants leases; its exported methods are safe for concurrent use.
type Keeper struct {
	options   Options
	confirmer *confirmer
	snapshot  atomic.Pointer[Snapshot]

	// The fields below belong to the loop that runs Node.View.
	holders   map[string]*Holder
	revisions revisionTracker
	vms       vmTracker
	live      liveEntries
}

// NewKeeper returns a keeper that has not received a renewal yet.
func NewKeeper(o Options) *Keeper {
	k := &Keeper{
		options: o, confirmer: newConfirmer(o.Node, o.Clock),
		holders: map[string]*Holder{}, vms: newVMTracker(),
	}
	for _, name := range o.Entries {
		k.holders[name] = &Holder{Name: name}
	}
	k.snapshot.Store(&Snapshot{})
	return k
}

// RunConfirm confirms with a quorum that this replica leads, for the renewals that wait, until the context ends.
func (k *Keeper) RunConfirm(ctx context.Context) error {
	return k.confirmer.run(ctx)
}

// RunRefresh reads the state at intervals until the context ends. It runs on followers too, so that each replica knows
// when it first saw a change.
func (k *Keeper) RunRefresh(ctx context.Context) error {
	ticker := k.options.Clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		if err := k.Refresh(ctx); err != nil && ctx.Err() == nil {
			return errors.Wrap(err, "read the state")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
}

// Refresh reads the state once and publishes a new snapshot.
func (k *Keeper) Refresh(ctx context.Context) error {
	return k.options.Node.View(ctx, func(s *state.State) {
		k.observe(s)
		k.publish()
	})
}

// Renew grants a lease. It fails if no quorum confirms this replica as the leader, if the entry is unknown or if it
// assumes too long a lease.
func (k *Keeper) Renew(ctx context.Context, r grant.Renewal) (grant.Grant, error) {
	if r.Lease > k.options.Lease {
		return grant.Grant{}, errors.Wrapf(ErrLeaseTooLong, "entry %q", r.Entry)
	}
	// The revision in force on the entry doesn't depend on who leads, so it is noted without waiting for a quorum.
	if err := k.options.Node.View(ctx, func(*state.State) { k.noteRevision(r) }); err != nil {
		return grant.Grant{}, err
	}
	if err := k.confirmer.confirm(ctx); err != nil {
		return grant.Grant{}, err
	}
	var g grant.Grant
	var refused error
	read := func(s *state.State) {
		h, ok := k.holders[r.Entry]
		if !ok {
			refused = errors.Wrapf(ErrUnknownEntry, "entry %q", r.Entry)
			return
		}
		k.observe(s)
		if refused = checkNotBehind(s, r); refused != nil {
			return
		}
		g = k.grant(s, h, r)
		k.publish()
	}
	if err := k.options.Node.View(ctx, read); err != nil {
		return grant.Grant{}, err
	}
	return g, refused
}

// noteRevision notes and publishes that a revision is in force on an entry.
func (k *Keeper) noteRevision(r grant.Renewal) {
	if h, ok := k.holders[r.Entry]; ok && r.Revision > h.Revision {
		h.Revision = r.Revision
		k.revisions.acknowledge(r.Entry, r.Revision, k.options.Clock.Now(), k.options.Logger)
		k.publish()
	}
}

// checkNotBehind returns an error if the entry knows a later state than this replica, which means that a committed
// change was lost.
func checkNotBehind(s *state.State, r grant.Renewal) error {
	fields := []zap.Field{
		zap.String("entry", r.Entry), zap.Uint64("revision", s.Document.Revision), zap.Uint64("entry_revision", r.Revision),
		zap.Uint64("applied", s.Applied), zap.Uint64("entry_index", r.LogIndex),
	}
	if !check.That(r.Revision <= s.Document.Revision && r.LogIndex <= s.Applied, "document_revision_only_rises", fields...) {
		return errors.Newf("entry %q knows a later state than the leader", r.Entry)
	}
	return nil
}

// grant takes over what the renewal reports and returns a grant with the changes that the entry doesn't know.
func (k *Keeper) grant(s *state.State, h *Holder, r grant.Renewal) grant.Grant {
	now := k.options.Clock.Now()
	h.update(r, now)
	k.live.noteGrant(now, k.options.Lease)
	k.live.version = max(k.live.version, r.EntriesVersion)
	k.updateLiveEntries(s.Applied)
	k.revisions.acknowledge(r.Entry, r.Revision, now, k.options.Logger)
	g := grant.Grant{
		Revision: s.Document.Revision, Digest: s.Document.Digest, Document: documentFor(s, r),
		LogIndex: s.Applied, VMs: k.vms.changedSince(r.LogIndex), WantReports: !h.reports.complete,
		EntriesVersion: k.live.version,
	}
	if r.EntriesVersion != g.EntriesVersion {
		g.Entries = k.live.names
	}
	return g
}

// documentFor returns the delta from the entry's document to the one in force, nil if the entry has that. The delta
// holds the whole text if the entry asks for it or if the text of the entry's revision is no longer kept.
func documentFor(s *state.State, r grant.Renewal) *docs.Delta {
	if s.Document.Revision <= r.Revision && !r.WantDocument {
		return nil
	}
	if !r.WantDocument {
		for _, h := range s.History {
			if h.Revision == r.Revision && h.Text != nil {
				d := docs.MakeDelta(r.Revision, h.Text, s.Document.Text)
				return &d
			}
		}
	}
	return &docs.Delta{Middle: s.Document.Text}
}

// observe takes over what changed in the state since the last call.
func (k *Keeper) observe(s *state.State) {
	now := k.options.Clock.Now()
	k.vms.observe(s, now)
	k.revisions.observe(s, now, k.options.Entries)
	k.revisions.lapse(now, k.options.Lease+clockRateMargin, k.options.Logger)
}
