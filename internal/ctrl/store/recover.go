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

// Recovered is what a data folder holds.
type Recovered struct {
	// Identity is who the replica is; its ID is 0 where the folder is empty.
	Identity Identity
	// Hard is the last synced hard state.
	Hard quorum.HardState
	// Snapshot is the latest snapshot; its index is 0 where there is none.
	Snapshot quorum.Snapshot
	// Entries are the log's entries after the snapshot.
	Entries []quorum.Entry
	// Segments are the files of the log, oldest first.
	Segments []Segment
	// Torn is the count of bytes of a torn write at the log's end.
	Torn int
	// unmatched means that the log doesn't reach the snapshot and starts anew after it.
	unmatched bool
}

// Segment is one file of the log.
type Segment struct {
	// Number orders the segments.
	Number uint64
	// Bytes is the size of what is whole.
	Bytes int
	// Last is the highest index that an entry of the segment has.
	Last uint64
	// Frames is the count of whole frames.
	Frames int
}

// Name returns the segment's file name.
func (s Segment) Name() string {
	return fileName(segmentPrefix, s.Number)
}

func fileName(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*x", prefix, nameDigits, number)
}

// reader builds what a folder holds; it changes nothing.
type reader struct {
	folder Folder
	codec  Codec
	found  Recovered
	log    []quorum.Entry
}

func read(f Folder, c Codec) (Recovered, error) {
	r := &reader{folder: f, codec: c}
	names, err := f.Names()
	if err != nil {
		return Recovered{}, err
	}
	slices.Sort(names)
	if err := r.readIdentity(names); err != nil {
		return Recovered{}, err
	}
	if err := r.readSnapshot(numbers(names, snapshotPrefix)); err != nil {
		return Recovered{}, err
	}
	segments := numbers(names, segmentPrefix)
	for i, number := range segments {
		if err := r.readSegment(number, i == len(segments)-1); err != nil {
			return Recovered{}, err
		}
	}
	return r.found, r.join()
}

// numbers returns the numbers of the files with a prefix, in order.
func numbers(names []string, prefix string) []uint64 {
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
		if len(numbers(names, segmentPrefix)) > 0 || len(numbers(names, snapshotPrefix)) > 0 {
			return errors.Wrap(ErrDamaged, "the identity is missing")
		}
		return nil
	}
	payload, err := readWhole(r.folder, kindIdentity, identityName)
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
	payload, err := readWhole(r.folder, kindSnapshot, name)
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
	if final && r.unborn(number, content) {
		r.found.Torn = len(content)
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
	if len(rest) > 0 && (!final || holdsFrame(rest)) {
		return errors.Wrapf(ErrDamaged, "%s at byte %d: a whole record follows a damaged one", s.Name(), s.Bytes)
	}
	r.found.Torn = len(rest)
	r.found.Segments = append(r.found.Segments, s)
	return nil
}

// unborn says whether a crash cut the making of the last segment short. Nothing in it was acknowledged then, and what
// its first frame repeats is still held: the segment before it goes only once this one is synced.
func (r *reader) unborn(number uint64, content []byte) bool {
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
	return !holdsFrame(rest)
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
			if err := r.place(e); err != nil {
				return err
			}
			s.Last = max(s.Last, e.Index)
		}
	}
	return nil
}

// place adds an entry; one with a known index replaces the log from there on.
func (r *reader) place(e quorum.Entry) error {
	if len(r.log) > 0 {
		first := r.log[0].Index
		switch {
		case e.Index < first:
			r.log = nil
		case e.Index > first+uint64(len(r.log)) && e.Index <= r.found.Snapshot.Index+1:
			// The snapshot stands for what is missing: removed segments may come back, each for itself, after a power loss.
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

// join puts the log behind the snapshot.
func (r *reader) join() error {
	s := r.found.Snapshot
	r.found.Hard.Term = max(r.found.Hard.Term, s.Term)
	if len(r.log) == 0 {
		r.found.unmatched = s.Index > 0
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
		// The entries are older than a snapshot that came from the leader.
		r.found.unmatched = true
	}
	return nil
}
