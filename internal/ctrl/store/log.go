package store

import (
	"io"
	"os"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/ctrl/quorum"
)

// segmentBytes is the size from which a new segment is begun.
const segmentBytes = 4 << 20

// ErrFailed says that an earlier write failed; what the disk holds is known only after a restart.
var ErrFailed = errors.New("the data folder failed earlier; restart this process once the cause is mended")

var (
	syncsTotal = metrics.NewCounter("cowslip_store_syncs_total")
	bytesTotal = metrics.NewCounter("cowslip_store_written_bytes_total")
)

// Codec turns what the store holds into bytes and back.
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
	// segments are the closed ones and, last, the one that is written to.
	segments []Segment
	file     File
	failed   error
}

// Open takes the data folder, makes it where it is missing, and returns the log with what it holds.
func Open(path, name string, codec Codec) (*Log, Recovered, error) {
	folder, lock, err := hold(path)
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

// Inspect returns what a data folder holds, and changes nothing; it fails where a process holds the folder.
func Inspect(path string, codec Codec) (Recovered, error) {
	if _, err := os.Stat(path); err != nil {
		return Recovered{}, errors.Wrap(err, "data folder")
	}
	folder, lock, err := hold(path)
	if err != nil {
		return Recovered{}, err
	}
	found, err := read(folder, codec)
	return found, errors.Wrapf(errors.CombineErrors(err, lock.Close()), "data folder %s", path)
}

// OpenFolder returns the log of a folder that the caller holds, with what it holds.
func OpenFolder(folder Folder, name string, codec Codec) (*Log, Recovered, error) {
	found, err := read(folder, codec)
	if err != nil {
		return nil, Recovered{}, err
	}
	l := &Log{folder: folder, codec: codec, identity: found.Identity, hard: found.Hard, segments: found.Segments}
	if err := l.sweep(found.Snapshot.Index); err != nil {
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
	if err := l.resume(found); err != nil {
		return nil, Recovered{}, errors.CombineErrors(err, l.Close())
	}
	return l, found, nil
}

// Agree syncs the first members of a group, which this replica is one of.
func (l *Log) Agree(members []quorum.Member) error {
	identity := l.identity
	identity.Agreed = members
	if err := l.saveIdentity(identity); err != nil {
		return err
	}
	l.identity = identity
	return nil
}

// Save returns once all writes are synced, those between two snapshots under one sync.
func (l *Log) Save(writes []quorum.Write) error {
	if l.failed != nil {
		return errors.CombineErrors(ErrFailed, l.failed)
	}
	var waiting []quorum.Write
	for _, w := range writes {
		if w.Snapshot != nil {
			if err := l.flush(waiting); err != nil {
				return l.fail(err)
			}
			waiting = nil
			if err := l.saveSnapshot(*w.Snapshot); err != nil {
				return l.fail(err)
			}
		}
		waiting = append(waiting, w)
	}
	return l.fail(l.flush(waiting))
}

// Close releases the data folder.
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

func (l *Log) fail(err error) error {
	if err != nil {
		l.failed = err
	}
	return err
}

func (l *Log) saveIdentity(i Identity) error {
	payload, err := l.codec.EncodeIdentity(i)
	if err != nil {
		return err
	}
	return replaceFile(l.folder, kindIdentity, identityName, payload)
}

// sweep deletes what a crash may leave behind: temporary files and older snapshots.
func (l *Log) sweep(snapshot uint64) error {
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

// resume leaves the log ready for writing after what was found.
func (l *Log) resume(found Recovered) error {
	if len(l.segments) == 0 {
		return l.begin(1)
	}
	current := l.segments[len(l.segments)-1]
	if current.Bytes == 0 {
		l.segments = l.segments[:len(l.segments)-1]
		if err := l.begin(current.Number); err != nil {
			return err
		}
	} else if err := l.reopen(current, found.Torn); err != nil {
		return err
	}
	if found.unmatched {
		// Without this record, entries that follow the snapshot would stand behind older ones.
		return l.flush([]quorum.Write{{Reset: true, Snapshot: &found.Snapshot}})
	}
	return nil
}

func (l *Log) reopen(s Segment, torn int) error {
	var err error
	if l.file, err = l.folder.Append(s.Name()); err != nil {
		return errors.Wrap(err, "open log")
	}
	if torn == 0 {
		return nil
	}
	if err := l.file.Truncate(int64(s.Bytes)); err != nil {
		return errors.Wrap(err, "cut torn record")
	}
	return errors.Wrap(l.file.Sync(), "sync log")
}

// begin makes a new segment; it starts with the hard state, so that older ones can go.
func (l *Log) begin(number uint64) error {
	s := Segment{Number: number}
	file, err := l.folder.Create(s.Name())
	if err != nil {
		return errors.Wrap(err, "create log segment")
	}
	l.file = file
	hard := l.hard
	payload, err := l.codec.EncodeWrites([]quorum.Write{{Hard: &hard}})
	if err != nil {
		return err
	}
	content := appendFrame(fileHeader(kindLog), payload)
	if _, err := file.Write(content); err != nil {
		return errors.Wrap(err, "write log segment")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync log segment")
	}
	s.Bytes = len(content)
	l.segments = append(l.segments, s)
	return l.folder.Sync()
}

func (l *Log) rotate() error {
	if err := l.file.Close(); err != nil {
		return errors.Wrap(err, "close log segment")
	}
	return l.begin(l.segments[len(l.segments)-1].Number + 1)
}

// flush writes one frame and syncs it.
func (l *Log) flush(writes []quorum.Write) error {
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
	frame := appendFrame(nil, payload)
	if _, err := l.file.Write(frame); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
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
	if s.Bytes >= segmentBytes {
		return l.rotate()
	}
	return nil
}

// saveSnapshot keeps a snapshot and deletes the segments that it stands for.
func (l *Log) saveSnapshot(s quorum.Snapshot) error {
	payload, err := l.codec.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := replaceFile(l.folder, kindSnapshot, fileName(snapshotPrefix, s.Index), payload); err != nil {
		return err
	}
	if err := l.sweep(s.Index); err != nil {
		return err
	}
	if err := l.rotate(); err != nil {
		return err
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
