package site

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/store"
)

// syncTime is how long a sync takes at most.
const syncTime = 9 * time.Millisecond

// errDead is returned for operations of a process that has ended.
var errDead = errors.New("the process has ended")

// content is the content of a file: what was written, and what is synced.
type content struct{ data, synced []byte }

// disk of a machine: its names now and its synced names.
type simulatedDisk struct {
	mu             sync.Mutex
	names, durable map[string]*content
}

func newSimulatedDisk() *simulatedDisk {
	return &simulatedDisk{names: map[string]*content{}, durable: map[string]*content{}}
}

// losePower leaves what a loss of power leaves: what was synced, and by chance what wasn't.
func (d *simulatedDisk) losePower(r *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := map[string]*content{}
	all := maps.Clone(d.durable)
	maps.Copy(all, d.names)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		kept := d.durable[name]
		if r.IntN(2) == 0 {
			kept = d.names[name]
		}
		if kept != nil {
			left[name] = &content{data: tornContent(kept, r)}
		}
	}
	for _, c := range left {
		c.synced = c.data
	}
	d.names, d.durable = left, maps.Clone(left)
}

// tornContent returns the synced content with a part of what was appended since.
func tornContent(c *content, r *rand.Rand) []byte {
	if len(c.data) <= len(c.synced) {
		return slices.Clone(c.synced)
	}
	return slices.Clone(c.data[:len(c.synced)+r.IntN(len(c.data)-len(c.synced)+1)])
}

// folder is a process's access to its disk; it waits while the machine stands still, and fails once the process is dead.
type folder struct {
	disk    *simulatedDisk
	machine *machine
}

func (f *folder) begin() error {
	f.machine.waitThawed()
	f.disk.mu.Lock()
	if f.machine.isDead() {
		f.disk.mu.Unlock()
		return errDead
	}
	return nil
}

func (f *folder) wait() {
	f.machine.network.mu.Lock()
	d := time.Duration(f.machine.network.random.Int64N(int64(syncTime)))
	f.machine.network.mu.Unlock()
	time.Sleep(d)
}

// Names returns the names of all files.
func (f *folder) Names() ([]string, error) {
	if err := f.begin(); err != nil {
		return nil, err
	}
	defer f.disk.mu.Unlock()
	return slices.Collect(maps.Keys(f.disk.names)), nil
}

// Read returns a file's content.
func (f *folder) Read(name string) ([]byte, error) {
	if err := f.begin(); err != nil {
		return nil, err
	}
	defer f.disk.mu.Unlock()
	if c := f.disk.names[name]; c != nil {
		return slices.Clone(c.data), nil
	}
	return nil, fs.ErrNotExist
}

// Create creates a file, or truncates an existing one to zero bytes.
func (f *folder) Create(name string) (store.File, error) {
	if err := f.begin(); err != nil {
		return nil, err
	}
	defer f.disk.mu.Unlock()
	c := f.disk.names[name]
	if c == nil {
		c = &content{}
		f.disk.names[name] = c
	}
	c.data = nil
	return &file{folder: f, name: name, content: c}, nil
}

// Append opens an existing file for appending.
func (f *folder) Append(name string) (store.File, error) {
	if err := f.begin(); err != nil {
		return nil, err
	}
	defer f.disk.mu.Unlock()
	return &file{folder: f, name: name, content: f.disk.names[name]}, nil
}

// Rename renames a file and replaces one that has the new name.
func (f *folder) Rename(from, to string) error {
	if err := f.begin(); err != nil {
		return err
	}
	defer f.disk.mu.Unlock()
	f.disk.names[to] = f.disk.names[from]
	delete(f.disk.names, from)
	return nil
}

// Remove deletes a file.
func (f *folder) Remove(name string) error {
	if err := f.begin(); err != nil {
		return err
	}
	defer f.disk.mu.Unlock()
	delete(f.disk.names, name)
	return nil
}

// Sync returns once all names are on the disk.
func (f *folder) Sync() error {
	f.wait()
	if err := f.begin(); err != nil {
		return err
	}
	defer f.disk.mu.Unlock()
	f.disk.durable = maps.Clone(f.disk.names)
	return nil
}

// file is an open file.
type file struct {
	folder  *folder
	name    string
	content *content
}

// Write appends to the file.
func (f *file) Write(p []byte) (int, error) {
	if err := f.folder.begin(); err != nil {
		return 0, err
	}
	defer f.folder.disk.mu.Unlock()
	f.content.data = append(slices.Clone(f.content.data), p...)
	return len(p), nil
}

// Truncate shortens the file.
func (f *file) Truncate(size int64) error {
	if err := f.folder.begin(); err != nil {
		return err
	}
	defer f.folder.disk.mu.Unlock()
	f.content.data = f.content.data[:size]
	return nil
}

// Sync returns once the data is on the disk, and the name of a new file.
func (f *file) Sync() error {
	f.folder.wait()
	if err := f.folder.begin(); err != nil {
		return err
	}
	defer f.folder.disk.mu.Unlock()
	f.content.synced = f.content.data
	if f.folder.disk.durable[f.name] == nil && f.folder.disk.names[f.name] == f.content {
		f.folder.disk.durable[f.name] = f.content
	}
	return nil
}

// Close does nothing.
func (f *file) Close() error { return nil }
