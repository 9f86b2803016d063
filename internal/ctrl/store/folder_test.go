package store

import (
	"encoding/json"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

var errInjected = errors.New("no space left on device")

// fakeFolder is an in-memory folder that loses unsynced changes in a crash, and whose operations fail from failAt on.
type fakeFolder struct {
	files       map[string]*fakeFile
	syncedFiles map[string]*fakeFile
	// unsyncedChanges are the changes of names since the last sync.
	unsyncedChanges []func(map[string]*fakeFile)
	count           int
	failAt          int
	// The disk is full, for data and for new names, in operations fullFrom up to but not including fullUntil.
	fullFrom, fullUntil int
	// refusal is the error of a full disk; if refusesAtSync is set, it accepts writes and refuses the syncs of files.
	refusal       error
	refusesAtSync bool
	// roomBytes is the size of the disk; 0 means unlimited.
	roomBytes int
}

type fakeFile struct {
	folder *fakeFolder
	data   []byte
	synced int
	// lostFrom and lostUntil bound the data of a failed sync, which no later sync writes to the disk.
	lostFrom, lostUntil int
}

func newFakeFolder() *fakeFolder {
	return &fakeFolder{files: map[string]*fakeFile{}, syncedFiles: map[string]*fakeFile{}, refusal: syscall.ENOSPC}
}

func (f *fakeFolder) fails() bool {
	f.count++
	return f.failAt > 0 && f.count >= f.failAt
}

// isFull reports whether the next operation, which needs space, finds the disk full.
func (f *fakeFolder) isFull() bool {
	return f.count+1 >= f.fullFrom && f.count+1 < f.fullUntil
}

// fits returns how many of the given bytes the disk accepts.
func (f *fakeFolder) fits(bytes int) int {
	if f.isFull() && !f.refusesAtSync {
		return bytes / 2
	}
	if f.roomBytes == 0 {
		return bytes
	}
	return max(0, min(bytes, f.roomBytes-f.bytes()))
}

// bytes returns the size of all files.
func (f *fakeFolder) bytes() int {
	total := 0
	for _, file := range f.files {
		total += len(file.data)
	}
	return total
}

// crash returns the folder after a power loss: what is synced, and a random part of the rest: any of the changes of
// names, and a prefix of each file's unsynced data.
func (f *fakeFolder) crash(r *rand.Rand) *fakeFolder {
	after := newFakeFolder()
	names := maps.Clone(f.syncedFiles)
	for _, change := range f.unsyncedChanges {
		// Each created, renamed or removed name survives or is lost independently.
		if r.IntN(2) == 0 {
			change(names)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		file := names[name]
		reached := file.synced + r.IntN(len(file.data)-file.synced+1)
		data := slices.Clone(file.data[:reached])
		clear(data[min(file.lostFrom, reached):min(file.lostUntil, reached)])
		if reached > file.synced && r.IntN(2) == 0 {
			// Sectors of an unsynced write reach the disk in any order.
			data[file.synced+r.IntN(reached-file.synced)] ^= 0x40
		}
		after.files[name] = &fakeFile{folder: after, data: data, synced: len(data)}
	}
	after.syncedFiles = maps.Clone(after.files)
	return after
}

func (f *fakeFolder) Names() ([]string, error) {
	return slices.Sorted(maps.Keys(f.files)), nil
}

func (f *fakeFolder) Read(name string) ([]byte, error) {
	file, ok := f.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (f *fakeFolder) change(change func(map[string]*fakeFile)) error {
	if f.fails() {
		return errInjected
	}
	change(f.files)
	f.unsyncedChanges = append(f.unsyncedChanges, change)
	return nil
}

func (f *fakeFolder) Create(name string) (File, error) {
	if f.isFull() && !f.refusesAtSync {
		f.count++
		return nil, f.refusal
	}
	file := &fakeFile{folder: f}
	return file, f.change(func(m map[string]*fakeFile) { m[name] = file })
}

func (f *fakeFolder) Append(name string) (File, error) {
	return f.files[name], nil
}

func (f *fakeFolder) Rename(from, to string) error {
	file := f.files[from]
	return f.change(func(m map[string]*fakeFile) {
		m[to] = file
		delete(m, from)
	})
}

func (f *fakeFolder) Remove(name string) error {
	return f.change(func(m map[string]*fakeFile) { delete(m, name) })
}

func (f *fakeFolder) Sync() error {
	if f.fails() {
		return errInjected
	}
	f.syncedFiles, f.unsyncedChanges = maps.Clone(f.files), nil
	return nil
}

func (f *fakeFile) Write(data []byte) (int, error) {
	if size := f.folder.fits(len(data)); size < len(data) {
		f.folder.count++
		f.data = append(f.data, data[:size]...)
		return size, f.folder.refusal
	}
	if f.folder.fails() {
		f.data = append(f.data, data[:len(data)/2]...)
		return len(data) / 2, errInjected
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *fakeFile) Truncate(size int64) error {
	if f.folder.fails() {
		return errInjected
	}
	f.data = f.data[:size]
	f.synced = min(f.synced, int(size))
	f.lostFrom, f.lostUntil = min(f.lostFrom, int(size)), min(f.lostUntil, int(size))
	return nil
}

func (f *fakeFile) Sync() error {
	if f.folder.isFull() && f.folder.refusesAtSync {
		f.folder.count++
		f.lostFrom, f.lostUntil = f.synced, len(f.data)
		return f.folder.refusal
	}
	if f.folder.fails() {
		return errInjected
	}
	f.synced = len(f.data)
	return nil
}

func (f *fakeFile) Close() error { return nil }

// jsonCodec replaces the wire codec, which this package may not import.
type jsonCodec struct{}

func decode[T any](data []byte) (T, error) {
	var v T
	return v, json.Unmarshal(data, &v)
}

func (jsonCodec) EncodeWrites(w []quorum.Write) ([]byte, error) {
	kept := slices.Clone(w)
	for i := range kept {
		if s := kept[i].Snapshot; s != nil {
			kept[i].Snapshot = &quorum.Snapshot{Index: s.Index, Term: s.Term}
		}
	}
	return json.Marshal(kept)
}

func (jsonCodec) DecodeWrites(d []byte) ([]quorum.Write, error)    { return decode[[]quorum.Write](d) }
func (jsonCodec) EncodeSnapshot(s quorum.Snapshot) ([]byte, error) { return json.Marshal(s) }
func (jsonCodec) DecodeSnapshot(d []byte) (quorum.Snapshot, error) { return decode[quorum.Snapshot](d) }
func (jsonCodec) EncodeIdentity(i Identity) ([]byte, error)        { return json.Marshal(i) }
func (jsonCodec) DecodeIdentity(d []byte) (Identity, error)        { return decode[Identity](d) }
