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
	// watchEvery is the time between looks at the state where no renewal comes in.
	watchEvery = 250 * time.Millisecond
	// rateMargin allows for clocks that run at slightly different rates.
	rateMargin = 50 * time.Millisecond
	// LongestDeadline is the longest time that a caller may give a request.
	LongestDeadline = 10 * time.Minute
)

// ErrUnknownEntry says that a renewal came from an entry that is not in the settings.
var ErrUnknownEntry = errors.New("the entry is not among the peers of the control role's settings")

// ErrLeaseTooLong says that an entry counts on a longer lease than the leader grants.
var ErrLeaseTooLong = errors.New("the entry's lease_ms is above that of the control role's settings")

// Node is what the keeper asks of the replicated state.
type Node interface {
	Quorum
	// View runs a function with the state for reading, on the loop that owns it.
	View(context.Context, func(*state.State)) error
}

// Options says what a keeper works with; all fields are needed.
type Options struct {
	// Node holds the replicated state.
	Node Node
	// Clock gives the time.
	Clock clock.Clock
	// Logger takes the keeper's events.
	Logger *zap.Logger
	// Entries are the names of all entries that may hold a lease.
	Entries []string
	// Lease is the longest lease that is granted.
	Lease time.Duration
}

// Keeper grants leases; its exported methods are safe for concurrent use.
type Keeper struct {
	options   Options
	confirmer *confirmer
	snapshot  atomic.Pointer[Snapshot]

	// The fields below belong to the loop that runs Node.View.
	holders map[string]*Holder
	force   force
	marks   marks
	members members
}

// NewKeeper returns a keeper that has heard of no entry yet.
func NewKeeper(o Options) *Keeper {
	k := &Keeper{
		options: o, confirmer: newConfirmer(o.Node, o.Clock),
		holders: map[string]*Holder{}, marks: newMarks(),
	}
	for _, name := range o.Entries {
		k.holders[name] = &Holder{Name: name}
	}
	k.snapshot.Store(&Snapshot{})
	return k
}

// RunConfirm confirms this replica's lead for the renewals that wait, until the context ends.
func (k *Keeper) RunConfirm(ctx context.Context) error {
	return k.confirmer.run(ctx)
}

// RunWatch follows the state until the context ends; also on followers, so that each knows when it saw a change.
func (k *Keeper) RunWatch(ctx context.Context) error {
	ticker := k.options.Clock.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		if err := k.Watch(ctx); err != nil && ctx.Err() == nil {
			return errors.Wrap(err, "watch the state")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
}

// Watch looks at the state once.
func (k *Keeper) Watch(ctx context.Context) error {
	return k.options.Node.View(ctx, func(s *state.State) {
		k.observe(s)
		k.publish()
	})
}

// Renew grants a lease, or fails where this replica can't prove that it leads.
func (k *Keeper) Renew(ctx context.Context, r grant.Renewal) (grant.Grant, error) {
	if r.Lease > k.options.Lease {
		return grant.Grant{}, errors.Wrapf(ErrLeaseTooLong, "entry %q", r.Entry)
	}
	// What the entry tells holds whoever leads, and need not wait for a quorum.
	if err := k.options.Node.View(ctx, func(*state.State) { k.told(r) }); err != nil {
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
		if refused = behind(s, r); refused != nil {
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

// told notes at once that a revision is in force on an entry.
func (k *Keeper) told(r grant.Renewal) {
	if h, ok := k.holders[r.Entry]; ok && r.Revision > h.Revision {
		h.Revision = r.Revision
		k.force.acknowledged(r.Entry, r.Revision, k.options.Clock.Now(), k.options.Logger)
		k.publish()
	}
}

// behind fails where the entry knows a later state than this replica; a committed change was lost then.
func behind(s *state.State, r grant.Renewal) error {
	fields := []zap.Field{
		zap.String("entry", r.Entry), zap.Uint64("revision", s.Document.Revision), zap.Uint64("entry_revision", r.Revision),
		zap.Uint64("applied", s.Applied), zap.Uint64("entry_index", r.Index),
	}
	if !check.That(r.Revision <= s.Document.Revision && r.Index <= s.Applied, "document_revision_only_rises", fields...) {
		return errors.Newf("entry %q knows a later state than the leader", r.Entry)
	}
	return nil
}

// grant notes what the entry told and returns what it lacks.
func (k *Keeper) grant(s *state.State, h *Holder, r grant.Renewal) grant.Grant {
	now := k.options.Clock.Now()
	h.take(r, now)
	k.members.granting(now, k.options.Lease)
	k.members.version = max(k.members.version, r.Version)
	k.updateMembers(s.Applied)
	k.force.acknowledged(r.Entry, r.Revision, now, k.options.Logger)
	g := grant.Grant{
		Revision: s.Document.Revision, Digest: s.Document.Digest, Document: documentFor(s, r),
		Index: s.Applied, Marks: k.marks.since(r.Index), WantReports: !h.reports.whole,
		Version: k.members.version,
	}
	if r.Version != g.Version {
		g.Entries = k.members.names
	}
	return g
}

// documentFor returns what turns the entry's text into the one in force, nil where it has that.
func documentFor(s *state.State, r grant.Renewal) *docs.Delta {
	if s.Document.Revision <= r.Revision && !r.Whole {
		return nil
	}
	if !r.Whole {
		for _, h := range s.History {
			if h.Revision == r.Revision && h.Text != nil {
				d := docs.MakeDelta(r.Revision, h.Text, s.Document.Text)
				return &d
			}
		}
	}
	return &docs.Delta{Middle: s.Document.Text}
}

// observe notes what changed in the state since the last look.
func (k *Keeper) observe(s *state.State) {
	now := k.options.Clock.Now()
	k.marks.observe(s, now)
	k.force.observe(s, now, k.options.Entries)
	k.force.lapse(now, k.options.Lease+rateMargin, k.options.Logger)
}
