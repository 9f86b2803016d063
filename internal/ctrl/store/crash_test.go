package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"cowslipstack/internal/ctrl/quorum"
)

// expectedState is the state that a folder must hold after some writes.
type expectedState struct {
	hard     quorum.HardState
	snapshot quorum.Snapshot
	entries  []quorum.Entry
}

func (m expectedState) last() uint64 {
	return m.snapshot.Index + uint64(len(m.entries))
}

// afterWrite returns the states that a restart may find during and after a write: a snapshot and the rest of its write are
// saved in two steps.
func (m expectedState) afterWrite(w quorum.Write) []expectedState {
	var steps []expectedState
	if w.Snapshot != nil {
		s := *w.Snapshot
		if w.Reset || s.Index > m.last() {
			m.entries = nil
		} else {
			m.entries = slices.Clone(m.entries[s.Index-m.snapshot.Index:])
		}
		m.snapshot = s
		steps = append(steps, m)
	}
	for _, e := range w.Entries {
		m.entries = append(slices.Clone(m.entries[:e.Index-m.snapshot.Index-1]), e)
	}
	if w.Hard != nil {
		m.hard = *w.Hard
	}
	return append(steps, m)
}

func (m expectedState) String() string {
	return fmt.Sprintf("%v %v %v", m.hard, m.snapshot, m.entries)
}

// randomWrite returns a random write that a replica could request.
func randomWrite(r *rand.Rand, m expectedState) quorum.Write {
	w := quorum.Write{Sequence: 1}
	term := max(m.hard.Term, m.snapshot.Term, 1)
	switch r.IntN(8) {
	case 0:
		term++
		w.Hard = &quorum.HardState{Term: term, Vote: quorum.ReplicaID(r.IntN(3))}
	case 1:
		if len(m.entries) > 0 {
			e := m.entries[r.IntN(len(m.entries))]
			w.Snapshot = &quorum.Snapshot{Index: e.Index, Term: e.Term, Data: make([]byte, r.IntN(50))}
			return w
		}
	case 2:
		w.Snapshot = &quorum.Snapshot{Index: m.last() + uint64(r.IntN(5)) + 1, Term: term, Data: make([]byte, r.IntN(50))}
		w.Reset = true
		return w
	}
	// An entry of a later term may replace some of the last ones.
	from := m.last() + 1
	if w.Hard != nil {
		from -= uint64(r.IntN(len(m.entries) + 1))
	}
	for i := range uint64(r.IntN(4)) {
		w.Entries = append(w.Entries, quorum.Entry{Index: from + i, Term: term, Kind: quorum.EntryCommand, Data: make([]byte, r.IntN(200))})
	}
	return w
}

// saveRandomWrites saves random writes until one fails, and returns the states that a restart may then find. When the disk
// is full it retries a batch up to the given number of times.
func saveRandomWrites(r *rand.Rand, l *Log, m expectedState, batches, retries int) ([]expectedState, error) {
	for range batches {
		allowed := []expectedState{m}
		var writes []quorum.Write
		for range 1 + r.IntN(3) {
			w := randomWrite(r, allowed[len(allowed)-1])
			allowed = append(allowed, allowed[len(allowed)-1].afterWrite(w)...)
			writes = append(writes, w)
		}
		err := l.Save(writes)
		for range retries {
			if errors.Is(err, quorum.ErrFull) {
				err = l.Save(nil)
			}
		}
		if err != nil {
			return allowed, err
		}
		m = allowed[len(allowed)-1]
	}
	return []expectedState{m}, nil
}

func recoveredState(f Recovered) expectedState {
	return expectedState{hard: f.Hard, snapshot: f.Snapshot, entries: f.Entries}
}

// requireMatch returns the allowed state that equals the recovered one, with the term that its snapshot implies.
func requireMatch(t *testing.T, allowed []expectedState, f Recovered, what string) expectedState {
	t.Helper()
	for _, m := range allowed {
		m.hard.Term = max(m.hard.Term, m.snapshot.Term)
		if m.String() == recoveredState(f).String() {
			return m
		}
	}
	t.Fatalf("%s: found %v, want one of %v", what, recoveredState(f), allowed)
	return expectedState{}
}

// crashSeeds is the number of random write sequences.
const crashSeeds = 12

// writeUntilFailure saves random states in a folder of which one operation fails. It returns the log, nil if that couldn't be
// opened, what a restart may find, and whether the operation was reached.
func writeUntilFailure(r *rand.Rand, failAt int) (folder *fakeFolder, l *Log, allowed []expectedState, failed bool) {
	folder = newFakeFolder()
	folder.failAt = failAt
	allowed = []expectedState{{}}
	l, _, err := OpenFolder(folder, "one", jsonCodec{})
	if err == nil {
		allowed, err = saveRandomWrites(r, l, expectedState{}, 12, 0)
	}
	return folder, l, allowed, err != nil
}

// TestCrashAtEveryWritePoint fails each folder operation in turn, crashes there, and checks that a restart finds a state
// that was saved or being saved, and that later writes survive another crash.
func TestCrashAtEveryWritePoint(t *testing.T) {
	points, torn := 0, 0
	for seed := range uint64(crashSeeds) {
		for failAt := 1; ; failAt++ {
			what := fmt.Sprintf("seed %d, operation %d", seed, failAt)
			r := rand.New(rand.NewPCG(seed, 0))
			folder, l, allowed, failed := writeUntilFailure(r, failAt)
			if !failed {
				break
			}
			if l != nil {
				if again := l.Save([]quorum.Write{{}}); !errors.Is(again, ErrFailed) {
					t.Fatalf("%s: a write after the failure gave %v", what, again)
				}
			}
			points++
			folder = folder.crash(r)
			l, f, err := OpenFolder(folder, "one", jsonCodec{})
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			torn += min(f.TornBytes, 1)
			m := requireMatch(t, allowed, f, what)
			// Later writes must be recovered too, also after a crash between two writes.
			if allowed, err = saveRandomWrites(r, l, m, 4, 0); err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			if _, f, err = OpenFolder(folder.crash(r), "one", jsonCodec{}); err != nil {
				t.Fatalf("%s: second restart: %v", what, err)
			}
			requireMatch(t, allowed, f, what+", second restart")
		}
	}
	t.Logf("%d write points failed, %d torn tails", points, torn)
}

// powerLosses is the number of random outcomes of a power loss that are tried at each point.
const powerLosses = 4

// TestPowerLossAfterRestartLosesState guards against a restart that relies on data which the killed process never synced.
func TestPowerLossAfterRestartLosesState(t *testing.T) {
	points := 0
	for seed := range uint64(crashSeeds) {
		for failAt := 1; ; failAt++ {
			what := fmt.Sprintf("seed %d, killed at operation %d", seed, failAt)
			r := rand.New(rand.NewPCG(seed, 0))
			folder, _, allowed, failed := writeUntilFailure(r, failAt)
			if !failed {
				break
			}
			points++
			folder.failAt = 0
			_, f, err := OpenFolder(folder, "one", jsonCodec{})
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			m := requireMatch(t, allowed, f, what)
			for range powerLosses {
				_, again, err := OpenFolder(folder.crash(r), "one", jsonCodec{})
				if err != nil {
					t.Fatalf("%s: after the power loss: %v", what, err)
				}
				requireMatch(t, []expectedState{m}, again, what+", after the power loss")
				if again.Identity.ID != f.Identity.ID {
					t.Fatalf("%s: another identity after the power loss", what)
				}
			}
		}
	}
	t.Logf("%d points", points)
}

// TestRestartAfterFailedSyncLosesState guards against a restart that relies on data whose sync failed: the system may have
// dropped it, and a later sync then reports success.
func TestRestartAfterFailedSyncLosesState(t *testing.T) {
	failed := 0
	for seed := range uint64(crashSeeds / 2) {
		for _, refusal := range []error{syscall.ENOSPC, syscall.EIO} {
			for from, met := 1, true; met; from++ {
				what := fmt.Sprintf("seed %d, %v from operation %d", seed, refusal, from)
				r := rand.New(rand.NewPCG(seed, 0))
				folder := newFakeFolder()
				l, _, err := OpenFolder(folder, "one", jsonCodec{})
				if err != nil {
					t.Fatalf("%s: %v", what, err)
				}
				folder.refusal, folder.refusesAtSync = refusal, true
				folder.count, folder.fullFrom, folder.fullUntil = 0, from, from+1
				allowed, err := saveRandomWrites(r, l, expectedState{}, 12, 0)
				met = folder.count >= from
				if err == nil {
					continue
				}
				failed++
				folder.fullFrom, folder.fullUntil = 0, 0
				_, f, err := OpenFolder(folder, "one", jsonCodec{})
				if err != nil {
					t.Fatalf("%s: %v", what, err)
				}
				m := requireMatch(t, allowed, f, what)
				_, again, err := OpenFolder(folder.crash(r), "one", jsonCodec{})
				if err != nil {
					t.Fatalf("%s: after the power loss: %v", what, err)
				}
				requireMatch(t, []expectedState{m}, again, what+", after the power loss")
			}
		}
	}
	t.Logf("%d syncs failed", failed)
}

// refusedOperations is the number of operations that a full disk refuses; maxSaveRetries suffices to get past them.
const (
	refusedOperations = 6
	maxSaveRetries    = 2 * refusedOperations
)

// TestFullDisk makes the disk full for some operations, starting at each operation in turn: the log must continue once
// there is space, and a crash in the meantime must lose nothing that was saved.
func TestFullDisk(t *testing.T) {
	testFullDisk(t, crashSeeds, syscall.ENOSPC, false)
}

// TestQuotaEndsReplica guards against a replica that stops for good where its disk's quota is used up for a while.
func TestQuotaEndsReplica(t *testing.T) {
	testFullDisk(t, 2, syscall.EDQUOT, false)
}

// TestFullDiskAtSyncEndsReplica guards against a replica that stops for good where a full disk is noticed by a sync.
func TestFullDiskAtSyncEndsReplica(t *testing.T) {
	testFullDisk(t, crashSeeds/2, syscall.ENOSPC, true)
}

func testFullDisk(t *testing.T, seeds uint64, refusal error, atSync bool) {
	t.Helper()
	waited := 0
	for seed := range seeds {
		for from := 1; ; from++ {
			for _, retries := range []int{0, maxSaveRetries} {
				what := fmt.Sprintf("seed %d, full from operation %d, saved again %d times", seed, from, retries)
				r := rand.New(rand.NewPCG(seed, 0))
				folder := newFakeFolder()
				folder.refusal, folder.refusesAtSync = refusal, atSync
				l, _, err := OpenFolder(folder, "one", jsonCodec{})
				if err != nil {
					t.Fatalf("%s: %v", what, err)
				}
				folder.count, folder.fullFrom, folder.fullUntil = 0, from, from+refusedOperations
				allowed, err := saveRandomWrites(r, l, expectedState{}, 12, retries)
				if retries == 0 && err != nil && !errors.Is(err, quorum.ErrFull) || retries > 0 && err != nil {
					t.Fatalf("%s: %v", what, err)
				}
				waited += min(1, max(0, folder.count-from))
				folder.fullFrom, folder.fullUntil = 0, 0
				_, f, err := OpenFolder(folder.crash(r), "one", jsonCodec{})
				if err != nil {
					t.Fatalf("%s: %v", what, err)
				}
				requireMatch(t, allowed, f, what)
				if folder.count < from {
					from = 0
				}
			}
			if from == 0 {
				break
			}
		}
	}
	t.Logf("%d runs met a full disk", waited)
}

const (
	// fullDiskHistory is the number of times that the disk is full in one history.
	fullDiskHistory = 60
	// smallSegmentBytes is a segment size at which the log rotates after a few writes.
	smallSegmentBytes = 1 << 10
	// maxFinalBytes bounds a folder whose snapshot covers the whole log.
	maxFinalBytes = 4 << 10
)

// TestFullDiskAgainAndAgainGrows guards against a folder that grows, or a log that stops, as its disk is full at varying
// operations of a long history with rotations, snapshots, restarts and power losses.
func TestFullDiskAgainAndAgainGrows(t *testing.T) {
	var refused, rotated int
	for seed := range uint64(crashSeeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		folder := newFakeFolder()
		l, m := reopenLog(t, folder, []expectedState{{}}, fmt.Sprintf("seed %d", seed))
		for round := range fullDiskHistory {
			what := fmt.Sprintf("seed %d, round %d", seed, round)
			folder.refusesAtSync = r.IntN(2) == 0
			folder.count, folder.fullFrom = 0, 1+r.IntN(12)
			folder.fullUntil = folder.fullFrom + 1 + r.IntN(refusedOperations)
			allowed, err := saveRandomWrites(r, l, m, 4, r.IntN(2)*maxSaveRetries)
			if err != nil && !errors.Is(err, quorum.ErrFull) {
				t.Fatalf("%s: %v", what, err)
			}
			if err != nil {
				refused++
			}
			rotated = max(rotated, len(l.segments))
			if r.IntN(3) == 0 {
				// A restart may fail while the disk is full.
				folder.count, folder.fullFrom, folder.fullUntil = 0, 1, math.MaxInt
				if _, _, err := OpenFolder(folder, "one", jsonCodec{}); err != nil && !errors.Is(err, syscall.ENOSPC) {
					t.Fatalf("%s: %v", what, err)
				}
			}
			folder.fullFrom, folder.fullUntil = 0, 0
			if r.IntN(3) == 0 {
				folder = folder.crash(r)
			}
			l, m = reopenLog(t, folder, allowed, what)
			requireNoLeftovers(t, folder, l, what)
		}
		last := m.last()
		for _, s := range l.segments {
			last = max(last, s.Last)
		}
		final := quorum.Snapshot{Index: last + 1, Term: max(m.hard.Term, m.snapshot.Term, 1)}
		if err := l.Save([]quorum.Write{{Snapshot: &final, Reset: true}}); err != nil {
			t.Fatal(err)
		}
		if folder.bytes() > maxFinalBytes {
			t.Fatalf("seed %d: the folder holds %d bytes of %d", seed, folder.bytes(), maxFinalBytes)
		}
	}
	t.Logf("%d times left unsaved, at most %d segments", refused, rotated)
}

// reopenLog opens a folder and returns the log with the allowed state that it holds.
func reopenLog(t *testing.T, folder *fakeFolder, allowed []expectedState, what string) (*Log, expectedState) {
	t.Helper()
	l, f, err := OpenFolder(folder, "one", jsonCodec{})
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	l.segmentBytes = smallSegmentBytes
	return l, requireMatch(t, allowed, f, what)
}

// requireNoLeftovers checks that a folder holds the identity, at most one snapshot and the segments of the log, all but the
// last of which hold entries or are full.
func requireNoLeftovers(t *testing.T, folder *fakeFolder, l *Log, what string) {
	t.Helper()
	files := 1 + len(l.segments)
	if l.snapshot > 0 {
		files++
	}
	if len(folder.files) != files {
		t.Fatalf("%s: %d files, want %d: %v", what, len(folder.files), files, slices.Sorted(maps.Keys(folder.files)))
	}
	for _, s := range l.segments[:len(l.segments)-1] {
		if s.Last == 0 && s.Bytes < l.segmentBytes {
			t.Fatalf("%s: %s holds no entry and isn't full", what, s.Name())
		}
	}
}

// TestFullDiskRetryNeedsRoomAgain guards against retries that need room for what is saved already, or leave files behind.
func TestFullDiskRetryNeedsRoomAgain(t *testing.T) {
	is := is.New(t)
	folder := newFakeFolder()
	l, _, err := OpenFolder(folder, "one", jsonCodec{})
	is.NoErr(err)
	entries := make([]quorum.Entry, 3)
	for i := range entries {
		entries[i] = quorum.Entry{Index: uint64(i) + 1, Term: 1, Kind: quorum.EntryCommand, Data: make([]byte, 1000)}
	}
	is.NoErr(l.Save([]quorum.Write{{Entries: entries[:2]}}))
	write := quorum.Write{Snapshot: &quorum.Snapshot{Index: 1, Term: 1, Data: make([]byte, 30_000)}, Entries: entries[2:]}
	snapshot, err := jsonCodec{}.EncodeSnapshot(*write.Snapshot)
	is.NoErr(err)
	room := folder.bytes() + len(snapshot) + 500
	folder.roomBytes = room
	is.True(errors.Is(l.Save([]quorum.Write{write}), quorum.ErrFull)) // the snapshot fits, the entry doesn't
	files := len(folder.files)
	for range maxSaveRetries {
		is.True(errors.Is(l.Save(nil), quorum.ErrFull))
		is.Equal(len(folder.files), files)
	}
	folder.roomBytes = room + 2000
	is.NoErr(l.Save(nil)) // the entry fits
	_, f, err := OpenFolder(folder, "one", jsonCodec{})
	is.NoErr(err)
	is.Equal(f.Snapshot.Index, uint64(1))
	is.Equal(len(f.Entries), 2)
}

// TestDamage flips a bit in each byte of a log in turn. Damage that a crash can't cause must be reported, so that
// nothing is lost silently; damage in the last frame counts as a torn write.
func TestDamage(t *testing.T) {
	is := is.New(t)
	folder := newFakeFolder()
	l, _, err := OpenFolder(folder, "one", jsonCodec{})
	is.NoErr(err)
	for i := range uint64(3) {
		is.NoErr(l.Save([]quorum.Write{{Entries: []quorum.Entry{{Index: i + 1, Term: 1, Kind: quorum.EntryEmpty}}}}))
	}
	name := l.segments[0].Name()
	whole := folder.files[name].data
	_, end, ok := readFrame(whole[fileHeaderBytes:])
	is.True(ok)
	last := len(whole) - end
	for last = range len(whole) {
		if _, size, ok := readFrame(whole[last:]); ok && last+size == len(whole) {
			break
		}
	}
	for at := range whole {
		folder.files[name].data = slices.Clone(whole)
		folder.files[name].data[at] ^= 1
		_, f, err := OpenFolder(folder, "one", jsonCodec{})
		switch {
		case at < last && err == nil:
			t.Fatalf("byte %d: damage before the end was not seen", at)
		case at >= last && (err != nil || len(f.Entries) != 2 || f.TornBytes != len(whole)-last):
			t.Fatalf("byte %d: a torn last record gave %v, %d entries", at, err, len(f.Entries))
		}
	}
	newer := binary.LittleEndian.AppendUint32([]byte(kindLog), formatVersion+1)
	newer = binary.LittleEndian.AppendUint32(newer, crc32.Checksum(newer, castagnoli))
	folder.files[name].data = append(newer, whole[fileHeaderBytes:]...)
	_, _, err = OpenFolder(folder, "one", jsonCodec{})
	is.True(errors.Is(err, ErrVersion)) // a newer version's folder is refused
	folder.files[name].data = whole
	delete(folder.files, identityName)
	_, _, err = OpenFolder(folder, "one", jsonCodec{})
	is.True(errors.Is(err, ErrDamaged)) // a log without an identity
}

func TestFolderOfAnother(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	l, f, err := Open(path, "one", jsonCodec{})
	is.NoErr(err)
	_, _, err = Open(path, "one", jsonCodec{})
	is.True(errors.Is(err, ErrInUse))
	is.NoErr(l.Close())
	_, _, err = Open(path, "two", jsonCodec{})
	is.True(err != nil) // the folder belongs to one
	l, again, err := Open(path, "one", jsonCodec{})
	is.NoErr(err)
	is.Equal(again.Identity.ID, f.Identity.ID) // the identity lasts as long as the folder
	is.NoErr(l.Close())
	other, g, err := Open(t.TempDir(), "one", jsonCodec{})
	is.NoErr(err)
	is.True(g.Identity.ID != f.Identity.ID) // an empty folder has a new identity
	is.NoErr(other.Close())
}
