package store

import (
	"io"
	"slices"
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
	if err := l.appendSynced(frame); err != nil {
		return err
	}
	l.noteWritten(writes, len(frame))
	return nil
}

// appendSynced appends a frame to the current segment and syncs it.
func (l *Log) appendSynced(frame []byte) error {
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
	return nil
}

// noteWritten updates the hard state and the current segment after a frame of the given size was synced.
func (l *Log) noteWritten(writes []quorum.Write, frameBytes int) {
	s := &l.segments[len(l.segments)-1]
	s.Bytes += frameBytes
	s.Frames++
	for _, w := range writes {
		if w.Hard != nil {
			l.hard = *w.Hard
		}
		for _, e := range w.Entries {
			s.Last = max(s.Last, e.Index)
		}
	}
}
