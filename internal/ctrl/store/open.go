package store

import (
	"os"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

// Open locks the data folder, creates it if missing, and returns the log and the recovered state. It returns ErrInUse if
// another process holds the folder.
func Open(path, name string, codec Codec) (*Log, Recovered, error) {
	folder, lock, err := lockFolder(path)
	if err != nil {
		return nil, Recovered{}, err
	}
	l, found, err := OpenFolder(folder, name, codec)
	if err != nil {
		return nil, Recovered{}, errors.Wrapf(errors.CombineErrors(err, lock.Close()), "data folder %s", path)
	}
	l.lock = lock
	return l, found, nil
}

// Inspect returns the content of a data folder without changing it. It returns ErrInUse if a process holds the folder.
func Inspect(path string, codec Codec) (Recovered, error) {
	if _, err := os.Stat(path); err != nil {
		return Recovered{}, errors.Wrap(err, "data folder")
	}
	folder, lock, err := lockFolder(path)
	if err != nil {
		return Recovered{}, err
	}
	found, err := readFolder(folder, codec)
	return found, errors.Wrapf(errors.CombineErrors(err, lock.Close()), "data folder %s", path)
}

// OpenFolder returns the log and the recovered state of a folder that the caller has locked.
func OpenFolder(folder Folder, name string, codec Codec) (*Log, Recovered, error) {
	found, err := readFolder(folder, codec)
	if err != nil {
		return nil, Recovered{}, err
	}
	l := &Log{
		folder: folder, codec: codec, identity: found.Identity, hard: found.Hard,
		segmentBytes: defaultSegmentBytes, snapshot: found.Snapshot.Index, segments: found.Segments,
	}
	// A process that was killed may have left names and data unsynced, which its successor relies on from now on.
	if err := l.folder.Sync(); err != nil {
		return nil, Recovered{}, errors.Wrap(err, "sync data folder")
	}
	if err := l.removeObsolete(found.Snapshot.Index); err != nil {
		return nil, Recovered{}, err
	}
	if l.identity.ID == 0 {
		if l.identity, err = newIdentity(name); err == nil {
			err = l.saveIdentity(l.identity)
		}
		if err != nil {
			return nil, Recovered{}, err
		}
		found.Identity = l.identity
	}
	if l.identity.Name != name {
		return nil, Recovered{}, errors.Newf("the data folder belongs to %q, not to %q", l.identity.Name, name)
	}
	if err := l.openLastSegment(found); err != nil {
		return nil, Recovered{}, errors.CombineErrors(err, l.Close())
	}
	return l, found, nil
}

// openLastSegment opens the last segment for appending after the recovered content, or creates it if missing or
// unfinished.
func (l *Log) openLastSegment(found Recovered) error {
	if len(l.segments) == 0 {
		return l.createSegment(1)
	}
	current := l.segments[len(l.segments)-1]
	if current.Bytes == 0 {
		l.segments = l.segments[:len(l.segments)-1]
		if err := l.createSegment(current.Number); err != nil {
			return err
		}
	} else if err := l.reopen(current, found.TornBytes); err != nil {
		return err
	}
	if found.needsReset {
		// Without this write, entries that follow the snapshot would come after older ones in the log.
		return l.writeFrame([]quorum.Write{{Reset: true, Snapshot: &found.Snapshot}})
	}
	return nil
}
