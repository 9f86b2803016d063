package store

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrInUse is returned when another process has locked the data folder.
var ErrInUse = errors.New("data folder is in use by another process")

const lockName = "lock"

// File is an open file in a data folder.
type File interface {
	io.WriteCloser
	// Truncate shortens the file to size bytes; the next write appends there.
	Truncate(size int64) error
	// Sync returns once all written data is on disk.
	Sync() error
}

// Folder is the file access to a data folder; tests use one with injected failures.
type Folder interface {
	// Names returns the names of all files.
	Names() ([]string, error)
	// Read returns a file's content.
	Read(name string) ([]byte, error)
	// Create creates a file, or truncates an existing one to zero bytes.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Rename renames a file and replaces one that has the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync returns once created, renamed and removed names are on disk.
	Sync() error
}

// closeAndRemove removes a file that could not be written or synced, and returns the cause with any further error.
func closeAndRemove(f Folder, file File, name string, cause error) error {
	return errors.CombineErrors(cause, errors.CombineErrors(file.Close(), f.Remove(name)))
}

// diskFolder is a Folder on the local file system.
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

// Create creates a file, or truncates an existing one to zero bytes.
func (f diskFolder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Append opens an existing file for appending.
func (f diskFolder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename renames a file and replaces one that has the new name.
func (f diskFolder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove deletes a file.
func (f diskFolder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// Sync returns once created, renamed and removed names are on disk.
func (f diskFolder) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	return errors.CombineErrors(errors.Wrap(d.Sync(), "sync data folder"), d.Close())
}

// lockFolder opens a data folder, creates it if missing, and locks it against other processes until the closer is closed.
func lockFolder(path string) (Folder, io.Closer, error) {
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
