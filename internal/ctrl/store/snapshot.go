package store

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

// saveSnapshot stores a snapshot and removes the segments whose entries it includes. A repeated call needs no room for what
// an earlier one has done.
func (l *Log) saveSnapshot(s quorum.Snapshot) error {
	if err := l.storeSnapshot(s); err != nil {
		return err
	}
	if l.file == nil || l.segments[len(l.segments)-1].Last > 0 {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	current := len(l.segments) - 1
	keep := slices.IndexFunc(l.segments, func(seg Segment) bool { return seg.Last > s.Index })
	if keep < 0 || keep > current {
		keep = current
	}
	for _, seg := range l.segments[:keep] {
		if err := l.folder.Remove(seg.Name()); err != nil {
			return errors.Wrapf(err, "remove %s", seg.Name())
		}
	}
	l.segments = slices.Clone(l.segments[keep:])
	return nil
}

// storeSnapshot stores a snapshot, unless it is stored already, and removes the one before.
func (l *Log) storeSnapshot(s quorum.Snapshot) error {
	if s.Index == l.snapshot {
		return nil
	}
	payload, err := l.codec.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := replaceFile(l.folder, kindSnapshot, fileName(snapshotPrefix, s.Index), payload); err != nil {
		return err
	}
	if err := l.removeObsolete(s.Index); err != nil {
		return err
	}
	l.snapshot = s.Index
	return nil
}

// removeObsolete removes files that a crash may leave behind: temporary files and snapshots other than the given one.
func (l *Log) removeObsolete(snapshot uint64) error {
	names, err := l.folder.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		old := strings.HasPrefix(name, snapshotPrefix) && name != fileName(snapshotPrefix, snapshot)
		if strings.HasSuffix(name, temporarySuffix) || old {
			if err := l.folder.Remove(name); err != nil {
				return errors.Wrapf(err, "remove %s", name)
			}
		}
	}
	return nil
}
