package bench

import (
	"io/fs"
	"maps"
	"slices"
	"strings"
	"sync"

	"cowslipstack/internal/ctrl/store"
)

// refusal is what a full disk refuses; the zero value refuses nothing.
type refusal struct {
	// cause is the error of the refused operations.
	cause error
	// atSync means that data and names are accepted and the syncs of files are refused.
	atSync bool
}

// memoryFolder is a data folder in memory whose disk can be full; it is safe for concurrent use.
type memoryFolder struct {
	mu    sync.Mutex
	files map[string]*memoryFile
	full  refusal
	// refused counts the operations refused since the disk became full.
	refused int
}

// memoryFile is a file of a memoryFolder.
type memoryFile struct {
	folder *memoryFolder
	data   []byte
}

func newMemoryFolder() *memoryFolder {
	return &memoryFolder{files: map[string]*memoryFile{}}
}

// setFull makes the disk full, or gives it room again for the zero refusal.
func (f *memoryFolder) setFull(full refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full, f.refused = full, 0
}

// refusedSoFar returns how many operations were refused since the disk became full.
func (f *memoryFolder) refusedSoFar() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// bytes returns the size of all files.
func (f *memoryFolder) bytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	bytes := 0
	for _, file := range f.files {
		bytes += len(file.data)
	}
	return bytes
}

// hasTemporary reports whether there is a temporary file.
func (f *memoryFolder) hasTemporary() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.files {
		if strings.HasSuffix(name, ".tmp") {
			return true
		}
	}
	return false
}

// refuse returns the error of an operation that needs room; the caller holds the mutex.
func (f *memoryFolder) refuse(sync bool) error {
	if f.full.cause == nil || f.full.atSync != sync {
		return nil
	}
	f.refused++
	return f.full.cause
}

func (f *memoryFolder) Names() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.files)), nil
}

func (f *memoryFolder) Read(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, ok := f.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (f *memoryFolder) Create(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.refuse(false); err != nil {
		return nil, err
	}
	f.files[name] = &memoryFile{folder: f}
	return f.files[name], nil
}

func (f *memoryFolder) Append(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.files[name], nil
}

func (f *memoryFolder) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[to] = f.files[from]
	delete(f.files, from)
	return nil
}

func (f *memoryFolder) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.files, name)
	return nil
}

func (f *memoryFolder) Sync() error { return nil }

func (f *memoryFile) Write(data []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if err := f.folder.refuse(false); err != nil {
		f.data = append(f.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *memoryFile) Truncate(size int64) error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	f.data = f.data[:size]
	return nil
}

func (f *memoryFile) Sync() error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	return f.folder.refuse(true)
}

func (f *memoryFile) Close() error { return nil }
