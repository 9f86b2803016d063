package store

import (
	"io"
	"os"
	"slices"
	"strings"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

// defaultSegmentBytes is the size at which the log rotates to a new segment.
const defaultSegmentBytes = 4 << 20

// ErrFailed is returned after a failed write: the state of the disk is unknown until a restart.
var ErrFailed = errors.New("the data folder failed earlier; restart this process once the cause is mended")

var (
	syncsTotal = metrics.NewCounter("cowslip_store_syncs_total")
	bytesTotal = metrics.NewCounter("cowslip_store_written_bytes_total")
)

// Codec encodes and decodes the stored records.
type Codec interface {
	EncodeWrites([]quorum.Write) ([]byte, error)
	DecodeWrites([]byte) ([]quorum.Write, error)
	EncodeSnapshot(quorum.Snapshot) ([]byte, error)
	DecodeSnapshot([]byte) (quorum.Snapshot, error)
	EncodeIdentity(Identity) ([]byte, error)
	DecodeIdentity([]byte) (Identity, error)
}

// Log is the write-ahead log of one replica; only one goroutine may use it.
type Log struct {
	folder   Folder
	codec    Codec
	lock     io.Closer
	identity Identity
	hard     quorum.HardState
	// segmentBytes is the size at which the log rotates to a new segment.
	segmentBytes int
	// snapshot is the index of the snapshot on disk, 0 for none.
	snapshot uint64
	// segments are the closed segments followed by the current one.
	segments []Segment
	// file is the current segment's file, nil if it could not be created yet.
	file File
	// torn means that a failed write or sync may have left a partial frame at the end of the file.
	torn bool
	// unsaved are the writes that are still to be saved; some remain after the disk was full.
	unsaved []quorum.Write
	failed  error
}

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

// Agree durably records the group's initial configuration, which includes this replica.
func (l *Log) Agree(members []quorum.Member) error {
	identity := l.identity
	identity.Agreed = members
	if err := l.saveIdentity(identity); err != nil {
		return err
	}
	l.identity = identity
	return nil
}

// Save returns once all writes are synced; writes between two snapshots share one sync. If it returns quorum.ErrFull, the
// next call, which may pass no new writes, first saves the remaining ones. Other errors are final.
func (l *Log) Save(writes []quorum.Write) error {
	if l.failed != nil {
		return errors.CombineErrors(ErrFailed, l.failed)
	}
	l.unsaved = append(l.unsaved, writes...)
	for len(l.unsaved) > 0 {
		if s := l.unsaved[0].Snapshot; s != nil {
			if err := l.saveSnapshot(*s); err != nil {
				return l.recordFailure(err)
			}
		}
		group := 1 + slices.IndexFunc(l.unsaved[1:], func(w quorum.Write) bool { return w.Snapshot != nil })
		if group == 0 {
			group = len(l.unsaved)
		}
		if err := l.writeFrame(l.unsaved[:group]); err != nil {
			return l.recordFailure(err)
		}
		l.unsaved = l.unsaved[group:]
	}
	l.unsaved = nil
	return nil
}

// Close closes the log and unlocks the data folder.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if l.lock != nil {
		err = errors.CombineErrors(err, l.lock.Close())
	}
	return err
}

// recordFailure records a failed write. After a full disk the log stays usable, because the next attempt writes the whole
// file or frame again; other failures are final.
func (l *Log) recordFailure(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT) && !errors.Is(err, errFolderSync):
		return errors.Mark(err, quorum.ErrFull)
	default:
		l.failed = err
		return err
	}
}

func (l *Log) saveIdentity(i Identity) error {
	payload, err := l.codec.EncodeIdentity(i)
	if err != nil {
		return err
	}
	return replaceFile(l.folder, kindIdentity, identityName, payload)
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

// writeFrame writes the writes as one frame and syncs it.
func (l *Log) writeFrame(writes []quorum.Write) error {
	if len(writes) == 0 {
		return nil
	}
	payload, err := l.codec.EncodeWrites(writes)
	if err != nil {
		return err
	}
	if len(payload) > maxFrameBytes {
		return errors.Newf("write log: %d bytes are more than a record holds", len(payload))
	}
	if err := l.prepareFile(); err != nil {
		return err
	}
	frame := appendFrame(nil, payload)
	l.torn = true
	if _, err := l.file.Write(frame); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := l.file.Sync(); err != nil {
		// After a restart the frame would look whole, though the system may have dropped its data.
		return errors.CombineErrors(errors.Wrap(err, "sync log"), l.truncateTornWrite())
	}
	l.torn = false
	syncsTotal.Inc()
	bytesTotal.Add(len(frame))
	s := &l.segments[len(l.segments)-1]
	s.Bytes += len(frame)
	s.Frames++
	for _, w := range writes {
		if w.Hard != nil {
			l.hard = *w.Hard
		}
		for _, e := range w.Entries {
			s.Last = max(s.Last, e.Index)
		}
	}
	return nil
}

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
