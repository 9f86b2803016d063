package store

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	nameDigits     = 16
)

// Recovered is the state read from a data folder.
type Recovered struct {
	// Identity is the replica's identity; its ID is 0 if the folder is empty.
	Identity Identity
	// Hard is the last synced hard state.
	Hard quorum.HardState
	// Snapshot is the latest snapshot; its index is 0 if there is none.
	Snapshot quorum.Snapshot
	// Entries are the log's entries after the snapshot.
	Entries []quorum.Entry
	// Segments are the log's segments, oldest first.
	Segments []Segment
	// TornBytes is the size in bytes of a torn write at the end of the log.
	TornBytes int
	// needsReset means that the log doesn't reach the snapshot and must restart after it.
	needsReset bool
}

// Segment describes one segment file of the log.
type Segment struct {
	// Number is the position of the segment in the log; numbers rise by one.
	Number uint64
	// Bytes is the size of the valid part: the header and all whole frames.
	Bytes int
	// Last is the highest index of an entry in the segment.
	Last uint64
	// Frames is the number of whole frames.
	Frames int
}

// Name returns the segment's file name.
func (s Segment) Name() string {
	return fileName(segmentPrefix, s.Number)
}

func fileName(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*x", prefix, nameDigits, number)
}

// reader recovers the content of a folder without changing it.
type reader struct {
	folder Folder
	codec  Codec
	found  Recovered
	log    []quorum.Entry
}

func readFolder(f Folder, c Codec) (Recovered, error) {
	r := &reader{folder: f, codec: c}
	names, err := f.Names()
	if err != nil {
		return Recovered{}, err
	}
	slices.Sort(names)
	if err := r.readIdentity(names); err != nil {
		return Recovered{}, err
	}
	if err := r.readSnapshot(fileNumbers(names, snapshotPrefix)); err != nil {
		return Recovered{}, err
	}
	segments := fileNumbers(names, segmentPrefix)
	for i, number := range segments {
		if err := r.readSegment(number, i == len(segments)-1); err != nil {
			return Recovered{}, err
		}
	}
	return r.found, r.joinSnapshot()
}

// fileNumbers returns the numbers in the names of files with a prefix, in the order of names.
func fileNumbers(names []string, prefix string) []uint64 {
	var found []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		if number, err := strconv.ParseUint(digits, 16, 64); ok && err == nil && len(digits) == nameDigits {
			found = append(found, number)
		}
	}
	return found
}

func (r *reader) readIdentity(names []string) error {
	if !slices.Contains(names, identityName) {
		if len(fileNumbers(names, segmentPrefix)) > 0 || len(fileNumbers(names, snapshotPrefix)) > 0 {
			return errors.Wrap(ErrDamaged, "the identity is missing")
		}
		return nil
	}
	payload, err := readFile(r.folder, kindIdentity, identityName)
	if err != nil {
		return err
	}
	r.found.Identity, err = r.codec.DecodeIdentity(payload)
	return err
}

func (r *reader) readSnapshot(found []uint64) error {
	if len(found) == 0 {
		return nil
	}
	name := fileName(snapshotPrefix, found[len(found)-1])
	payload, err := readFile(r.folder, kindSnapshot, name)
	if err != nil {
		return err
	}
	r.found.Snapshot, err = r.codec.DecodeSnapshot(payload)
	return errors.Wrap(err, name)
}

func (r *reader) readSegment(number uint64, final bool) error {
	s := Segment{Number: number}
	content, err := r.folder.Read(s.Name())
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	if final && r.isUnfinishedSegment(number, content) {
		r.found.TornBytes = len(content)
		r.found.Segments = append(r.found.Segments, s)
		return nil
	}
	rest, err := checkHeader(kindLog, s.Name(), content)
	if err != nil {
		return err
	}
	s.Bytes = fileHeaderBytes
	for len(rest) > 0 {
		payload, size, ok := readFrame(rest)
		if !ok {
			break
		}
		if err := r.replay(&s, payload); err != nil {
			return errors.Wrapf(err, "%s at byte %d", s.Name(), s.Bytes)
		}
		s.Bytes += size
		s.Frames++
		rest = rest[size:]
	}
	if len(rest) > 0 && (!final || containsFrame(rest)) {
		return errors.Wrapf(ErrDamaged, "%s at byte %d: a whole record follows a damaged one", s.Name(), s.Bytes)
	}
	r.found.TornBytes = len(rest)
	r.found.Segments = append(r.found.Segments, s)
	return nil
}

// isUnfinishedSegment reports whether a crash interrupted the creation of the last segment. Nothing in it was
// acknowledged then, and the hard state in its first frame is still in the segment before it, which is removed only once
// this one is synced.
func (r *reader) isUnfinishedSegment(number uint64, content []byte) bool {
	first := number == 1 && r.found.Snapshot.Index == 0
	before := len(r.found.Segments) > 0 && r.found.Segments[len(r.found.Segments)-1].Number == number-1
	if !first && !before {
		return false
	}
	rest, err := checkHeader(kindLog, "", content)
	if errors.Is(err, ErrVersion) {
		return false
	}
	if err != nil && len(content) > fileHeaderBytes {
		rest = content[fileHeaderBytes:]
	}
	_, size, whole := readFrame(rest)
	if whole && err == nil {
		return false
	}
	if whole {
		rest = rest[size:]
	}
	return !containsFrame(rest)
}

func (r *reader) replay(s *Segment, payload []byte) error {
	writes, err := r.codec.DecodeWrites(payload)
	if err != nil {
		return errors.CombineErrors(ErrDamaged, err)
	}
	for _, w := range writes {
		if w.Hard != nil {
			r.found.Hard = *w.Hard
		}
		if w.Reset {
			r.log = nil
		}
		for _, e := range w.Entries {
			if err := r.addEntry(e); err != nil {
				return err
			}
			s.Last = max(s.Last, e.Index)
		}
	}
	return nil
}

// addEntry appends an entry; one with an existing index replaces the log from that index on.
func (r *reader) addEntry(e quorum.Entry) error {
	if len(r.log) > 0 {
		first := r.log[0].Index
		switch {
		case e.Index < first:
			r.log = nil
		case e.Index > first+uint64(len(r.log)) && e.Index <= r.found.Snapshot.Index+1:
			// The snapshot includes the missing entries: after a power loss any of the removed segments may reappear.
			r.log = nil
		case e.Index > first+uint64(len(r.log)):
			return errors.Wrapf(ErrDamaged, "entry %d follows entry %d", e.Index, first+uint64(len(r.log))-1)
		default:
			r.log = r.log[:e.Index-first]
		}
	}
	r.log = append(r.log, e)
	return nil
}

// joinSnapshot selects the entries that follow the snapshot.
func (r *reader) joinSnapshot() error {
	s := r.found.Snapshot
	r.found.Hard.Term = max(r.found.Hard.Term, s.Term)
	if len(r.log) == 0 {
		r.found.needsReset = s.Index > 0
		return nil
	}
	first, last := r.log[0].Index, r.log[len(r.log)-1].Index
	switch {
	case first > s.Index+1:
		return errors.Wrapf(ErrDamaged, "the entries %d to %d are missing", s.Index+1, first-1)
	case first == s.Index+1 && r.log[0].Term >= s.Term:
		r.found.Entries = r.log
	case first <= s.Index && last >= s.Index && r.log[s.Index-first].Term == s.Term:
		r.found.Entries = slices.Clone(r.log[s.Index-first+1:])
	default:
		// The entries conflict with a snapshot received from the leader, or end before it.
		r.found.needsReset = true
	}
	return nil
}
