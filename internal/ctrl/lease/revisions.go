package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/state"
)

const (
	// forceKept bounds the revisions whose time in force is remembered.
	forceKept = 16
	// acceptedBefore is the longest time that a revision's own time is taken to lie before it was seen.
	acceptedBefore = time.Second
)

var inForceSeconds = metrics.GetOrCreateHistogram("cowslip_document_in_force_seconds")

// Force is how far one revision has come into force.
type Force struct {
	// Revision is the revision's number.
	Revision uint64
	// Everywhere means that each entry has acknowledged it or holds no lease from before it.
	Everywhere bool
	// Measured means that this replica saw the acceptance.
	Measured bool
	// Elapsed is the time from acceptance until then, or until now; from when it was seen, where not Measured.
	Elapsed time.Duration
	// Waiting are the entries that are waited for, by name.
	Waiting []string
}

// pending is one revision on its way into force.
type pending struct {
	revision uint64
	accepted time.Time
	seen     time.Time
	ended    time.Time
	waiting  map[string]bool
	// measured means that the revision was seen shortly after it was accepted.
	measured bool
}

// force follows revisions until they are in force everywhere.
type force struct {
	seen      uint64
	started   bool
	revisions []pending
}

// observe notes the revisions that were accepted since the last look.
func (f *force) observe(s *state.State, now time.Time, entries []string) {
	found := !f.started
	f.started = true
	if s.Document.Revision <= f.seen {
		return
	}
	for _, h := range s.History[max(0, len(s.History)-forceKept):] {
		if h.Revision <= f.seen || (found && h.Revision < s.Document.Revision) {
			continue
		}
		p := pending{revision: h.Revision, accepted: now, seen: now, waiting: map[string]bool{}}
		// The leader stamped it before it was committed. An old one is replayed; another machine's clock may be off.
		if before := now.Sub(h.Time); before >= 0 && before < acceptedBefore {
			p.accepted, p.measured = h.Time, true
		}
		for _, name := range entries {
			p.waiting[name] = true
		}
		f.revisions = append(f.revisions, p)
	}
	f.seen = s.Document.Revision
	f.revisions = f.revisions[max(0, len(f.revisions)-forceKept):]
}

// acknowledged notes that a revision is in force on an entry.
func (f *force) acknowledged(entry string, revision uint64, now time.Time, logger *zap.Logger) {
	for i := range f.revisions {
		if p := &f.revisions[i]; p.revision <= revision && p.waiting[entry] {
			delete(p.waiting, entry)
			p.finish(now, logger)
		}
	}
}

// lapse ends the wait for entries whose lease from before a revision has lapsed.
func (f *force) lapse(now time.Time, length time.Duration, logger *zap.Logger) {
	for i := range f.revisions {
		if p := &f.revisions[i]; len(p.waiting) > 0 && now.Sub(p.seen) >= length {
			clear(p.waiting)
			p.finish(now, logger)
		}
	}
}

func (p *pending) finish(now time.Time, logger *zap.Logger) {
	if len(p.waiting) > 0 || !p.ended.IsZero() {
		return
	}
	p.ended = now
	if !p.measured {
		return
	}
	elapsed := now.Sub(p.accepted)
	inForceSeconds.Update(elapsed.Seconds())
	logger.Info("document_in_force_everywhere", zap.Uint64("revision", p.revision), zap.Duration("elapsed", elapsed))
}

// list returns the latest revisions, the latest first.
func (f *force) list(now time.Time) []Force {
	all := make([]Force, 0, len(f.revisions))
	for _, p := range slices.Backward(f.revisions) {
		end := p.ended
		if end.IsZero() {
			end = now
		}
		all = append(all, Force{
			Revision: p.revision, Everywhere: len(p.waiting) == 0, Measured: p.measured,
			Elapsed: end.Sub(p.accepted), Waiting: slices.Sorted(maps.Keys(p.waiting)),
		})
	}
	return all
}
