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
	// maxRevisions bounds the revisions that are tracked.
	maxRevisions = 16
	// maxAcceptDelay is the longest time between a revision's own time and its first sight for which the own time counts
	// as the time of acceptance.
	maxAcceptDelay = time.Second
)

var inForceSeconds = metrics.GetOrCreateHistogram("cowslip_document_in_force_seconds")

// RevisionStatus reports whether one revision is in force on all entries, and how long that took.
type RevisionStatus struct {
	// Revision is the revision's number.
	Revision uint64
	// Everywhere is true once each entry has acknowledged the revision or holds no lease from before it.
	Everywhere bool
	// Measured is true if this replica saw the revision shortly after it was accepted.
	Measured bool
	// Elapsed is the time from the acceptance until the revision is in force everywhere, or until now. Unless Measured, it
	// is counted from when this replica first saw the revision.
	Elapsed time.Duration
	// Waiting are the names of the entries that are still waited for, sorted.
	Waiting []string
}

// trackedRevision records when a revision was accepted and which entries it still waits for.
type trackedRevision struct {
	revision uint64
	accepted time.Time
	seen     time.Time
	ended    time.Time
	waiting  map[string]bool
	// measured is true if the revision was seen shortly after it was accepted.
	measured bool
}

// revisionTracker tracks the latest revisions until they are in force on all entries.
type revisionTracker struct {
	latest      uint64
	initialized bool
	revisions   []trackedRevision
}

// observe starts to track the revisions that were accepted since the last call; the first call only tracks the one in
// force.
func (t *revisionTracker) observe(s *state.State, now time.Time, entries []string) {
	initial := !t.initialized
	t.initialized = true
	if s.Document.Revision <= t.latest {
		return
	}
	for _, h := range s.History[max(0, len(s.History)-maxRevisions):] {
		if h.Revision <= t.latest || (initial && h.Revision < s.Document.Revision) {
			continue
		}
		r := trackedRevision{revision: h.Revision, accepted: now, seen: now, waiting: map[string]bool{}}
		// The leader sets the time before the commit. It doesn't count if it is old, because the log is replayed, or if it
		// lies in the future, because the leader's clock differs.
		if before := now.Sub(h.Time); before >= 0 && before < maxAcceptDelay {
			r.accepted, r.measured = h.Time, true
		}
		for _, name := range entries {
			r.waiting[name] = true
		}
		t.revisions = append(t.revisions, r)
	}
	t.latest = s.Document.Revision
	t.revisions = t.revisions[max(0, len(t.revisions)-maxRevisions):]
}

// acknowledge notes that a revision, and with it each earlier one, is in force on an entry.
func (t *revisionTracker) acknowledge(entry string, revision uint64, now time.Time, logger *zap.Logger) {
	for i := range t.revisions {
		if r := &t.revisions[i]; r.revision <= revision && r.waiting[entry] {
			delete(r.waiting, entry)
			r.finish(now, logger)
		}
	}
}

// lapse ends the wait for entries whose lease from before a revision has lapsed; length is the lease length
// with the margin for clock rates.
func (t *revisionTracker) lapse(now time.Time, length time.Duration, logger *zap.Logger) {
	for i := range t.revisions {
		if r := &t.revisions[i]; len(r.waiting) > 0 && now.Sub(r.seen) >= length {
			clear(r.waiting)
			r.finish(now, logger)
		}
	}
}

func (r *trackedRevision) finish(now time.Time, logger *zap.Logger) {
	if len(r.waiting) > 0 || !r.ended.IsZero() {
		return
	}
	r.ended = now
	if !r.measured {
		return
	}
	elapsed := now.Sub(r.accepted)
	inForceSeconds.Update(elapsed.Seconds())
	logger.Info("document_in_force_everywhere", zap.Uint64("revision", r.revision), zap.Duration("elapsed", elapsed))
}

// list returns the status of the tracked revisions, latest first.
func (t *revisionTracker) list(now time.Time) []RevisionStatus {
	all := make([]RevisionStatus, 0, len(t.revisions))
	for _, r := range slices.Backward(t.revisions) {
		end := r.ended
		if end.IsZero() {
			end = now
		}
		all = append(all, RevisionStatus{
			Revision: r.revision, Everywhere: len(r.waiting) == 0, Measured: r.measured,
			Elapsed: end.Sub(r.accepted), Waiting: slices.Sorted(maps.Keys(r.waiting)),
		})
	}
	return all
}
