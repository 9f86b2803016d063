package store

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrInUse says that another process holds the data folder.
var ErrInUse = errors.New("data folder is in use by another process")

const lockName = "lock"

// File is one open file of a data folder.
type File interface {
	io.WriteCloser
	// Truncate cuts the file to a size; what is written next follows it.
	Truncate(size int64) error
	// Sync returns once all that was written is on the disk.
	Sync() error
}

// Folder is a data folder; tests put failures into one.
type Folder interface {
	// Names returns the names of all files.
	Names() ([]string, error)
	// Read returns a file's content.
	Read(name string) ([]byte, error)
	// Create makes an empty file, or empties one.
	Create(name string) (File, error)
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	// Rename gives a file another name, in place of one that has it.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync returns once the names of all files are on the disk.
	Sync() error
}

// diskFolder is a folder of the machine's disk.
type diskFolder struct{ path string }

// Names returns the names of all files.
func (f diskFolder) Names() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Read returns a file's content.
func (f diskFolder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create makes an empty file, or empties one.
func (f diskFolder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Append opens a file for writing at its end.
func (f diskFolder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename gives a file another name.
func (f diskFolder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove deletes a file.
func (f diskFolder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// Sync returns once the names of all files are on the disk.
func (f diskFolder) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	return errors.CombineErrors(errors.Wrap(d.Sync(), "sync data folder"), d.Close())
}

// hold opens a data folder, makes it where it is missing, and keeps other processes out until the closer is closed.
func hold(path string) (Folder, io.Closer, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, nil, errors.Wrap(err, "make data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, nil, errors.Wrapf(errors.CombineErrors(ErrInUse, lock.Close()), "data folder %s", path)
	}
	return diskFolder{path: path}, lock, nil
}
